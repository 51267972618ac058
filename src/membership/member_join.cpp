// Contact with unverified peers, seeds and dead members: how a process joins, when it may take its share of
// fleet-wide limits, and how the sides of a healed partition find each other.
#include <algorithm>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

constexpr std::size_t kMaxUnverifiedPeers = 256;
constexpr unsigned kContactAbsentInterval = 4;        // periods
constexpr std::size_t kFirstContactPingBytes = 1100;  // of a ping to a peer that may not know this member
constexpr std::size_t kMaxContactsWhileAlone = 3;     // per period
constexpr std::size_t kMaxAnnouncements = 8;          // per period
constexpr int kSeedWait = 4;  // periods without an answer of any seed after which none is expected

}  // namespace

void Member::receive_unverified(const Datagram& datagram, std::size_t bytes, Index member) {
  if (const auto* ack = std::get_if<Ack>(&datagram.body)) return on_verification(datagram, *ack);
  if (const auto* ping = std::get_if<Ping>(&datagram.body)) answer_unverified(datagram, *ping, bytes, member);
}

// Handles an answer with the right nonce, which proves that the peer is reachable at its advertised address.
void Member::on_verification(const Datagram& datagram, const Ack& ack) {
  const auto& from = datagram.from;
  const auto peer =
      std::find_if(unverified_peers_.begin(), unverified_peers_.end(), [&](const UnverifiedPeer& p) {
        if (p.nonce != ack.nonce) return false;
        return p.name.empty() || (p.name == from.name && p.boot_id == from.boot_id);
      });
  if (peer == unverified_peers_.end()) return;
  unverified_peers_.erase(peer);
  apply({from.name, from.address, from.boot_id, from.incarnation, Status::alive, 0, 0, std::nullopt}, true);
  const auto member = roster_.find(from.name);
  const bool present = member != kNoMember && roster_.is_present(member);
  // Each side may have declared the other dead. Reports about this member are applied in any case, so that
  // both sides can refute.
  for (const auto& record : datagram.updates)
    if (present || record.name == self_.name) apply(record);
  if (present && !joined_) request_sync(member);
}

// Answers a ping of an unverified sender. An unknown address never receives more bytes than it sent, so that
// this member can't be used to amplify traffic.
void Member::answer_unverified(const Datagram& datagram, const Ping& ping, std::size_t bytes, Index member) {
  if (ping.secondary_path || (!ping.target.empty() && ping.target != self_.name)) return;
  const bool known = member != kNoMember;
  SendOptions options;
  options.without_gossip = true;
  if (known) options.updates.push_back(roster_.make_record(member, false));
  const auto before = outgoing_.size();
  send(datagram.from.address, Ack{ping.nonce, kNeverHeard}, std::move(options));
  if (outgoing_.size() == before) return;
  const auto used = max_encoded_size(outgoing_.back().datagram);
  if (used > bytes && !known) {
    outgoing_.pop_back();
    return;
  }
  verify_peer(datagram.from, known ? kMaxDatagram : bytes - used);
}

// Pings the address that the peer advertises. The peer becomes a member only by an answer with the right
// nonce.
void Member::verify_peer(const Sender& from, std::size_t max_bytes) {
  const bool pending =
      std::any_of(unverified_peers_.begin(), unverified_peers_.end(),
                  [&](const UnverifiedPeer& p) { return p.name == from.name && p.boot_id == from.boot_id; });
  if (pending || unverified_peers_.size() >= kMaxUnverifiedPeers) return;
  UnverifiedPeer peer{from.name, from.address, from.boot_id, nonce(), now_ + 4 * options_.period};
  SendOptions options;
  options.without_gossip = true;
  send(peer.address, Ping{peer.nonce, peer.name, {}}, std::move(options));
  if (max_encoded_size(outgoing_.back().datagram) > max_bytes) {
    outgoing_.pop_back();
    return;
  }
  unverified_peers_.push_back(std::move(peer));
}

// Pings an address whose member is unknown. The ping is padded so that the answer, which must not be larger,
// has room for what the other side knows.
void Member::contact_address(const Address& to) {
  if (unverified_peers_.size() >= kMaxUnverifiedPeers) return;
  UnverifiedPeer peer{{}, to, {}, nonce(), now_ + 4 * options_.period};
  SendOptions options;
  options.without_gossip = true;
  options.pad_to = kFirstContactPingBytes;
  send(to, Ping{peer.nonce, {}, {}}, std::move(options));
  unverified_peers_.push_back(std::move(peer));
}

// Returns the seeds whose address is neither that of this member nor that of a present one.
std::vector<Address> Member::absent_seeds() const {
  std::vector<Address> absent;
  for (const auto& seed : options_.seeds) {
    bool present = seed == self_.address;
    for (auto member = roster_.oldest_contact(); member != kNoMember && !present;
         member = roster_.next_contact(member))
      present = roster_.at(member).address == seed;
    if (!present) absent.push_back(seed);
  }
  return absent;
}

// Contacts absent seeds and dead members, so that two sides that declared each other dead merge again, and a
// process that started alone finds the others. Contacts one of each every few periods, and several addresses
// while no other member is present.
void Member::contact_absent_members() {
  const bool alone = roster_.present() == 0;
  const bool unanswered = local_health_.consecutive_failures() >= 2 && period_count_ % 2 == 0;
  const bool due = period_count_ % kContactAbsentInterval == 0;
  if (!alone && !unanswered && !due) return;
  auto addresses = absent_seeds();
  if (alone)
    for (const auto& address : join_addresses_)
      if (address != self_.address) addresses.push_back(address);
  std::shuffle(addresses.begin(), addresses.end(), random_);
  if (alone) {
    const auto count = std::min(addresses.size(), kMaxContactsWhileAlone);
    for (std::size_t k = 0; k < count; ++k) contact_address(addresses[k]);
    return;
  }
  // Other members may know another process under this name. Their answer includes what they know of it if it
  // has room.
  if (unanswered)
    if (const auto member = random_present(false); member != kNoMember)
      contact_address(roster_.at(member).address);
  if (!due) return;
  contact_dead_member();
  if (!addresses.empty()) contact_address(addresses.front());
}

void Member::contact_dead_member() {
  std::vector<Index> dead;
  for (const auto member : roster_.tombstones())
    if (roster_.at(member).known && roster_.at(member).status == Status::dead) dead.push_back(member);
  if (dead.empty()) return;
  const auto member = dead[random_() % dead.size()];
  const auto& state = roster_.at(member);
  UnverifiedPeer peer{state.name, state.address, state.boot_id, nonce(), now_ + 4 * options_.period};
  send_about(member, Ping{peer.nonce, state.name, {}});
  if (unverified_peers_.size() < kMaxUnverifiedPeers) unverified_peers_.push_back(std::move(peer));
}

// ---- Admission to fleet-wide limits ----

// Contacts the members that have not yet answered this process as a member. A process that knows the others
// may be unknown to them if the datagrams that verify its address were lost. The pings are padded like the
// first one, so that the others have room to verify its address.
void Member::announce_to_unaware_members() {
  std::size_t announced = 0;
  for (auto member = roster_.oldest_contact(); member != kNoMember && announced < kMaxAnnouncements;
       member = roster_.next_contact(member)) {
    const auto& state = roster_.at(member);
    if (state.knows_this_process) continue;
    SendOptions options;
    options.about = member;
    options.without_gossip = true;
    options.pad_to = kFirstContactPingBytes;
    send(state.address, Ping{nonce(), state.name, {}}, std::move(options));
    ++announced;
  }
  if (!may_hold_limit_share()) return;
  limit_admitted_ = true;
  notify(ChangeKind::limit_holders, self_.name, true);
}

// Returns whether this process may take its share of fleet-wide limits. The others divide the limits among
// the members they know. This process takes its share one period after all members know it: by then their own
// shares have been lowered and the calls that exceeded them have ended. Members that can't answer delay this
// no longer than LimitHolders::settle_time().
bool Member::may_hold_limit_share() {
  const auto uptime = now_ - started_at_;
  if (roster_.present() == 0) return count_unheard_seeds() == 0 || uptime >= kSeedWait * options_.period;
  bool known_to_all = joined_;
  bool known_to_any = false;
  for (auto member = roster_.oldest_contact(); member != kNoMember; member = roster_.next_contact(member)) {
    const bool is_aware = roster_.at(member).knows_this_process;
    known_to_all = known_to_all && is_aware;
    known_to_any = known_to_any || is_aware;
  }
  if (known_to_any && uptime >= limit_holders_.settle_time()) return true;
  if (!known_to_all) {
    known_to_all_since_.reset();
    return false;
  }
  if (!known_to_all_since_) known_to_all_since_ = now_;
  return now_ - *known_to_all_since_ >= options_.period;
}

}  // namespace granitegap::membership
