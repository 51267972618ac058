// Reception of datagrams: checks of the sender, and the handler of each kind.
#include <algorithm>

#include "membership/member.h"
#include "membership/milliseconds.h"

namespace granitegap::membership {
namespace {

constexpr std::size_t kMaxRelays = 128;
constexpr std::size_t kMinRejectedPingBytes = 550;  // so that the answer, with a record, is not larger
constexpr std::uint32_t kMaxHeardMs = 0xfffffff0;
// The least clock offset rises by each delay divided by this, so that it follows clock drift.
constexpr std::int64_t kClockDriftDivisor = 256;

Record alive_record(const Sender& from) {
  return {from.name, from.address, from.boot_id, from.incarnation, Status::alive, 0, 0, std::nullopt};
}

}  // namespace

void Member::receive(const Datagram& datagram, std::size_t bytes, TimePoint now) {
  advance_clock(now);
  const auto& from = datagram.from;
  if (from.name.empty() || !from.address) return;
  if (from.name == self_.name) return receive_from_own_name(datagram);
  const auto member = roster_.find(from.name);
  switch (check_sender(from, member)) {
    case SenderCheck::verified:
      return receive_verified(datagram, member);
    case SenderCheck::unverified:
      ++counters_.unverified_peers;
      return receive_unverified(datagram, bytes, member);
    case SenderCheck::late:
      ++counters_.late;
      return;
    case SenderCheck::stale:
      ++counters_.stale_boot_id;
      return reject_stale(datagram, bytes, member);
  }
}

// Handles a datagram of a process with this member's name. Only a notice that names this process' boot_id
// proves that the other process runs at the same time.
void Member::receive_from_own_name(const Datagram& datagram) {
  const auto& from = datagram.from;
  const auto* notice = std::get_if<NameConflict>(&datagram.body);
  if (from.boot_id == self_.boot_id || !notice || notice->to != self_.boot_id) return;
  // Only the process that keeps the name answers.
  if (!conflict_.yielded) send(from.address, NameConflict{from.boot_id});
  conflict_.boot_id = from.boot_id;
  record_name_conflict(from.address);
}

Member::SenderCheck Member::check_sender(const Sender& from, Index member) {
  if (member == kNoMember) return SenderCheck::unverified;
  auto& state = roster_.at(member);
  if (from.boot_id != state.boot_id)
    return from.incarnation <= state.incarnation ? SenderCheck::stale : SenderCheck::unverified;
  if (is_late(from, state)) return SenderCheck::late;
  const bool verified = roster_.is_present(member) || from.incarnation > state.incarnation;
  return verified ? SenderCheck::verified : SenderCheck::unverified;
}

// Returns whether the datagram was delayed for too long or replayed. The clocks of two machines differ, so
// the delay is measured by the offset between the clocks of receiver and sender; the least offset seen stands
// for a datagram without delay.
bool Member::is_late(const Sender& from, MemberState& state) {
  const auto offset = to_milliseconds(now_ - started_at_) - std::int64_t(from.sent_ms);
  if (state.last_timely_at == TimePoint{} || offset < state.clock_offset_ms) state.clock_offset_ms = offset;
  const auto delay = offset - state.clock_offset_ms;
  const bool over_age = std::chrono::milliseconds(delay) > options_.max_message_age;
  if (over_age && now_ - state.last_timely_at <= options_.max_message_age) return true;
  if (over_age) state.clock_offset_ms = offset;  // the sender's clock stood still
  state.clock_offset_ms += delay / kClockDriftDivisor;
  state.last_timely_at = now_;
  return false;
}

// Answers a ping of a superseded process, or of a new one whose clock went back, with the record known under
// its name, so that the sender can raise its incarnation above that record's.
void Member::reject_stale(const Datagram& datagram, std::size_t bytes, Index member) {
  const auto* ping = std::get_if<Ping>(&datagram.body);
  if (!ping || bytes < kMinRejectedPingBytes) return;
  SendOptions options;
  options.without_gossip = true;
  options.updates.push_back(roster_.make_record(member, true));
  send(datagram.from.address, Ack{ping->nonce, kNeverHeard}, std::move(options));
}

void Member::receive_verified(const Datagram& datagram, Index from) {
  auto& state = roster_.at(from);
  local_health_.datagram_received(now_);
  last_sender_ = from;
  // Datagrams on the secondary path don't show that the direct link works.
  const auto* ping = std::get_if<Ping>(&datagram.body);
  const auto* ack = std::get_if<Ack>(&datagram.body);
  const bool via_secondary = (ping && ping->secondary_path) || (ack && ack->secondary_path);
  if (!via_secondary) state.last_received_at = now_;
  if (datagram.from.incarnation > state.incarnation) apply(alive_record(datagram.from));
  const bool in_sync = std::holds_alternative<SyncChunk>(datagram.body);
  for (const auto& record : datagram.updates) apply(record, false, in_sync);
  std::visit([&](const auto& body) { handle(body, datagram, from); }, datagram.body);
}

void Member::handle(const Ping& ping, const Datagram& datagram, Index from) {
  // The ping is for a member that used this address before; this member must not answer in its place.
  if (!ping.target.empty() && ping.target != self_.name) {
    ++counters_.misaddressed;
    return;
  }
  std::uint32_t heard_ms = kNeverHeard;
  const auto origin = ping.origin.empty() ? from : roster_.find(ping.origin);
  if (origin != kNoMember && roster_.at(origin).known)
    heard_ms = to_clamped_milliseconds(now_ - roster_.at(origin).last_received_at, kMaxHeardMs);
  if (ping.secondary_path) return send_via_secondary(from, Ack{ping.nonce, heard_ms, true});
  if (ping.origin.empty()) roster_.record_contact(from);
  SendOptions options;
  options.about = from;
  send(datagram.from.address, Ack{ping.nonce, heard_ms}, std::move(options));
}

void Member::handle(const Ack& ack, const Datagram& datagram, Index from) {
  if (std::erase(leave_.nonces, ack.nonce)) ++leave_.acks;
  if (ack.heard_ms != kNeverHeard) roster_.at(from).knows_this_process = true;
  const auto probe = std::find_if(probes_.begin(), probes_.end(),
                                  [&](const Probe& p) { return p.nonce == ack.nonce && p.target == from; });
  if (probe != probes_.end()) return on_probe_acked(probe, ack);
  const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const IndirectProbe& r) {
    return r.nonce == ack.nonce && r.target == datagram.from.name;
  });
  if (relay == relays_.end()) return;
  // The record carries the incarnation of the answer, which may refute a suspicion of the requester.
  SendOptions options;
  options.updates.push_back(roster_.make_record(from, false));
  send(relay->requester, IndirectAck{relay->requester_nonce, relay->target, ack.heard_ms},
       std::move(options));
  relays_.erase(relay);
}

// Probes only members of this member's roster, at the address known here, so that a requester can't make this
// member send datagrams to a third party.
void Member::handle(const PingRequest& request, const Datagram& datagram, Index) {
  if (relays_.size() >= kMaxRelays || request.target == self_.name) return;
  const auto target = roster_.find(request.target);
  if (target == kNoMember) return send(datagram.from.address, Nack{request.nonce});
  IndirectProbe relay{nonce(), request.nonce, request.target, datagram.from.address,
                      now_ + options_.period / 4};
  send_about(target, Ping{relay.nonce, request.target, datagram.from.name});
  relays_.push_back(std::move(relay));
}

void Member::handle(const IndirectAck& ack, const Datagram&, Index) {
  for (auto& probe : probes_) {
    if (probe.nonce != ack.nonce || roster_.at(probe.target).name != ack.target) continue;
    if (probe.helper_replies < 255) ++probe.helper_replies;
    if (!probe.indirect_heard_ms || ack.heard_ms < *probe.indirect_heard_ms)
      probe.indirect_heard_ms = ack.heard_ms;
  }
}

void Member::handle(const Nack& nack, const Datagram&, Index) {
  for (auto& probe : probes_)
    if (probe.nonce == nack.nonce && probe.helper_replies < 255) ++probe.helper_replies;
}

}  // namespace granitegap::membership
