// Receiving datagrams: who sent them, and what each kind does.
#include <algorithm>

#include "membership/member.h"
#include "membership/milliseconds.h"

namespace granitegap::membership {
namespace {

constexpr std::size_t kMaxRelays = 128;
constexpr std::size_t kMinStaleAnswered = 550;  // bytes: the answer must not be larger than the datagram
constexpr std::uint32_t kMaxHeardMs = 0xfffffff0;
constexpr std::int64_t kClockDriftShare = 256;

Record alive_record(const Sender& from) {
  return {from.name, from.address, from.boot_id, from.incarnation, Status::alive, 0, 0, std::nullopt};
}

}  // namespace

void Member::receive(const Datagram& d, std::size_t bytes, TimePoint now) {
  advance_clock(now);
  const auto& from = d.from;
  if (from.name.empty() || !from.address) return;
  if (from.name == self_.name) return receive_from_own_name(d);
  const auto i = roster_.find(from.name);
  switch (check_sender(from, i)) {
    case SenderCheck::verified:
      return receive_verified(d, i);
    case SenderCheck::unverified:
      ++counters_.unverified_peers;
      return receive_unverified(d, bytes, i);
    case SenderCheck::late:
      ++counters_.late;
      return;
    case SenderCheck::stale:
      ++counters_.stale_boot_id;
      return reject_stale(d, bytes, i);
  }
}

// Only a notice that names this process' boot_id proves that the other one runs beside it.
void Member::receive_from_own_name(const Datagram& d) {
  const auto& from = d.from;
  const auto* notice = std::get_if<NameConflict>(&d.body);
  if (from.boot_id == self_.boot_id || !notice || notice->to != self_.boot_id) return;
  // The process that holds the name answers.
  if (!conflict_.yielded) send(from.address, NameConflict{from.boot_id});
  conflict_.boot_id = from.boot_id;
  note_name_conflict(from.address);
}

Member::SenderCheck Member::check_sender(const Sender& from, Index i) {
  if (i == kNoMember) return SenderCheck::unverified;
  auto& e = roster_.at(i);
  if (from.boot_id != e.boot_id)
    return from.incarnation <= e.incarnation ? SenderCheck::stale : SenderCheck::unverified;
  if (is_late(from, e)) return SenderCheck::late;
  const bool verified = roster_.is_present(i) || from.incarnation > e.incarnation;
  return verified ? SenderCheck::verified : SenderCheck::unverified;
}

// Rejects datagrams that were delayed or replayed. Compares with the sender's own clock, as clocks of two
// machines don't agree: the least offset ever seen stands for a datagram without delay.
bool Member::is_late(const Sender& from, MemberState& e) {
  const auto offset = to_milliseconds(now_ - started_at_) - std::int64_t(from.sent_ms);
  if (e.last_timely_at == TimePoint{} || offset < e.clock_offset_ms) e.clock_offset_ms = offset;
  const auto delay = offset - e.clock_offset_ms;
  const bool over_age = std::chrono::milliseconds(delay) > options_.max_message_age;
  if (over_age && now_ - e.last_timely_at <= options_.max_message_age) return true;
  if (over_age) e.clock_offset_ms = offset;  // the sender's clock stood still
  e.clock_offset_ms += delay / kClockDriftShare;
  e.last_timely_at = now_;
  return false;
}

// From a superseded process, or a new one whose clock went back: the answer carries what is known under its
// name, so that it can raise its incarnation above that.
void Member::reject_stale(const Datagram& d, std::size_t bytes, Index i) {
  const auto* ping = std::get_if<Ping>(&d.body);
  if (!ping || bytes < kMinStaleAnswered) return;
  SendOptions options;
  options.without_gossip = true;
  options.updates.push_back(roster_.make_record(i, true));
  send(d.from.address, Ack{ping->nonce, kNeverHeard}, std::move(options));
}

void Member::receive_verified(const Datagram& d, Index from) {
  auto& e = roster_.at(from);
  local_health_.datagram_received(now_);
  last_sender_ = from;
  // What comes by the secondary path says nothing of the direct link.
  const auto* ping = std::get_if<Ping>(&d.body);
  const auto* ack = std::get_if<Ack>(&d.body);
  const bool via_secondary = (ping && ping->secondary_path) || (ack && ack->secondary_path);
  if (!via_secondary) e.last_received_at = now_;
  if (d.from.incarnation > e.incarnation) apply(alive_record(d.from));
  const bool in_sync = std::holds_alternative<SyncChunk>(d.body);
  for (const auto& record : d.updates) apply(record, false, in_sync);
  std::visit([&](const auto& body) { handle(body, d, from); }, d.body);
}

void Member::handle(const Ping& ping, const Datagram& d, Index from) {
  // Another member may have taken over the address: it does not answer for the one before.
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
  send(d.from.address, Ack{ping.nonce, heard_ms}, std::move(options));
}

void Member::handle(const Ack& ack, const Datagram& d, Index from) {
  if (std::erase(leave_.nonces, ack.nonce)) ++leave_.acks;
  if (ack.heard_ms != kNeverHeard) roster_.at(from).knows_this_process = true;
  const auto probe = std::find_if(probes_.begin(), probes_.end(),
                                  [&](const Probe& p) { return p.nonce == ack.nonce && p.target == from; });
  if (probe != probes_.end()) return on_probe_acked(probe, ack);
  const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const IndirectProbe& r) {
    return r.nonce == ack.nonce && r.target == d.from.name;
  });
  if (relay == relays_.end()) return;
  // With the incarnation that it answered with: the requester may hold a suspicion that is refuted.
  SendOptions options;
  options.updates.push_back(roster_.make_record(from, false));
  send(relay->requester, IndirectAck{relay->requester_nonce, relay->target, ack.heard_ms},
       std::move(options));
  relays_.erase(relay);
}

// Only members of the own roster are probed, at the address known here: nobody can use this member to send
// datagrams to a third party.
void Member::handle(const PingRequest& request, const Datagram& d, Index) {
  if (relays_.size() >= kMaxRelays || request.target == self_.name) return;
  const auto target = roster_.find(request.target);
  if (target == kNoMember) return send(d.from.address, Nack{request.nonce});
  IndirectProbe relay{nonce(), request.nonce, request.target, d.from.address, now_ + options_.period / 4};
  send_about(target, Ping{relay.nonce, request.target, d.from.name});
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
