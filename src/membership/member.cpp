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
      incarnation_(std::max<Incarnation>(self_.first_incarnation, 1)),
      random_(seed),
      started_(now),
      now_(now),
      next_period_(now),
      roster_(options_),
      health_(options_, now),
      partition_detector_(options_),
      next_exchange_(now),
      last_heal_(now) {
  metadata_.version = 1;
  metadata_.zone = self_.zone;
  metadata_.secondary_address = self_.secondary_address;
  metadata_.cache_fill_port = self_.cache_fill_port;
  metadata_.boot_incarnation = incarnation_;
  dissemination_queue_.add(own_record(true), now);
}

Record Member::own_record(bool with_metadata) const {
  Record r{self_.name, self_.address, self_.boot_id, incarnation_, leaving_ ? Status::left : Status::alive, 0,
           0,          std::nullopt};
  if (with_metadata) r.metadata = metadata_;
  return r;
}

void Member::update_options(const Options& options) {
  const bool plain = options_.baseline_mode;
  options_ = options;
  options_.baseline_mode = plain;
}

void Member::add_known_members(const std::vector<Record>& known, TimePoint now) {
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
    if (const auto& e = roster_.at(i); e.status == Status::suspect && e.suspicion_deadline > now_)
      at = std::min(at, e.suspicion_deadline);
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
  partition_detector_.excuse();
  for (const auto i : suspects_) roster_.at(i).suspicion_deadline += late;
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
    send(relays_[i].origin, Nack{relays_[i].theirs}, now_);
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
  roster_.prune_tombstones(now, partition_detector_.has_quorum() && !partition_detector_.uncertain(),
                           [&](Index i) {
                             dissemination_queue_.drop(roster_.at(i).hash);
                             say(ChangeKind::removed, roster_.at(i).name);
                           });
  if (partition_detector_.has_quorum() || fleet_size() <= options_.min_fleet_size) {
    for (const auto i : std::exchange(uncounted_, {}))
      if (roster_.is_present(i)) roster_.set_counts_for_quorum(i, true);
  }
  if (conflicting_address_ && now >= conflict_expires_at_) {
    conflicting_address_.reset();
    if (std::exchange(yielding_, false)) go_beyond(std::max(incarnation_, conflicting_incarnation_), now);
    retell(now);
    say(ChangeKind::name_conflict, self_.name, true);
  }
  if (yielding_ && now >= next_conflict_notice_) {
    send(*conflicting_address_, NameConflict{conflicting_boot_id_}, now);
    next_conflict_notice_ = now + 2 * options_.period;
  }
  if (leaving_) return;
  call_absent(now);
  if (const auto target = next_in_round(); target != kNoMember) begin_probe(target, now);
  probe_more(now);
  for (const auto i : checked_links_)  // until it is sure, every period; then its own turn is enough
    if (roster_.is_present(i) && !roster_.at(i).link_broken &&
        std::none_of(probes_.begin(), probes_.end(), [&](auto& p) { return p.target == i; }))
      begin_probe(i, now);
  std::erase_if(checked_links_, [&](Index i) {
    return !roster_.is_present(i) || (!roster_.at(i).link_broken && roster_.at(i).link_fault_count == 0);
  });
  const bool due = now >= next_exchange_;
  if (due || (!joined_ && periods_ % 2 == 0)) {
    // Soon again after the first ones: guards against a newcomer that met the fleet while others were
    // joining. It costs little where views are alike, so that its rate need not fall with the fleet's size.
    const auto every = std::min(kExchangeEvery, std::size_t(2) << std::min(joins_++, 20u));
    next_exchange_ = now + options_.period * std::int64_t(joined_ ? every : 2);
    if (const auto with = random_present(true); with != kNoMember) ask_exchange(with, now);
  }
}

// Beside the round: whoever had no contact for longest, one a period, which bounds the time after which a
// link that fails one way is noticed and costs small fleets nothing. While the view is uncertain, those not
// heard since that began, many at once: whether most are there must be known soon.
void Member::probe_more(TimePoint now) {
  if (options_.baseline_mode) return;
  const auto sweep = std::clamp(roster_.present() / 8, kSweepLeast, kSweepMost);
  const std::size_t more = partition_detector_.uncertain() ? sweep : 1;
  auto at = roster_.oldest_contact();
  for (std::size_t k = 0; k < more && at != kNoMember; at = roster_.next_contact(at)) {
    const auto& e = roster_.at(at);
    if (partition_detector_.uncertain()) {
      if (e.status != Status::alive || e.last_heard_at >= partition_detector_.uncertain_since()) continue;
    } else if (now - std::max(e.last_heard_at, e.status_since) < 4 * options_.period) {
      break;
    }
    if (std::any_of(probes_.begin(), probes_.end(), [&](auto& p) { return p.target == at; })) continue;
    begin_probe(at, now);
    ++k;
  }
  // Nobody answers: is it me? Whoever was heard last tells.
  if (health_.consecutive_failures() >= 2 && last_heard_ != kNoMember && roster_.is_present(last_heard_) &&
      now - roster_.at(last_heard_).last_heard_at <= 2 * options_.period)
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
  partition_detector_.judge(now, {roster_.quorum_base() + 1, roster_.quorum_base_alive() + 1},
                            health_.local_connectivity() != LocalConnectivity::ok || yielding_,
                            2 * options_.period * std::min(health_.multiplier(), 3u));
  if (std::exchange(was_uncertain_, partition_detector_.uncertain()) != partition_detector_.uncertain()) {
    if (was_uncertain_) {
      for (const auto i : suspects_)
        if (partition_detector_.recently_silent(roster_.at(i).hash))
          roster_.at(i).certain_status = Status::alive;
    } else {
      for (Index i = 0; i < roster_.slot_count(); ++i) roster_.at(i).certain_status = roster_.at(i).status;
      next_exchange_ = std::min(next_exchange_, now);
    }
    say(ChangeKind::view_certainty, self_.name, true);
  }
  if (std::exchange(had_majority_, partition_detector_.has_quorum()) != partition_detector_.has_quorum())
    say(ChangeKind::quorum, self_.name, true);
}

bool Member::may_remove(TimePoint now) const {
  if (options_.baseline_mode) return true;
  return partition_detector_.has_quorum() && !partition_detector_.uncertain() &&
         health_.local_connectivity() == LocalConnectivity::ok && !health_.in_grace_period(now) &&
         now - partition_detector_.certain_since() >= options_.period;
}

void Member::set_deadline(Index i) {
  auto& e = roster_.at(i);
  const auto times = suspicion_times(options_, roster_.present() + 1);
  auto time = suspicion_time(times, e.confirmations.confirmed(), options_.confirmations);
  // Whose own health is poor gives others more time.
  if (!options_.baseline_mode) time *= health_.multiplier();
  e.suspicion_deadline = e.status_since + time;
}

void Member::judge_suspects(TimePoint now) {
  std::erase_if(suspects_,
                [&](Index i) { return !roster_.at(i).known || roster_.at(i).status != Status::suspect; });
  if (!may_remove(now)) return;
  const auto suspects = suspects_;
  for (const auto i : suspects) {
    auto& e = roster_.at(i);
    if (e.status != Status::suspect || now < e.suspicion_deadline) continue;
    if (!e.final_probe_sent && !options_.baseline_mode) {
      e.final_probe_sent = true;
      e.suspicion_deadline = now + std::max(2 * late_after(e), options_.period / 4);
      const auto n = nonce();
      send(e.address, Ping{n, e.name, {}}, now, i);
      ping_via_secondary(i, n, now);
      continue;
    }
    ++counters_.deaths;
    auto record = roster_.record_of(i, false);
    record.status = Status::dead;
    record.suspected_by = own_hash_;
    apply(record, now, true);
  }
}

void Member::accuse(Index i, TimePoint now) {
  auto record = roster_.record_of(i, false);
  if (record.status == Status::alive) ++counters_.suspicions;
  record.status = Status::suspect;
  record.suspected_by = own_hash_;
  apply(record, now, true);
  // A suspect is told first of all: what is sent to it begins with what is held of it.
  if (!options_.baseline_mode) send(roster_.at(i).address, Ping{nonce(), roster_.at(i).name, {}}, now, i);
}

// Found cut off oneself: whom nobody else has found silent either is not suspect any more.
void Member::withdraw_own_accusations(TimePoint now) {
  partition_detector_.excuse();
  for (const auto i : std::vector<Index>(suspects_)) {
    auto& e = roster_.at(i);
    if (e.status != Status::suspect || e.confirmations.first() != own_hash_ || e.confirmations.confirmed())
      continue;
    roster_.set_status(i, Status::alive, now);
    dissemination_queue_.drop(e.hash);
    mirror_certain(i);
  }
}

void Member::mirror_certain(Index i) {
  if (!partition_detector_.uncertain()) roster_.at(i).certain_status = roster_.at(i).status;
}

void Member::apply(const Record& record, TimePoint now, bool own, bool in_exchange) {
  if (record.name == self_.name) return about_self(record, now);
  if (milliseconds(record.age_ms) > options_.max_message_age) {
    ++counters_.late;
    return;
  }
  Index i = kNoMember;
  const auto known = roster_.find(record.name);
  const auto before = known == kNoMember ? Status::alive : roster_.at(known).status;
  const auto merged = roster_.merge(record, now, i);
  if (merged == MergeResult::ignored) return;
  if (merged == MergeResult::roster_full) {
    ++counters_.roster_full;
    return;
  }
  auto& e = roster_.at(i);
  switch (merged) {
    case MergeResult::joined:
    case MergeResult::restarted:
    case MergeResult::refuted:
      partition_detector_.heard(e.hash);
      if (merged != MergeResult::refuted || before != Status::alive)
        say(merged == MergeResult::joined      ? ChangeKind::joined
            : merged == MergeResult::restarted ? ChangeKind::restarted
                                               : ChangeKind::refuted,
            e.name, own);
      if (!e.counts_for_quorum) add_once(uncounted_, i);
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
      partition_detector_.silent(e.hash, now);
      break;
    case MergeResult::suspicion_confirmed:
      set_deadline(i);
      break;
    case MergeResult::died:
      say(ChangeKind::died, e.name, own);
      break;
    case MergeResult::left:
      partition_detector_.heard(e.hash);
      say(ChangeKind::left, e.name, own);
      break;
    case MergeResult::metadata_updated:
      say(ChangeKind::metadata_updated, e.name, own);
      break;
    case MergeResult::ignored:
    case MergeResult::roster_full:
      break;
  }
  // What it says of its link with me is as good as my own checks.
  if (record.metadata && !e.link_broken)
    for (const auto& l : e.metadata.links)
      if (l.peer == own_hash_) {
        e.link_fault_count = 1;
        set_link(i, true, !l.inbound, now);
        break;
      }
  if (merged != MergeResult::metadata_updated && e.status != Status::suspect) mirror_certain(i);
  if (e.status == Status::suspect && !partition_detector_.uncertain()) e.certain_status = Status::suspect;
  // What a newcomer learns of the fleet is no news to the fleet.
  if (merged == MergeResult::joined && !joined_ && in_exchange) return;
  dissemination_queue_.add(record, now);
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
      conflicting_incarnation_ = std::max(conflicting_incarnation_, record.incarnation);
      conflicting_boot_id_ = record.boot_id;
      if (!std::exchange(yielding_, true)) next_conflict_notice_ = now;
      return note_name_conflict(record.address, now);
    }
    if (yielding_ || record.incarnation < incarnation_) return;
    metadata_.superseded_boot_id = record.boot_id;
    return go_beyond(record.incarnation, now);
  }
  if (record.status == Status::alive || leaving_) return;
  if (record.incarnation < incarnation_) {
    if (now - refuted_at_ >= 2 * options_.period && record.age_ms < ms_of(now - refuted_at_))
      health_.refutation_lost();
    return;
  }
  if (options_.baseline_mode && record.status == Status::suspect) return;
  ++counters_.refutations;
  health_.refuted();
  refuted_at_ = now;
  go_beyond(record.incarnation, now);
}

// Some hear it at once; the rest by what goes round.
void Member::go_beyond(Incarnation seen, TimePoint now) {
  incarnation_ = seen + 1;
  if (metadata_.boot_incarnation <= seen && metadata_.superseded_boot_id != BootId{})
    metadata_.boot_incarnation = incarnation_;
  ++metadata_.version;
  dissemination_queue_.add(own_record(true), now);
  for (unsigned k = 0; k < options_.indirect_probes; ++k)
    if (const auto i = random_present(true); i != kNoMember)
      send(roster_.at(i).address, Ping{nonce(), roster_.at(i).name, {}}, now, i);
}

void Member::note_name_conflict(const Address& where, TimePoint now) {
  conflict_expires_at_ = now + options_.period * std::int64_t(kTwinSilence);
  if (conflicting_address_ == where) return;
  conflicting_address_ = where;
  retell(now);
  say(ChangeKind::name_conflict, self_.name, true);
}

void Member::update_metadata(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                             std::vector<EndpointHealth> endpoint_health, TimePoint now) {
  if (leaving_) stage = Stage::leaving;
  if (endpoint_health.size() > kMaxEndpointHealth) endpoint_health.resize(kMaxEndpointHealth);
  if (fine_change(stage, warmup_percent, pressure_percent, endpoint_health, now)) return;
  told_at_ = now;
  metadata_.stage = stage;
  metadata_.warmup_percent = warmup_percent;
  metadata_.pressure_percent = pressure_percent;
  metadata_.endpoint_health = std::move(endpoint_health);
  ++metadata_.version;
  dissemination_queue_.add(own_record(true), now);
}

// Guards against a fleet of hundreds that fills its datagrams with each other's last hundredth of load:
// whoever takes requests changes that in every period.
bool Member::fine_change(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                         const std::vector<EndpointHealth>& endpoint_health, TimePoint now) const {
  if (metadata_.stage != stage || metadata_.endpoint_health != endpoint_health) return false;
  const auto apart = std::max(std::abs(int(metadata_.warmup_percent) - int(warmup_percent)),
                              std::abs(int(metadata_.pressure_percent) - int(pressure_percent)));
  return apart == 0 || apart < kFine || now - told_at_ < options_.period * std::int64_t(kFineEvery);
}

void Member::update_metadata(const RecoveryStatus& recovery_status, TimePoint now) {
  auto same = metadata_.recovery_status;
  same.offered_percent = recovery_status.offered_percent;
  const int apart =
      std::abs(int(metadata_.recovery_status.offered_percent) - int(recovery_status.offered_percent));
  if (same == recovery_status && (apart == 0 || ((apart < kFine || now - told_at_ < options_.period) &&
                                                 recovery_status.offered_percent < 100)))
    return;
  metadata_.recovery_status = recovery_status;
  ++metadata_.version;
  dissemination_queue_.add(own_record(true), now);
}

void Member::retell(TimePoint now) {
  metadata_.conflicting_address = conflicting_address_.value_or(Address{});
  metadata_.links.clear();
  for (const auto i : checked_links_)
    if (const auto& e = roster_.at(i); e.known && e.link_broken && metadata_.links.size() < kMaxLinkFaults)
      metadata_.links.push_back({e.hash, e.link_inbound});
  ++metadata_.version;
  dissemination_queue_.add(own_record(true), now);
}

void Member::leave(TimePoint now) {
  if (std::exchange(leaving_, true)) return;
  now_ = std::max(now_, now);
  metadata_.stage = Stage::leaving;
  ++metadata_.version;
  probes_.clear();
  dissemination_queue_.add(own_record(true), now_);
  send_leave(now_);
}

void Member::send_leave(TimePoint now) {
  ++leave_rounds_;
  leave_next_ = now + options_.period / 4;
  if (leave_rounds_ > kLeaveRounds) return;
  for (const auto i : helpers_for(kNoMember, 2 + options_.indirect_probes)) {
    const auto n = nonce();
    leave_nonces_.push_back(n);
    send(roster_.at(i).address, Ping{n, roster_.at(i).name, {}}, now, i, 0, {own_record(true)});
  }
  if (roster_.present() == 0) leave_rounds_ = kLeaveRounds;
}

}  // namespace granitegap::membership
