// Building datagrams and choosing members at random.
#include <algorithm>

#include "membership/member.h"
#include "membership/milliseconds.h"

namespace granitegap::membership {
namespace {

constexpr std::uint32_t kMaxSentMs = 0xfffffff0;
constexpr std::size_t kPaddingFrame = 3;  // bytes around the padding on the wire
constexpr int kMaxRandomDraws = 32;

}  // namespace

Record Member::own_record(bool with_metadata) const {
  Record record;
  record.name = self_.name;
  record.address = self_.address;
  record.boot_id = self_.boot_id;
  record.incarnation = incarnation_;
  record.status = leave_.started ? Status::left : Status::alive;
  if (with_metadata) record.metadata = metadata_;
  return record;
}

void Member::send(const Address& to, Body body, SendOptions options) {
  Datagram d;
  d.from = {self_.name, self_.address, self_.boot_id, incarnation_,
            to_clamped_milliseconds(now_ - started_at_, kMaxSentMs)};
  d.body = std::move(body);
  d.updates = std::move(options.updates);
  const auto about = options.about;
  if (about != kNoMember && roster_.at(about).known && roster_.at(about).status != Status::alive) {
    d.updates.push_back(roster_.make_record(about, false));
    if (roster_.at(about).confirmations.has(own_hash_)) d.updates.back().suspected_by = own_hash_;
  }
  const auto used = max_encoded_size(d);
  if (used > kMaxDatagram) return;
  if (!options.without_gossip && !std::holds_alternative<SyncChunk>(d.body)) {
    const auto fleet = roster_.present() + 1;
    dissemination_queue_.fill(d.updates, kMaxDatagram - used,
                              retransmit_limit(options_, fleet, dissemination_queue_.size()),
                              dissemination_time(options_, fleet), now_);
  }
  if (options.pad_to > used + kPaddingFrame) d.padding = std::uint16_t(options.pad_to - used - kPaddingFrame);
  outgoing_.push_back({to, std::move(d)});
}

// A suspect is told of the suspicion first of all, so that it can refute it.
void Member::send_about(Index member, Body body, std::vector<Record> updates) {
  SendOptions options;
  options.about = member;
  options.updates = std::move(updates);
  send(roster_.at(member).address, std::move(body), std::move(options));
}

// Only where both ends have a secondary path, and the other end itself has published its own.
void Member::send_via_secondary(Index to, Body body) {
  const auto& e = roster_.at(to);
  if (!self_.secondary_address || !e.metadata.secondary_address) return;
  const auto before = outgoing_.size();
  SendOptions options;
  options.about = to;
  send(e.metadata.secondary_address, std::move(body), std::move(options));
  if (outgoing_.size() > before) outgoing_.back().via_secondary = true;
}

void Member::ping_via_secondary(Index target, std::uint32_t nonce) {
  if (!options_.baseline_mode) send_via_secondary(target, Ping{nonce, roster_.at(target).name, {}, true});
}

Index Member::random_present(bool alive_only) {
  if (roster_.present() == 0) return kNoMember;
  for (int draw = 0; draw < kMaxRandomDraws; ++draw) {
    if (probe_round_.empty()) break;
    const auto i = probe_round_[random_() % probe_round_.size()];
    if (roster_.is_present(i) && (!alive_only || roster_.at(i).status == Status::alive)) return i;
  }
  for (auto i = roster_.oldest_contact(); i != kNoMember; i = roster_.next_contact(i))
    if (!alive_only || roster_.at(i).status == Status::alive) return i;
  return kNoMember;
}

// At random, from different zones as far as there are enough, and none whose link with this member is broken.
std::vector<Index> Member::select_helpers(Index target, unsigned max) {
  std::vector<Index> selected;
  const auto suitable = [&](Index i) {
    const auto& e = roster_.at(i);
    return i != target && e.status == Status::alive && !e.link_broken && e.link_fault_count == 0 &&
           std::find(selected.begin(), selected.end(), i) == selected.end();
  };
  const auto in_new_zone = [&](Index i) {
    return std::none_of(selected.begin(), selected.end(), [&](Index other) {
      return roster_.at(other).metadata.zone == roster_.at(i).metadata.zone;
    });
  };
  for (unsigned draw = 0; draw < 6 * max && selected.size() < max; ++draw) {
    const auto i = random_present(true);
    if (i == kNoMember) break;
    const bool any_zone = draw >= 3 * max;
    if (suitable(i) && (any_zone || in_new_zone(i))) selected.push_back(i);
  }
  return selected;
}

}  // namespace granitegap::membership
