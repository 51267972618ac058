// Peers that are not verified yet, and contact with seeds and dead members: how a process joins, when it may
// take its share of fleet-wide limits, and how the sides of a healed partition find each other.
#include <algorithm>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

constexpr std::size_t kMaxUnverifiedPeers = 256;
constexpr unsigned kContactAbsentEvery = 4;        // periods
constexpr std::size_t kFirstContactBytes = 1100;   // of a ping to an address that may not know this member
constexpr std::size_t kMaxContactsWhileAlone = 3;  // a period
constexpr std::size_t kMaxAnnouncements = 8;       // a period
constexpr int kAloneFor = 4;  // periods without an answer of any seed, after which nobody is expected

}  // namespace

void Member::receive_unverified(const Datagram& d, std::size_t bytes, Index i) {
  if (const auto* ack = std::get_if<Ack>(&d.body)) return on_verification(d, *ack);
  if (const auto* ping = std::get_if<Ping>(&d.body)) answer_unverified(d, *ping, bytes, i);
}

// The peer answered with the right nonce: it is reached at the address it claims.
void Member::on_verification(const Datagram& d, const Ack& ack) {
  const auto& from = d.from;
  const auto peer =
      std::find_if(unverified_peers_.begin(), unverified_peers_.end(), [&](const UnverifiedPeer& p) {
        if (p.nonce != ack.nonce) return false;
        return p.name.empty() || (p.name == from.name && p.boot_id == from.boot_id);
      });
  if (peer == unverified_peers_.end()) return;
  unverified_peers_.erase(peer);
  apply({from.name, from.address, from.boot_id, from.incarnation, Status::alive, 0, 0, std::nullopt}, true);
  const auto i = roster_.find(from.name);
  const bool present = i != kNoMember && roster_.is_present(i);
  // Each may hold the other dead: what the peer reports of this member is used in any case, so that both can
  // refute.
  for (const auto& record : d.updates)
    if (present || record.name == self_.name) apply(record);
  if (present && !joined_) request_sync(i);
}

// Never answers an unknown address with more bytes than came from it.
void Member::answer_unverified(const Datagram& d, const Ping& ping, std::size_t bytes, Index i) {
  if (ping.secondary_path || (!ping.target.empty() && ping.target != self_.name)) return;
  const bool known = i != kNoMember;
  SendOptions options;
  options.without_gossip = true;
  if (known) options.updates.push_back(roster_.make_record(i, false));
  const auto before = outgoing_.size();
  send(d.from.address, Ack{ping.nonce, kNeverHeard}, std::move(options));
  if (outgoing_.size() == before) return;
  const auto used = max_encoded_size(outgoing_.back().datagram);
  if (used > bytes && !known) {
    outgoing_.pop_back();
    return;
  }
  verify_peer(d.from, known ? kMaxDatagram : bytes - used);
}

// Pings the address that the peer claims: only an answer with the right nonce makes a member of it.
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

// Padded, so that the other side may answer with what it knows.
void Member::contact_address(const Address& to) {
  if (unverified_peers_.size() >= kMaxUnverifiedPeers) return;
  UnverifiedPeer peer{{}, to, {}, nonce(), now_ + 4 * options_.period};
  SendOptions options;
  options.without_gossip = true;
  options.pad_to = kFirstContactBytes;
  send(to, Ping{peer.nonce, {}, {}}, std::move(options));
  unverified_peers_.push_back(std::move(peer));
}

std::vector<Address> Member::absent_seeds() const {
  std::vector<Address> absent;
  for (const auto& seed : options_.seeds) {
    bool present = seed == self_.address;
    for (auto i = roster_.oldest_contact(); i != kNoMember && !present; i = roster_.next_contact(i))
      present = roster_.at(i).address == seed;
    if (!present) absent.push_back(seed);
  }
  return absent;
}

// Seeds that are not present, and dead members: so that two sides that hold each other dead find together,
// and a process that started alone finds the others. One every few periods, and several while alone.
void Member::contact_absent() {
  const bool alone = roster_.present() == 0;
  const bool unanswered = local_health_.consecutive_failures() >= 2 && period_count_ % 2 == 0;
  const bool due = period_count_ % kContactAbsentEvery == 0;
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
  // Others may hold another process under this name: what they know of it comes with the answer, if there is
  // room.
  if (unanswered)
    if (const auto i = random_present(false); i != kNoMember) contact_address(roster_.at(i).address);
  if (!due) return;
  contact_dead();
  if (!addresses.empty()) contact_address(addresses.front());
}

void Member::contact_dead() {
  std::vector<Index> dead;
  for (const auto i : roster_.tombstones())
    if (roster_.at(i).known && roster_.at(i).status == Status::dead) dead.push_back(i);
  if (dead.empty()) return;
  const auto i = dead[random_() % dead.size()];
  const auto& e = roster_.at(i);
  UnverifiedPeer peer{e.name, e.address, e.boot_id, nonce(), now_ + 4 * options_.period};
  send_about(i, Ping{peer.nonce, e.name, {}});
  if (unverified_peers_.size() < kMaxUnverifiedPeers) unverified_peers_.push_back(std::move(peer));
}

// ---- Being known to the others ----

// A process that knows the others need not be known to them: the datagrams that verify its address may be
// lost. Until each has answered it as a member it contacts them again, padded as at first, so that they may
// verify it.
void Member::announce_to_unaware() {
  std::size_t announced = 0;
  for (auto i = roster_.oldest_contact(); i != kNoMember && announced < kMaxAnnouncements;
       i = roster_.next_contact(i)) {
    const auto& e = roster_.at(i);
    if (e.knows_this_process) continue;
    SendOptions options;
    options.about = i;
    options.without_gossip = true;
    options.pad_to = kFirstContactBytes;
    send(e.address, Ping{nonce(), e.name, {}}, std::move(options));
    ++announced;
  }
  if (!may_be_admitted()) return;
  limit_admitted_ = true;
  notify(ChangeKind::limit_holders, self_.name, true);
}

// The others divide fleet-wide limits among those that they know. This process takes its share one period
// after all know it: their own shares are lower by then, and the calls over them have ended. Some that can't
// answer hold it up no longer than views take to settle.
bool Member::may_be_admitted() {
  const auto lived = now_ - started_at_;
  if (roster_.present() == 0) return unheard_seeds() == 0 || lived >= kAloneFor * options_.period;
  bool known_to_all = joined_;
  bool known_to_any = false;
  for (auto i = roster_.oldest_contact(); i != kNoMember; i = roster_.next_contact(i)) {
    const bool is_aware = roster_.at(i).knows_this_process;
    known_to_all = known_to_all && is_aware;
    known_to_any = known_to_any || is_aware;
  }
  if (known_to_any && lived >= limit_holders_.settle_time()) return true;
  if (!known_to_all) {
    known_to_all_since_.reset();
    return false;
  }
  if (!known_to_all_since_) known_to_all_since_ = now_;
  return now_ - *known_to_all_since_ >= options_.period;
}

}  // namespace granitegap::membership
