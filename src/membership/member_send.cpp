// Construction of datagrams and random selection of members.
#include <algorithm>

#include "membership/member.h"
#include "membership/milliseconds.h"

namespace granitegap::membership {
namespace {

constexpr std::uint32_t kMaxSentMs = 0xfffffff0;
constexpr std::size_t kPaddingOverhead = 3;  // bytes of the padding field other than the padding
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
  Datagram datagram;
  datagram.from = {self_.name, self_.address, self_.boot_id, incarnation_,
                   to_clamped_milliseconds(now_ - started_at_, kMaxSentMs)};
  datagram.body = std::move(body);
  datagram.updates = std::move(options.updates);
  const auto about = options.about;
  if (about != kNoMember && roster_.at(about).known && roster_.at(about).status != Status::alive) {
    datagram.updates.push_back(roster_.make_record(about, false));
    if (roster_.at(about).confirmations.has(own_hash_)) datagram.updates.back().suspected_by = own_hash_;
  }
  const auto used = max_encoded_size(datagram);
  if (used > kMaxDatagram) return;
  if (!options.without_gossip && !std::holds_alternative<SyncChunk>(datagram.body)) {
    const auto fleet = roster_.present() + 1;
    dissemination_queue_.fill(datagram.updates, kMaxDatagram - used,
                              retransmit_limit(options_, fleet, dissemination_queue_.size()),
                              dissemination_time(options_, fleet), now_);
  }
  if (options.pad_to > used + kPaddingOverhead)
    datagram.padding = std::uint16_t(options.pad_to - used - kPaddingOverhead);
  outgoing_.push_back({to, std::move(datagram)});
}

// Sends a datagram to a member. The record of a member that is not `alive` in this view precedes the gossip,
// so that the member can refute it.
void Member::send_about(Index member, Body body, std::vector<Record> updates) {
  SendOptions options;
  options.about = member;
  options.updates = std::move(updates);
  send(roster_.at(member).address, std::move(body), std::move(options));
}

// Sends a datagram on the secondary path if this member has one and the other end has published one.
void Member::send_via_secondary(Index to, Body body) {
  const auto& state = roster_.at(to);
  if (!self_.secondary_address || !state.metadata.secondary_address) return;
  const auto before = outgoing_.size();
  SendOptions options;
  options.about = to;
  send(state.metadata.secondary_address, std::move(body), std::move(options));
  if (outgoing_.size() > before) outgoing_.back().via_secondary = true;
}

void Member::ping_via_secondary(Index target, std::uint32_t nonce) {
  if (!options_.baseline_mode) send_via_secondary(target, Ping{nonce, roster_.at(target).name, {}, true});
}

// Returns a random member that is present, or kNoMember.
Index Member::random_present(bool alive_only) {
  if (roster_.present() == 0) return kNoMember;
  for (int draw = 0; draw < kMaxRandomDraws; ++draw) {
    if (probe_round_.empty()) break;
    const auto member = probe_round_[random_() % probe_round_.size()];
    if (roster_.is_present(member) && (!alive_only || roster_.at(member).status == Status::alive))
      return member;
  }
  for (auto member = roster_.oldest_contact(); member != kNoMember; member = roster_.next_contact(member))
    if (!alive_only || roster_.at(member).status == Status::alive) return member;
  return kNoMember;
}

// Selects helpers at random, from different zones as far as possible. Excludes members whose link with this
// one is broken or has shown faults.
std::vector<Index> Member::select_helpers(Index target, unsigned max) {
  std::vector<Index> selected;
  const auto suitable = [&](Index member) {
    const auto& state = roster_.at(member);
    return member != target && state.status == Status::alive && !state.link_broken &&
           state.link_fault_count == 0 &&
           std::find(selected.begin(), selected.end(), member) == selected.end();
  };
  const auto in_new_zone = [&](Index member) {
    return std::none_of(selected.begin(), selected.end(), [&](Index other) {
      return roster_.at(other).metadata.zone == roster_.at(member).metadata.zone;
    });
  };
  for (unsigned draw = 0; draw < 6 * max && selected.size() < max; ++draw) {
    const auto member = random_present(true);
    if (member == kNoMember) break;
    const bool any_zone = draw >= 3 * max;
    if (suitable(member) && (any_zone || in_new_zone(member))) selected.push_back(member);
  }
  return selected;
}

}  // namespace granitegap::membership
