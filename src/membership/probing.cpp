// Probes, helpers, links that fail one way, strangers and full exchanges; member.cpp has the rest of Member.
#include <algorithm>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxRelays = 128, kMaxStrangers = 256, kMaxExchanges = 4, kMaxProbes = 64;
constexpr std::uint8_t kLinkChecks = 5;  // in a row of one direction: chance at 20 % loss is under 1 in 3,000
constexpr unsigned kCallAbsentEvery = 4;  // periods
constexpr std::size_t kKnock = 1100;      // bytes of a first datagram to an address that knows nothing of us
constexpr TimePoint kNever = TimePoint::max();

std::int64_t ms(Duration d) { return std::chrono::duration_cast<milliseconds>(d).count(); }

}  // namespace

// ---- Sending ----

void Member::send(const Address& to, Body body, TimePoint now, Index about, std::size_t filler_to,
                  std::vector<Record> first) {
  Datagram d;
  d.from = {self_.name, self_.address, self_.boot_id, incarnation_,
            std::uint32_t(std::clamp<std::int64_t>(ms(now - started_), 0, 0xfffffff0))};
  d.body = std::move(body);
  d.updates = std::move(first);
  if (about != kNoMember && roster_.at(about).known && roster_.at(about).status != Status::alive) {
    d.updates.push_back(roster_.record_of(about, false));
    if (roster_.at(about).confirmations.has(own_hash_)) d.updates.back().suspected_by = own_hash_;
  }
  const auto used = max_encoded_size(d);
  if (used > kMaxDatagram) return;
  const bool stranger = filler_to > 0;
  if (!stranger && !std::holds_alternative<SyncChunk>(d.body))
    dissemination_queue_.fill(d.updates, kMaxDatagram - used,
                              retransmit_limit(options_, roster_.present() + 1, dissemination_queue_.size()),
                              dissemination_time(options_, roster_.present() + 1), now);
  if (filler_to > used + 3) d.padding = std::uint16_t(filler_to - used - 3);
  outgoing_.push_back({to, std::move(d)});
}

void Member::send_via_secondary(Index to, Body body, TimePoint now) {
  const auto& e = roster_.at(to);
  if (!self_.secondary_address || !e.metadata.secondary_address)
    return;  // only where the other end itself has told of it
  const auto before = outgoing_.size();
  send(e.metadata.secondary_address, std::move(body), now, to);
  if (outgoing_.size() > before) outgoing_.back().via_secondary = true;
}

void Member::ping_via_secondary(Index target, std::uint32_t n, TimePoint now) {
  if (!options_.baseline_mode) send_via_secondary(target, Ping{n, roster_.at(target).name, {}, true}, now);
}

Duration Member::late_after(const MemberState& e) const {
  if (options_.baseline_mode) return options_.period / 2;
  const auto most = options_.period / 5;
  return e.round_trip.late_after(std::min(options_.min_probe_timeout, most), most) * health_.multiplier();
}

Index Member::random_present(bool alive_only) {
  if (roster_.present() == 0) return kNoMember;
  for (int tries = 0; tries < 32; ++tries) {
    if (round_.empty()) break;
    const auto i = round_[random_() % round_.size()];
    if (roster_.is_present(i) && (!alive_only || roster_.at(i).status == Status::alive)) return i;
  }
  for (auto i = roster_.oldest_contact(); i != kNoMember; i = roster_.next_contact(i))
    if (!alive_only || roster_.at(i).status == Status::alive) return i;
  return kNoMember;
}

// A shuffled round: whoever falls silent is probed within so many periods as there are members, twice that
// at the most.
Index Member::next_in_round() {
  for (int turn = 0; turn < 2; ++turn) {
    for (; round_at_ < round_.size(); ++round_at_) {
      const auto i = round_[round_at_];
      if (!roster_.is_present(i)) continue;
      ++round_at_;
      return i;
    }
    round_.clear();
    for (auto i = roster_.oldest_contact(); i != kNoMember; i = roster_.next_contact(i)) round_.push_back(i);
    std::shuffle(round_.begin(), round_.end(), random_);
    round_at_ = 0;
  }
  return kNoMember;
}

// By chance, of different zones as far as there are enough, and none whose link with us is broken.
std::vector<Index> Member::helpers_for(Index target, unsigned most) {
  std::vector<Index> picked;
  const auto good = [&](Index i) {
    const auto& e = roster_.at(i);
    return i != kNoMember && i != target && e.status == Status::alive && !e.link_broken &&
           e.link_fault_count == 0 && std::find(picked.begin(), picked.end(), i) == picked.end();
  };
  const auto new_zone = [&](Index i) {
    return std::none_of(picked.begin(), picked.end(),
                        [&](Index p) { return roster_.at(p).metadata.zone == roster_.at(i).metadata.zone; });
  };
  for (unsigned tries = 0; tries < 6 * most && picked.size() < most; ++tries) {
    const auto i = random_present(true);
    if (i == kNoMember) break;
    if (good(i) && (tries >= 3 * most || new_zone(i))) picked.push_back(i);
  }
  return picked;
}

// ---- Probes ----

void Member::begin_probe(Index target, TimePoint now) {
  if (probes_.size() >= kMaxProbes) return;
  Probe p;
  p.nonce = nonce();
  p.target = target;
  p.sent = now;
  p.stage = 1;
  const auto& e = roster_.at(target);
  p.late_at = options_.baseline_mode ? kNever : now + late_after(e);
  p.verdict_at = now + options_.period * (options_.baseline_mode ? 1u : health_.multiplier());
  send(e.address, Ping{p.nonce, e.name, {}}, now, target);
  probes_.push_back(std::move(p));
  // Routed round at once where the straight way is known not to carry.
  if (!e.link_broken) return;
  ping_via_secondary(target, probes_.back().nonce, now);
  ask_helpers(probes_.back(), now);
}

void Member::probe_late(Probe& p, TimePoint now) {
  const auto& e = roster_.at(p.target);
  if (p.stage == 1) {
    p.stage = 2;
    p.late_at = now + late_after(e);
    send(e.address, Ping{p.nonce, e.name, {}}, now, p.target);
    ping_via_secondary(p.target, p.nonce, now);
    return;
  }
  p.late_at = kNever;
  if (!p.asked) ask_helpers(p, now);
}

void Member::ask_helpers(Probe& p, TimePoint now) {
  p.asked = true;
  const auto& e = roster_.at(p.target);
  for (const auto i : helpers_for(p.target, options_.indirect_probes))
    send(roster_.at(i).address, PingRequest{p.nonce, e.name, e.address}, now, i);
}

void Member::probe_ended(const Probe& p, TimePoint now) {
  if (!roster_.is_present(p.target)) return;
  auto& e = roster_.at(p.target);
  if (p.relayed) {
    e.reachable = true;
    health_.probe_answered();
    link_relayed(p.target, p, *p.relayed, now);
    return;
  }
  e.reachable = false;
  const bool heard = e.last_heard_at >= p.sent - 2 * options_.period;
  health_.probe_failed(p.asked && p.helpers_heard == 0, heard);
  judge(now);
  if (options_.baseline_mode) return accuse(p.target, now);
  if (health_.in_grace_period(now) || health_.local_connectivity() != LocalConnectivity::ok) return;
  // Silence from all sides while the probe was out says more of me than of the one probed.
  if (roster_.alive() >= 2 && !health_.heard_since(p.sent)) return;
  accuse(p.target, now);
}

// ---- Links that fail one way ----

void Member::link_answered(Index i, TimePoint now) {
  auto& e = roster_.at(i);
  if (e.link_broken) set_link(i, false, false, now);
  e.link_fault_count = 0;
}

// The straight way failed and a way round did not: which direction is it? `heard_ms` tells whether my pings
// arrive.
void Member::link_relayed(Index i, const Probe& p, std::uint32_t heard_ms, TimePoint now) {
  auto& e = roster_.at(i);
  if (e.link_broken) return;
  const bool arrives = heard_ms != kNeverHeard && heard_ms <= std::uint64_t(ms(now - p.sent));
  if (e.link_fault_count == 0 || e.link_inbound != arrives) {
    if (e.link_fault_count == 0) add_once(checked_links_, i);
    e.link_fault_count = 1;
    e.link_inbound = arrives;
    return;
  }
  if (++e.link_fault_count >= kLinkChecks) set_link(i, true, arrives, now);
}

void Member::set_link(Index i, bool broken, bool inbound, TimePoint now) {
  auto& e = roster_.at(i);
  if (broken) add_once(checked_links_, i);
  e.link_broken = broken;
  e.link_inbound = inbound;
  if (!broken) e.link_fault_count = 0;
  say(broken ? ChangeKind::link_broken : ChangeKind::link_recovered, e.name, true);
  retell(now);
}

// ---- Receiving ----

void Member::receive(const Datagram& d, std::size_t bytes, TimePoint now) {
  begin(now);
  now = now_;
  const auto& from = d.from;
  if (from.name.empty() || !from.address) return;
  if (from.name == self_.name) {
    const auto* notice = std::get_if<NameConflict>(&d.body);
    if (from.boot_id == self_.boot_id || !notice || notice->to != self_.boot_id) return;
    // It lives: it names a life that began while it was there. Whoever holds the name answers.
    if (!yielding_) send(from.address, NameConflict{from.boot_id}, now);
    conflicting_boot_id_ = from.boot_id;
    return note_name_conflict(from.address, now);
  }
  auto i = roster_.find(from.name);
  bool known = false;
  if (i != kNoMember) {
    auto& e = roster_.at(i);
    if (from.boot_id == e.boot_id) {
      // Guards against datagrams held up or played again: by the sender's own clock, as clocks don't agree.
      const auto offset = ms(now - started_) - std::int64_t(from.sent_ms);
      if (e.last_timely_at == TimePoint{} || offset < e.clock_offset_ms) e.clock_offset_ms = offset;
      const auto held_up = offset - e.clock_offset_ms;
      if (milliseconds(held_up) > options_.max_message_age &&
          now - e.last_timely_at <= options_.max_message_age) {
        ++counters_.late;
        return;
      }
      if (milliseconds(held_up) > options_.max_message_age)
        e.clock_offset_ms = offset;        // its clock stood still
      e.clock_offset_ms += held_up / 256;  // clocks drift
      e.last_timely_at = now;
      known = roster_.is_present(i) || from.incarnation > e.incarnation;
    } else if (from.incarnation <= e.incarnation) {
      // An earlier life, or a new one whose clock went back: it learns of what is known, and goes beyond it.
      ++counters_.stale_boot_id;
      if (const auto* ping = std::get_if<Ping>(&d.body); ping && bytes >= kKnock / 2)
        send(from.address, Ack{ping->nonce, kNeverHeard}, now, kNoMember, 1, {roster_.record_of(i, true)});
      return;
    }
  }
  if (!known) {
    ++counters_.unverified_peers;
    if (const auto* ack = std::get_if<Ack>(&d.body)) {
      const auto it = std::find_if(strangers_.begin(), strangers_.end(), [&](const auto& s) {
        return s.nonce == ack->nonce &&
               (s.name.empty() || (s.name == from.name && s.boot_id == from.boot_id));
      });
      if (it == strangers_.end()) return;
      strangers_.erase(it);
      apply({from.name, from.address, from.boot_id, from.incarnation, Status::alive, 0, 0, std::nullopt}, now,
            true);
      i = roster_.find(from.name);
      const bool member = i != kNoMember && roster_.is_present(i);
      // Each held the other dead: what it says of me is heeded, so that both can refute.
      for (const auto& r : d.updates)
        if (member || r.name == self_.name) apply(r, now);
      if (member && !joined_) ask_exchange(i, now);
      return;
    }
    if (const auto* ping = std::get_if<Ping>(&d.body)) {
      if (ping->secondary_path || (!ping->target.empty() && ping->target != self_.name)) return;
      std::vector<Record> about;
      if (i != kNoMember) about.push_back(roster_.record_of(i, false));
      const auto sends_before = outgoing_.size();
      send(from.address, Ack{ping->nonce, kNeverHeard}, now, kNoMember, 1, std::move(about));
      if (outgoing_.size() == sends_before) return;
      const auto used = max_encoded_size(outgoing_.back().datagram);
      if (used > bytes && i == kNoMember) {  // never more to an unknown address than came from it
        outgoing_.pop_back();
        return;
      }
      meet(d, i == kNoMember ? bytes - used : kMaxDatagram, now);
    }
    return;
  }
  auto& e = roster_.at(i);
  health_.heard(now);
  last_heard_ = i;
  // By the second path it is there, but that says nothing of the straight one.
  const auto* by_ping = std::get_if<Ping>(&d.body);
  const auto* by_ack = std::get_if<Ack>(&d.body);
  if (!(by_ping && by_ping->secondary_path) && !(by_ack && by_ack->secondary_path)) e.last_heard_at = now;
  if (from.incarnation > e.incarnation)
    apply({from.name, from.address, from.boot_id, from.incarnation, Status::alive, 0, 0, std::nullopt}, now);
  const bool in_exchange = std::holds_alternative<SyncChunk>(d.body);
  for (const auto& r : d.updates) apply(r, now, false, in_exchange);
  if (const auto* ping = std::get_if<Ping>(&d.body)) on(*ping, d, i, now);
  if (const auto* ack = std::get_if<Ack>(&d.body)) on(*ack, d, i, now);
  if (const auto* ask = std::get_if<PingRequest>(&d.body)) on(*ask, d, now);
  if (const auto* relayed = std::get_if<IndirectAck>(&d.body)) on(*relayed);
  if (const auto* nack = std::get_if<Nack>(&d.body)) on(*nack);
  if (const auto* ask = std::get_if<SyncRequest>(&d.body)) on(*ask, d, now);
  if (const auto* piece = std::get_if<SyncChunk>(&d.body)) on(*piece);
}

void Member::on(const Ping& ping, const Datagram& d, Index from, TimePoint now) {
  // Guards against an address taken over: whoever is there now does not vouch for the one before.
  if (!ping.target.empty() && ping.target != self_.name) {
    ++counters_.misaddressed;
    return;
  }
  std::uint32_t heard_ms = kNeverHeard;
  const auto asker = ping.origin.empty() ? from : roster_.find(ping.origin);
  if (asker != kNoMember && roster_.at(asker).known)
    heard_ms =
        std::uint32_t(std::clamp<std::int64_t>(ms(now - roster_.at(asker).last_heard_at), 0, 0xfffffff0));
  if (ping.secondary_path) return send_via_secondary(from, Ack{ping.nonce, heard_ms, true}, now);
  if (ping.origin.empty()) roster_.record_contact(from);
  send(d.from.address, Ack{ping.nonce, heard_ms}, now, from);
}

void Member::on(const Ack& ack, const Datagram& d, Index from, TimePoint now) {
  if (std::erase(leave_nonces_, ack.nonce)) ++leave_acks_;
  const auto probe = std::find_if(probes_.begin(), probes_.end(),
                                  [&](auto& p) { return p.nonce == ack.nonce && p.target == from; });
  if (probe != probes_.end() && ack.secondary_path) {  // a way round, like a helper's
    if (!probe->relayed || ack.heard_ms < *probe->relayed) probe->relayed = ack.heard_ms;
    return;
  }
  if (probe != probes_.end()) {
    auto& e = roster_.at(from);
    if (probe->stage == 1) e.round_trip.sample(now - probe->sent);  // Karn: not where it was sent twice
    e.reachable = true;
    roster_.record_contact(from);
    health_.probe_answered();
    link_answered(from, now);
    probes_.erase(probe);
    return;
  }
  const auto relay = std::find_if(relays_.begin(), relays_.end(),
                                  [&](auto& r) { return r.nonce == ack.nonce && r.target == d.from.name; });
  if (relay == relays_.end()) return;
  send(relay->origin, IndirectAck{relay->theirs, relay->target, ack.heard_ms}, now);
  relays_.erase(relay);
}

void Member::on(const PingRequest& ask, const Datagram& d, TimePoint now) {
  if (relays_.size() >= kMaxRelays || ask.target == self_.name) return;
  const auto target = roster_.find(ask.target);
  // Only whom I know myself, at the address that I know: guards against being used to send to anybody.
  if (target == kNoMember) return send(d.from.address, Nack{ask.nonce}, now);
  Relay r{nonce(), ask.nonce, ask.target, d.from.address, now + options_.period / 4};
  send(roster_.at(target).address, Ping{r.nonce, ask.target, d.from.name}, now, target);
  relays_.push_back(std::move(r));
}

void Member::on(const IndirectAck& relayed) {
  for (auto& p : probes_)
    if (p.nonce == relayed.nonce && roster_.at(p.target).name == relayed.target) {
      if (p.helpers_heard < 255) ++p.helpers_heard;
      if (!p.relayed || relayed.heard_ms < *p.relayed) p.relayed = relayed.heard_ms;
    }
}

void Member::on(const Nack& nack) {
  for (auto& p : probes_)
    if (p.nonce == nack.nonce && p.helpers_heard < 255) ++p.helpers_heard;
}

// ---- Strangers, the absent, exchanges ----

// Whoever says it is somebody is asked at the address that it names: only an answer with the right nonce
// makes a member of it.
void Member::meet(const Datagram& d, std::size_t room, TimePoint now) {
  const bool met = std::any_of(strangers_.begin(), strangers_.end(),
                               [&](auto& s) { return s.name == d.from.name && s.boot_id == d.from.boot_id; });
  if (met || strangers_.size() >= kMaxStrangers) return;
  UnverifiedPeer s{d.from.name, d.from.address, d.from.boot_id, nonce(), now + 4 * options_.period};
  send(s.address, Ping{s.nonce, s.name, {}}, now, kNoMember, 1);
  if (max_encoded_size(outgoing_.back().datagram) > room) {
    outgoing_.pop_back();
    return;
  }
  strangers_.push_back(std::move(s));
}

// Seeds that are not among those present, and the dead: so that two halves that held each other dead find
// together, and a process that started alone finds the others. One each few periods, all while alone.
void Member::call_absent(TimePoint now) {
  const bool alone = roster_.present() == 0;
  const bool unanswered = health_.consecutive_failures() >= 2 && periods_ % 2 == 0;
  if (!alone && !unanswered && periods_ % kCallAbsentEvery != 0) return;
  std::vector<Address> seeds;
  for (const auto& s : options_.seeds) {
    bool there = s == self_.address;
    for (auto i = roster_.oldest_contact(); i != kNoMember && !there; i = roster_.next_contact(i))
      there = roster_.at(i).address == s;
    if (!there) seeds.push_back(s);
  }
  const auto knock = [&](const Address& to) {
    if (strangers_.size() >= kMaxStrangers) return;
    UnverifiedPeer s{{}, to, {}, nonce(), now + 4 * options_.period};
    send(to, Ping{s.nonce, {}, {}}, now, kNoMember, kKnock);
    strangers_.push_back(std::move(s));
  };
  if (alone)
    for (const auto& a : join_addresses_)
      if (a != self_.address) seeds.push_back(a);
  std::shuffle(seeds.begin(), seeds.end(), random_);
  if (alone) {
    for (std::size_t k = 0; k < std::min<std::size_t>(seeds.size(), 3); ++k) knock(seeds[k]);
    return;
  }
  // Others may hold another life under this name: what they know of it comes with the answer, if there is
  // room.
  if (unanswered)
    if (const auto i = random_present(false); i != kNoMember) knock(roster_.at(i).address);
  if (periods_ % kCallAbsentEvery != 0) return;
  std::vector<Index> dead;
  for (const auto i : roster_.tombstones())
    if (roster_.at(i).known && roster_.at(i).status == Status::dead) dead.push_back(i);
  if (!dead.empty()) {
    const auto i = dead[random_() % dead.size()];
    const auto& e = roster_.at(i);
    UnverifiedPeer s{e.name, e.address, e.boot_id, nonce(), now + 4 * options_.period};
    send(e.address, Ping{s.nonce, e.name, {}}, now, i);
    if (strangers_.size() < kMaxStrangers) strangers_.push_back(std::move(s));
  }
  if (!seeds.empty()) knock(seeds.front());
}

void Member::ask_exchange(Index with, TimePoint now) {
  ++counters_.sync_requests;
  const auto n = nonce();
  auto sums = digest_of(roster_, own_record(true), buckets_for(roster_.present()), n);
  send(roster_.at(with).address, SyncRequest{n, true, std::move(sums)}, now, with);
}

void Member::on(const SyncRequest& ask, const Datagram& d, TimePoint now) {
  if (exchanges_.size() >= kMaxExchanges) return;
  const auto buckets = ask.sums.empty() ? kMinBuckets : ask.sums.size();
  auto mine = digest_of(roster_, own_record(true), buckets, ask.nonce);
  const auto wanted = differing_buckets(mine, ask.sums);
  // Alike: one piece says so, and that is all.
  if (wanted.none()) {
    if (ask.push) send(d.from.address, SyncChunk{ask.nonce, 0, true}, now);
    return;
  }
  exchanges_.push_back({d.from.address, ask.nonce, 0, 0, now, wanted, buckets});
  if (ask.push) send(d.from.address, SyncRequest{ask.nonce, false, std::move(mine)}, now);
  send_pieces(now);
}

void Member::on(const SyncChunk& piece) {
  if (piece.last) joined_ = true;
}

// In pieces, some a period: a newcomer must not cost a server of many members a stall.
void Member::send_pieces(TimePoint now) {
  for (auto& x : exchanges_) {
    if (now < x.at) continue;
    std::vector<Record> records;
    std::size_t room =
        kMaxDatagram - max_encoded_size(Datagram{{self_.name, {}, {}, 0, 0}, SyncChunk{}, {}, 0});
    const auto take = [&](Record r) {
      const auto bytes = max_encoded_size(r);
      if (bytes > room) return false;
      room -= bytes;
      records.push_back(std::move(r));
      return true;
    };
    const auto wants = [&](std::uint64_t hash) { return x.wanted[bucket_of(hash, x.buckets)]; };
    if (x.index == 0 && wants(own_hash_)) take(own_record(true));
    for (; x.next < roster_.slot_count(); ++x.next) {
      const auto& e = roster_.at(x.next);
      if (e.known && wants(e.hash) && !take(roster_.record_of(x.next, true))) break;
    }
    const bool last = x.next >= roster_.slot_count();
    send(x.to, SyncChunk{x.nonce, x.index, last}, now, kNoMember, 0, std::move(records));
    ++x.index;
    x.at = last ? kNever : now + options_.period / 8;
  }
  std::erase_if(exchanges_, [](const auto& x) { return x.at == kNever; });
}

}  // namespace granitegap::membership
