#include "membership/member.h"

#include <algorithm>
#include <utility>

namespace granitegap::membership {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kExchangeEvery = 10;  // periods
// How warm or pressed a member is: a change under this many hundredths waits, and a larger one for so long.
constexpr int kFine = 10;
constexpr unsigned kFineEvery = 4;                       // periods
constexpr unsigned kTwinSilence = 10;                    // periods after which a twin is taken for gone
constexpr std::size_t kSweepLeast = 4, kSweepMost = 16;  // members asked more a period while uncertain
constexpr unsigned kLeaveRounds = 3;

std::uint32_t ms_of(Duration d) {
  return std::uint32_t(
      std::clamp<std::int64_t>(std::chrono::duration_cast<milliseconds>(d).count(), 0, 0x7fffffff));
}

}  // namespace

Member::Member(Options options, Identity self, std::uint64_t seed, TimePoint now)
    : options_(std::move(options)),
      self_(std::move(self)),
      own_hash_(name_hash(self_.name)),
      incarnation_(std::max<Incarnation>(self_.first, 1)),
      random_(seed),
      started_(now),
      now_(now),
      next_period_(now),
      roster_(options_),
      health_(options_, now),
      guard_(options_),
      next_exchange_(now),
      last_heal_(now) {
  metadata_.version = 1;
  metadata_.zone = self_.zone;
  metadata_.second = self_.second;
  metadata_.fill_port = self_.fill_port;
  metadata_.generation = incarnation_;
  spread_.add(own_record(true), now);
}

Record Member::own_record(bool with_metadata) const {
  Record r{self_.name, self_.address, self_.boot_id, incarnation_, leaving_ ? Status::left : Status::alive, 0,
           0,          std::nullopt};
  if (with_metadata) r.metadata = metadata_;
  return r;
}

void Member::change(const Options& options) {
  const bool plain = options_.plain;
  options_ = options;
  options_.plain = plain;
}

void Member::introduce(const std::vector<Record>& known, TimePoint now) {
  now_ = std::max(now_, now);
  const bool joined = std::exchange(joined_, false);
  for (const auto& r : known)
    if (r.name != self_.name) apply(r, now_, false, true);
  joined_ = joined;
}

// ---- Time ----

TimePoint Member::next_wake() const {
  auto at = next_period_;
  for (const auto& p : probes_) at = std::min(at, std::min(p.late_at, p.verdict_at));
  for (const auto i : suspects_)  // those whose time is over wait until removals are allowed
    if (const auto& e = roster_.at(i); e.status == Status::suspect && e.deadline > now_)
      at = std::min(at, e.deadline);
  for (const auto& r : relays_) at = std::min(at, r.until);
  for (const auto& x : exchanges_) at = std::min(at, x.at);
  if (leaving_ && !has_left()) at = std::min(at, leave_next_);
  return at;
}

// Whatever comes first after a pause, a datagram or the wake-up that was due: the pause is noticed before
// anything is judged by the clock.
void Member::begin(TimePoint now) {
  now_ = std::max(now_, now);
  const auto late = health_.woke(now_, next_wake());
  if (late && *late >= options_.period) paused(*late);
}

// What was out when the pause began says nothing of anybody: guards against blaming others for one's own
// silence.
void Member::paused(Duration late) {
  ++counters_.pauses;
  probes_.clear();
  relays_.clear();
  guard_.excuse();
  for (const auto i : suspects_) roster_.at(i).deadline += late;
  next_period_ = std::max(next_period_, now_);
}

void Member::wake(TimePoint now) {
  begin(now);
  for (std::size_t i = 0; i < probes_.size();) {
    auto& p = probes_[i];
    if (now_ >= p.verdict_at) {
      const auto ended = std::move(p);
      probes_[i] = std::move(probes_.back());
      probes_.pop_back();
      probe_ended(ended, now_);
      continue;
    }
    if (now_ >= p.late_at) probe_late(p, now_);
    ++i;
  }
  for (std::size_t i = 0; i < relays_.size();) {
    if (now_ < relays_[i].until) {
      ++i;
      continue;
    }
    send(relays_[i].asker, Nack{relays_[i].theirs}, now_);
    relays_[i] = std::move(relays_.back());
    relays_.pop_back();
  }
  send_pieces(now_);
  if (leaving_ && now_ >= leave_next_ && !has_left()) send_leave(now_);
  if (now_ >= next_period_) {
    each_period(now_);
    next_period_ += options_.period;
    if (next_period_ <= now_) next_period_ = now_ + options_.period;
  }
  judge_suspects(now_);
}

void Member::each_period(TimePoint now) {
  ++periods_;
  std::erase_if(strangers_, [&](const auto& s) { return now >= s.until; });
  judge(now);
  roster_.bury(now, guard_.majority() && !guard_.uncertain(), [&](Index i) {
    spread_.drop(roster_.at(i).hash);
    say(ChangeKind::forgotten, roster_.at(i).name);
  });
  if (guard_.majority() || agreed() <= options_.expected) {
    for (const auto i : std::exchange(uncounted_, {}))
      if (roster_.is_present(i)) roster_.set_counted(i, true);
  }
  if (duplicate_ && now >= duplicate_until_) {
    duplicate_.reset();
    if (std::exchange(yielding_, false)) go_beyond(std::max(incarnation_, duplicate_incarnation_), now);
    retell(now);
    say(ChangeKind::duplicate, self_.name, true);
  }
  if (yielding_ && now >= name_conflict_) {
    send(*duplicate_, NameConflict{duplicate_boot_id_}, now);
    name_conflict_ = now + 2 * options_.period;
  }
  if (leaving_) return;
  call_absent(now);
  if (const auto target = next_in_round(); target != kNobody) begin_probe(target, now);
  probe_more(now);
  for (const auto i : checked_links_)  // until it is sure, every period; then its own turn is enough
    if (roster_.is_present(i) && !roster_.at(i).link_broken &&
        std::none_of(probes_.begin(), probes_.end(), [&](auto& p) { return p.target == i; }))
      begin_probe(i, now);
  std::erase_if(checked_links_, [&](Index i) {
    return !roster_.is_present(i) || (!roster_.at(i).link_broken && roster_.at(i).link_checks == 0);
  });
  const bool due = now >= next_exchange_;
  if (due || (!joined_ && periods_ % 2 == 0)) {
    // Soon again after the first ones: guards against a newcomer that met the fleet while others were
    // joining. It costs little where views are alike, so that its rate need not fall with the fleet's size.
    const auto every = std::min(kExchangeEvery, std::size_t(2) << std::min(joins_++, 20u));
    next_exchange_ = now + options_.period * std::int64_t(joined_ ? every : 2);
    if (const auto with = random_present(true); with != kNobody) ask_exchange(with, now);
  }
}

// Beside the round: whoever had no contact for longest, one a period, which bounds the time after which a
// link that fails one way is noticed and costs small fleets nothing. While the view is uncertain, those not
// heard since that began, many at once: whether most are there must be known soon.
void Member::probe_more(TimePoint now) {
  if (options_.plain) return;
  const auto sweep = std::clamp(roster_.present() / 8, kSweepLeast, kSweepMost);
  const std::size_t more = guard_.uncertain() ? sweep : 1;
  auto at = roster_.oldest_contact();
  for (std::size_t k = 0; k < more && at != kNobody; at = roster_.next_contact(at)) {
    const auto& e = roster_.at(at);
    if (guard_.uncertain()) {
      if (e.status != Status::alive || e.heard >= guard_.uncertain_since()) continue;
    } else if (now - std::max(e.heard, e.since) < 4 * options_.period) {
      break;
    }
    if (std::any_of(probes_.begin(), probes_.end(), [&](auto& p) { return p.target == at; })) continue;
    begin_probe(at, now);
    ++k;
  }
  // Nobody answers: is it me? Whoever was heard last tells.
  if (health_.failed_in_a_row() >= 2 && last_heard_ != kNobody && roster_.is_present(last_heard_) &&
      now - roster_.at(last_heard_).heard <= 2 * options_.period)
    begin_probe(last_heard_, now);
}

// ---- What to make of it all ----

void Member::judge(TimePoint now) {
  // Whoever yields its name is no part of the fleet: nobody speaks to it.
  health_.judge(now, yielding_ ? 0 : roster_.present());
  if (std::exchange(was_hearing_, health_.local_connectivity()) != health_.local_connectivity()) {
    if (was_hearing_ != LocalConnectivity::ok) withdraw_own_accusations(now);
    say(ChangeKind::local_connectivity, self_.name, true);
    if (was_hearing_ == LocalConnectivity::ok) next_exchange_ = now;
  }
  guard_.judge(now, {roster_.agreed() + 1, roster_.agreed_alive() + 1},
               health_.local_connectivity() != LocalConnectivity::ok || yielding_,
               2 * options_.period * std::min(health_.multiplier(), 3u));
  if (std::exchange(was_uncertain_, guard_.uncertain()) != guard_.uncertain()) {
    if (was_uncertain_) {
      for (const auto i : suspects_)
        if (guard_.fell_silent_lately(roster_.at(i).hash)) roster_.at(i).certain = Status::alive;
    } else {
      for (Index i = 0; i < roster_.places(); ++i) roster_.at(i).certain = roster_.at(i).status;
      next_exchange_ = std::min(next_exchange_, now);
    }
    say(ChangeKind::certainty, self_.name, true);
  }
  if (std::exchange(had_majority_, guard_.majority()) != guard_.majority())
    say(ChangeKind::majority, self_.name, true);
}

bool Member::may_remove(TimePoint now) const {
  if (options_.plain) return true;
  return guard_.majority() && !guard_.uncertain() && health_.local_connectivity() == LocalConnectivity::ok &&
         !health_.listening(now) && now - guard_.certain_since() >= options_.period;
}

void Member::set_deadline(Index i) {
  auto& e = roster_.at(i);
  const auto times = suspicion_times(options_, roster_.present() + 1);
  auto time = suspicion_time(times, e.accusers.confirmed(), options_.confirmations);
  // Whose own health is poor gives others more time.
  if (!options_.plain) time *= health_.multiplier();
  e.deadline = e.since + time;
}

void Member::judge_suspects(TimePoint now) {
  std::erase_if(suspects_,
                [&](Index i) { return !roster_.at(i).known || roster_.at(i).status != Status::suspect; });
  if (!may_remove(now)) return;
  const auto suspects = suspects_;
  for (const auto i : suspects) {
    auto& e = roster_.at(i);
    if (e.status != Status::suspect || now < e.deadline) continue;
    if (!e.last_asked && !options_.plain) {
      e.last_asked = true;
      e.deadline = now + std::max(2 * late_after(e), options_.period / 4);
      const auto n = nonce();
      send(e.address, Ping{n, e.name, {}}, now, i);
      ping_by_second(i, n, now);
      continue;
    }
    ++counters_.deaths;
    auto record = roster_.record_of(i, false);
    record.status = Status::dead;
    record.suspector = own_hash_;
    apply(record, now, true);
  }
}

void Member::accuse(Index i, TimePoint now) {
  auto record = roster_.record_of(i, false);
  if (record.status == Status::alive) ++counters_.suspicions;
  record.status = Status::suspect;
  record.suspector = own_hash_;
  apply(record, now, true);
  // A suspect is told first of all: what is sent to it begins with what is held of it.
  if (!options_.plain) send(roster_.at(i).address, Ping{nonce(), roster_.at(i).name, {}}, now, i);
}

// Found cut off oneself: whom nobody else has found silent either is not suspect any more.
void Member::withdraw_own_accusations(TimePoint now) {
  guard_.excuse();
  for (const auto i : std::vector<Index>(suspects_)) {
    auto& e = roster_.at(i);
    if (e.status != Status::suspect || e.accusers.first() != own_hash_ || e.accusers.confirmed()) continue;
    roster_.set_status(i, Status::alive, now);
    spread_.drop(e.hash);
    mirror_certain(i);
  }
}

void Member::mirror_certain(Index i) {
  if (!guard_.uncertain()) roster_.at(i).certain = roster_.at(i).status;
}

void Member::apply(const Record& record, TimePoint now, bool own, bool in_exchange) {
  if (record.name == self_.name) return about_self(record, now);
  if (milliseconds(record.age_ms) > options_.believe_for) {
    ++counters_.late;
    return;
  }
  Index i = kNobody;
  const auto known = roster_.find(record.name);
  const auto before = known == kNobody ? Status::alive : roster_.at(known).status;
  const auto merged = roster_.merge(record, now, i);
  if (merged == MergeResult::nothing) return;
  if (merged == MergeResult::full) {
    ++counters_.full;
    return;
  }
  auto& e = roster_.at(i);
  switch (merged) {
    case MergeResult::joined:
    case MergeResult::restarted:
    case MergeResult::refuted:
      guard_.heard(e.hash);
      if (merged != MergeResult::refuted || before != Status::alive)
        say(merged == MergeResult::joined      ? ChangeKind::joined
            : merged == MergeResult::restarted ? ChangeKind::restarted
                                               : ChangeKind::refuted,
            e.name, own);
      if (!e.counted) add_once(uncounted_, i);
      if (merged == MergeResult::joined || before == Status::dead || before == Status::left) {
        round_.insert(round_.begin() + std::ptrdiff_t(random_() % (round_.size() + 1)), i);
        // Guards against halves that have met again and know only what gossip happens to bring.
        if (merged != MergeResult::joined && now - last_heal_ >= 4 * options_.period) {
          last_heal_ = now;
          ask_exchange(i, now);
        }
      }
      if (e.status == Status::suspect) {
        add_once(suspects_, i);
        set_deadline(i);
      }
      break;
    case MergeResult::suspected:
      say(ChangeKind::suspected, e.name, own);
      add_once(suspects_, i);
      set_deadline(i);
      guard_.silent(e.hash, now);
      break;
    case MergeResult::confirmed:
      set_deadline(i);
      break;
    case MergeResult::died:
      say(ChangeKind::died, e.name, own);
      break;
    case MergeResult::departed:
      guard_.heard(e.hash);
      say(ChangeKind::departed, e.name, own);
      break;
    case MergeResult::metadata:
      say(ChangeKind::metadata, e.name, own);
      break;
    case MergeResult::nothing:
    case MergeResult::full:
      break;
  }
  // What it says of its link with me is as good as my own checks.
  if (record.metadata && !e.link_broken)
    for (const auto& l : e.metadata.links)
      if (l.peer == own_hash_) {
        e.link_checks = 1;
        set_link(i, true, !l.inward, now);
        break;
      }
  if (merged != MergeResult::metadata && e.status != Status::suspect) mirror_certain(i);
  if (e.status == Status::suspect && !guard_.uncertain()) e.certain = Status::suspect;
  // What a newcomer learns of the fleet is no news to the fleet.
  if (merged == MergeResult::joined && !joined_ && in_exchange) return;
  spread_.add(record, now);
}

// ---- What is said of me ----

void Member::about_self(const Record& record, TimePoint now) {
  if (record.boot_id != self_.boot_id) {
    // It says itself that it has superseded this life, which lives: two under one name. The later one keeps
    // it, so that nobody's view goes to and fro; this one says so and waits.
    if (record.metadata && record.metadata->superseded_boot_id == self_.boot_id) {
      // As many is not beyond it: others heed neither at the other's word. Guards against a tie in which
      // whoever outlived its twin is answered by nobody for good.
      if (record.incarnation < incarnation_ || record.status == Status::suspect) return;
      if (record.status != Status::alive) {
        // It is over, and what the others hold of it stands in the way: the name is this life's again.
        if (!yielding_) go_beyond(record.incarnation, now);
        return;
      }
      duplicate_incarnation_ = std::max(duplicate_incarnation_, record.incarnation);
      duplicate_boot_id_ = record.boot_id;
      if (!std::exchange(yielding_, true)) name_conflict_ = now;
      return note_duplicate(record.address, now);
    }
    if (yielding_ || record.incarnation < incarnation_) return;
    metadata_.superseded_boot_id = record.boot_id;
    return go_beyond(record.incarnation, now);
  }
  if (record.status == Status::alive || leaving_) return;
  if (record.incarnation < incarnation_) {
    if (now - refuted_at_ >= 2 * options_.period && record.age_ms < ms_of(now - refuted_at_))
      health_.refuted_in_vain();
    return;
  }
  if (options_.plain && record.status == Status::suspect) return;
  ++counters_.refutations;
  health_.refuted();
  refuted_at_ = now;
  go_beyond(record.incarnation, now);
}

// Some hear it at once; the rest by what goes round.
void Member::go_beyond(Incarnation seen, TimePoint now) {
  incarnation_ = seen + 1;
  if (metadata_.generation <= seen && metadata_.superseded_boot_id != BootId{})
    metadata_.generation = incarnation_;
  ++metadata_.version;
  spread_.add(own_record(true), now);
  for (unsigned k = 0; k < options_.indirect; ++k)
    if (const auto i = random_present(true); i != kNobody)
      send(roster_.at(i).address, Ping{nonce(), roster_.at(i).name, {}}, now, i);
}

void Member::note_duplicate(const Address& where, TimePoint now) {
  duplicate_until_ = now + options_.period * std::int64_t(kTwinSilence);
  if (duplicate_ == where) return;
  duplicate_ = where;
  retell(now);
  say(ChangeKind::duplicate, self_.name, true);
}

void Member::tell(Stage stage, std::uint8_t warmth, std::uint8_t pressed,
                  std::vector<EndpointHealth> endpoint_health, TimePoint now) {
  if (leaving_) stage = Stage::leaving;
  if (endpoint_health.size() > kMaxEndpointHealth) endpoint_health.resize(kMaxEndpointHealth);
  if (fine_change(stage, warmth, pressed, endpoint_health, now)) return;
  told_at_ = now;
  metadata_.stage = stage;
  metadata_.warmth = warmth;
  metadata_.pressed = pressed;
  metadata_.endpoint_health = std::move(endpoint_health);
  ++metadata_.version;
  spread_.add(own_record(true), now);
}

// Guards against a fleet of hundreds that fills its datagrams with each other's last hundredth of load:
// whoever takes requests changes that in every period.
bool Member::fine_change(Stage stage, std::uint8_t warmth, std::uint8_t pressed,
                         const std::vector<EndpointHealth>& endpoint_health, TimePoint now) const {
  if (metadata_.stage != stage || metadata_.endpoint_health != endpoint_health) return false;
  const auto apart = std::max(std::abs(int(metadata_.warmth) - int(warmth)),
                              std::abs(int(metadata_.pressed) - int(pressed)));
  return apart == 0 || apart < kFine || now - told_at_ < options_.period * std::int64_t(kFineEvery);
}

void Member::tell(const RecoveryStatus& recovery_status, TimePoint now) {
  auto same = metadata_.recovery_status;
  same.offered = recovery_status.offered;
  const int apart = std::abs(int(metadata_.recovery_status.offered) - int(recovery_status.offered));
  if (same == recovery_status &&
      (apart == 0 || ((apart < kFine || now - told_at_ < options_.period) && recovery_status.offered < 100)))
    return;
  metadata_.recovery_status = recovery_status;
  ++metadata_.version;
  spread_.add(own_record(true), now);
}

void Member::retell(TimePoint now) {
  metadata_.duplicate = duplicate_.value_or(Address{});
  metadata_.links.clear();
  for (const auto i : checked_links_)
    if (const auto& e = roster_.at(i); e.known && e.link_broken && metadata_.links.size() < kMaxLinkFaults)
      metadata_.links.push_back({e.hash, e.link_in});
  ++metadata_.version;
  spread_.add(own_record(true), now);
}

void Member::leave(TimePoint now) {
  if (std::exchange(leaving_, true)) return;
  now_ = std::max(now_, now);
  metadata_.stage = Stage::leaving;
  ++metadata_.version;
  probes_.clear();
  spread_.add(own_record(true), now_);
  send_leave(now_);
}

void Member::send_leave(TimePoint now) {
  ++leave_rounds_;
  leave_next_ = now + options_.period / 4;
  if (leave_rounds_ > kLeaveRounds) return;
  for (const auto i : helpers_for(kNobody, 2 + options_.indirect)) {
    const auto n = nonce();
    leave_nonces_.push_back(n);
    send(roster_.at(i).address, Ping{n, roster_.at(i).name, {}}, now, i, 0, {own_record(true)});
  }
  if (roster_.present() == 0) leave_rounds_ = kLeaveRounds;
}

}  // namespace granitegap::membership
