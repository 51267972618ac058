#include "membership/member.h"

#include <algorithm>
#include <utility>

namespace granitegap::membership {

Member::Member(Options options, Identity self, std::uint64_t seed, TimePoint now)
    : options_(std::move(options)),
      self_(std::move(self)),
      own_hash_(name_hash(self_.name)),
      incarnation_(std::max<Incarnation>(self_.first_incarnation, 1)),
      random_(seed),
      started_at_(now),
      now_(now),
      next_period_at_(now),
      roster_(options_),
      local_health_(options_, now),
      partition_detector_(options_),
      limit_holders_(options_),
      next_sync_at_(now),
      last_rejoin_sync_at_(now) {
  metadata_.version = 1;
  metadata_.zone = self_.zone;
  metadata_.secondary_address = self_.secondary_address;
  metadata_.cache_fill_port = self_.cache_fill_port;
  metadata_.boot_incarnation = incarnation_;
  dissemination_queue_.add(own_record(true), now);
}

void Member::update_options(const Options& options) {
  const bool baseline_mode = options_.baseline_mode;
  options_ = options;
  options_.baseline_mode = baseline_mode;
}

void Member::add_known_members(const std::vector<Record>& known, TimePoint now) {
  now_ = std::max(now_, now);
  const bool joined = std::exchange(joined_, false);
  for (const auto& record : known)
    if (record.name != self_.name) apply(record, false, true);
  joined_ = joined;
}

// ---- Time ----

TimePoint Member::next_wake() const {
  auto at = next_period_at_;
  for (const auto& probe : probes_) at = std::min(at, std::min(probe.late_at, probe.ends_at));
  for (const auto i : suspects_) {
    const auto& e = roster_.at(i);
    // Suspects whose time is over wait until they may be declared dead.
    if (e.status == Status::suspect && e.suspicion_deadline > now_) at = std::min(at, e.suspicion_deadline);
  }
  for (const auto& relay : relays_) at = std::min(at, relay.nack_at);
  for (const auto& sync : outgoing_syncs_) at = std::min(at, sync.next_at);
  if (leave_.started && !has_left()) at = std::min(at, leave_.next_round_at);
  return at;
}

// Whatever comes first after a pause, a datagram or the due wake-up: the pause is noticed before anything is
// decided by the clock.
void Member::advance_clock(TimePoint now) {
  now_ = std::max(now_, now);
  const auto late = local_health_.detect_pause(now_, next_wake());
  if (late && *late >= options_.period) after_pause(*late);
}

// Probes that were out when the pause began prove nothing: their answers may have waited here.
void Member::after_pause(Duration late) {
  ++counters_.pauses;
  probes_.clear();
  relays_.clear();
  partition_detector_.discard_silences();
  limit_holders_.on_pause(late);
  for (const auto i : suspects_) roster_.at(i).suspicion_deadline += late;
  next_period_at_ = std::max(next_period_at_, now_);
}

void Member::wake(TimePoint now) {
  advance_clock(now);
  advance_probes();
  expire_indirect_probes();
  send_sync_chunks();
  if (leave_.started && now_ >= leave_.next_round_at && !has_left()) send_leave_round();
  if (now_ >= next_period_at_) {
    run_period();
    next_period_at_ += options_.period;
    if (next_period_at_ <= now_) next_period_at_ = now_ + options_.period;
  }
  judge_suspects();
}

void Member::advance_probes() {
  for (std::size_t k = 0; k < probes_.size();) {
    auto& probe = probes_[k];
    if (now_ < probe.ends_at) {
      if (now_ >= probe.late_at) retry_probe(probe);
      ++k;
      continue;
    }
    const auto ended = probe;
    probes_[k] = probes_.back();
    probes_.pop_back();
    finish_probe(ended);
  }
}

void Member::expire_indirect_probes() {
  for (std::size_t k = 0; k < relays_.size();) {
    if (now_ < relays_[k].nack_at) {
      ++k;
      continue;
    }
    send(relays_[k].requester, Nack{relays_[k].requester_nonce});
    relays_[k] = std::move(relays_.back());
    relays_.pop_back();
  }
}

// ---- Once a period ----

void Member::run_period() {
  ++period_count_;
  std::erase_if(unverified_peers_, [&](const auto& peer) { return now_ >= peer.expires_at; });
  update_health();
  prune_roster();
  admit_to_quorum_base();
  update_limit_holders();
  expire_name_conflict();
  if (leave_.started) return;
  contact_absent();
  if (!limit_admitted_) announce_to_unaware();
  start_period_probes();
  request_due_sync();
}

void Member::prune_roster() {
  const bool may_shrink = partition_detector_.has_quorum() && !partition_detector_.uncertain();
  roster_.prune_tombstones(now_, may_shrink, [&](Index i) {
    dissemination_queue_.drop(roster_.at(i).hash);
    notify(ChangeKind::removed, roster_.at(i).name);
  });
}

// New members count for the quorum only once a quorum is seen: the minority side of a partition must not gain
// one by members that join there.
void Member::admit_to_quorum_base() {
  if (!partition_detector_.has_quorum() && fleet_size() > options_.min_fleet_size) return;
  for (const auto i : std::exchange(quorum_base_pending_, {}))
    if (roster_.is_present(i)) roster_.set_counts_for_quorum(i, true);
}

// ---- Holders of shares of fleet-wide limits ----

void Member::update_limit_holders() {
  if (limit_holders_.update(now_, members_that_may_run(), others_may_have_quorum()))
    notify(ChangeKind::limit_holders, self_.name, true);
}

// Whether those of the fleet that are not heard here may be a majority by themselves.
bool Member::others_may_have_quorum() const {
  const bool hears_others = local_health_.local_connectivity() == LocalConnectivity::ok;
  const auto heard = 1 + (hears_others ? roster_.quorum_base_alive() : 0);
  const auto unheard = fleet_size() - std::min(heard, fleet_size());
  return 2 * unheard > fleet_size();
}

// A suspect runs until the contrary is shown. A dead member may be cut off, and is counted as long as the
// fleet is held to be so large.
std::size_t Member::members_that_may_run() const {
  std::size_t gone = 0;
  for (const auto i : roster_.tombstones())
    if (roster_.at(i).known && roster_.at(i).counts_for_quorum) ++gone;
  const auto members = 1 + roster_.present() + gone + unheard_seeds();
  return std::max(members, options_.min_fleet_size);
}

// Seeds of which nothing was heard since the start, for as long as a dead member would count.
std::size_t Member::unheard_seeds() const {
  if (now_ - started_at_ >= options_.quorum_shrink_delay) return 0;
  const auto absent = absent_seeds();
  return std::size_t(std::count_if(absent.begin(), absent.end(), [this](const Address& seed) {
    const auto& tombstones = roster_.tombstones();
    return std::none_of(tombstones.begin(), tombstones.end(),
                        [&](Index i) { return roster_.at(i).known && roster_.at(i).address == seed; });
  }));
}

std::size_t Member::dead_outside_quorum_base() const {
  const auto& tombstones = roster_.tombstones();
  return std::size_t(std::count_if(tombstones.begin(), tombstones.end(), [this](Index i) {
    const auto& e = roster_.at(i);
    return e.known && e.status == Status::dead && !e.counts_for_quorum;
  }));
}

void Member::start_period_probes() {
  if (const auto target = next_in_round(); target != kNoMember) start_probe(target);
  start_extra_probes();
  ping_own_suspects();
  probe_monitored_links();
}

// ---- Health, certainty, quorum ----

void Member::update_health() {
  // A process that yielded its name is no member of the fleet: nobody sends to it.
  local_health_.update(now_, conflict_.yielded ? 0 : roster_.present());
  const auto connectivity = local_health_.local_connectivity();
  if (std::exchange(previous_connectivity_, connectivity) != connectivity) on_connectivity_changed();

  update_certainty();
}

// Certainty and quorum follow from what is known now, whenever something is decided by them.
void Member::update_certainty() {
  const auto connectivity = local_health_.local_connectivity();
  const bool cut_off = connectivity != LocalConnectivity::ok || conflict_.yielded;
  const auto settle_time = 2 * options_.period * std::min(local_health_.multiplier(), 3u);
  partition_detector_.update(now_, {roster_.quorum_base() + 1, roster_.quorum_base_alive() + 1}, cut_off,
                             settle_time);
  const bool uncertain = partition_detector_.uncertain();
  if (std::exchange(was_uncertain_, uncertain) != uncertain) on_certainty_changed();
  const bool quorum = partition_detector_.has_quorum();
  if (std::exchange(had_quorum_, quorum) != quorum) notify(ChangeKind::quorum, self_.name, true);
}

void Member::on_connectivity_changed() {
  const bool ok = previous_connectivity_ == LocalConnectivity::ok;
  if (!ok) withdraw_own_suspicions();
  notify(ChangeKind::local_connectivity, self_.name, true);
  if (ok) next_sync_at_ = now_;
}

void Member::on_certainty_changed() {
  if (was_uncertain_) {
    // The certain view is the one before they fell silent.
    for (const auto i : suspects_)
      if (partition_detector_.recently_silent(roster_.at(i).hash))
        roster_.at(i).certain_status = Status::alive;
  } else {
    for (Index i = 0; i < roster_.slot_count(); ++i) roster_.at(i).certain_status = roster_.at(i).status;
    next_sync_at_ = std::min(next_sync_at_, now_);
  }
  notify(ChangeKind::view_certainty, self_.name, true);
}

void Member::notify(ChangeKind kind, const std::string& name, bool detected_locally) {
  changes_.push_back({kind, name, detected_locally});
}

}  // namespace granitegap::membership
