// Clock, protocol periods, certainty of the view, quorum and holders of fleet-wide limits.
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
  for (const auto member : suspects_) {
    const auto& state = roster_.at(member);
    // Suspects past their deadline need no wake-up: wake() checks them each time until they may be declared
    // dead.
    if (state.status == Status::suspect && state.suspicion_deadline > now_)
      at = std::min(at, state.suspicion_deadline);
  }
  for (const auto& relay : relays_) at = std::min(at, relay.nack_at);
  for (const auto& sync : outgoing_syncs_) at = std::min(at, sync.next_at);
  if (leave_.started && !has_left()) at = std::min(at, leave_.next_round_at);
  return at;
}

// Advances the clock and detects pauses of the process. It runs first both for a datagram and for a wake-up,
// so that a pause is detected before any decision uses the clock.
void Member::advance_clock(TimePoint now) {
  now_ = std::max(now_, now);
  const auto late = local_health_.detect_pause(now_, next_wake());
  if (late && *late >= options_.period) after_pause(*late);
}

// Discards probes that were pending when the pause began: their answers may have been queued locally during
// the pause.
void Member::after_pause(Duration late) {
  ++counters_.pauses;
  probes_.clear();
  relays_.clear();
  partition_detector_.discard_silences();
  limit_holders_.on_pause(late);
  for (const auto member : suspects_) roster_.at(member).suspicion_deadline += late;
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
  check_suspicion_deadlines();
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

// ---- Work of each period ----

void Member::run_period() {
  ++period_count_;
  std::erase_if(unverified_peers_, [&](const auto& peer) { return now_ >= peer.expires_at; });
  update_health();
  prune_roster();
  admit_to_quorum_base();
  update_limit_holders();
  expire_name_conflict();
  if (leave_.started) return;
  contact_absent_members();
  if (!limit_admitted_) announce_to_unaware_members();
  start_period_probes();
  request_due_sync();
}

void Member::prune_roster() {
  const bool may_shrink = partition_detector_.has_quorum() && !partition_detector_.uncertain();
  roster_.prune_tombstones(now_, may_shrink, [&](Index member) {
    dissemination_queue_.drop(roster_.at(member).hash);
    notify(ChangeKind::removed, roster_.at(member).name);
  });
}

// Adds new members to the quorum base only while there is a quorum: the minority side of a partition must not
// gain a quorum through members that join there.
void Member::admit_to_quorum_base() {
  if (!partition_detector_.has_quorum() && fleet_size() > options_.min_fleet_size) return;
  for (const auto member : std::exchange(quorum_base_pending_, {}))
    if (roster_.is_present(member)) roster_.set_counts_for_quorum(member, true);
}

// ---- Holders of fleet-wide limits ----

void Member::update_limit_holders() {
  if (limit_holders_.update(now_, possibly_running_members(), others_may_have_quorum()))
    notify(ChangeKind::limit_holders, self_.name, true);
}

// Returns whether the members that this one does not hear from may form a majority by themselves.
bool Member::others_may_have_quorum() const {
  const bool hears_others = local_health_.local_connectivity() == LocalConnectivity::ok;
  const auto heard = 1 + (hears_others ? roster_.quorum_base_alive() : 0);
  const auto unheard = fleet_size() - std::min(heard, fleet_size());
  return 2 * unheard > fleet_size();
}

// Returns the number of members that may be running, including this one. Suspects count as running. A member
// declared dead may only be cut off, so it counts as long as it is in the quorum base.
std::size_t Member::possibly_running_members() const {
  std::size_t dead_or_left = 0;
  for (const auto member : roster_.tombstones())
    if (roster_.at(member).known && roster_.at(member).counts_for_quorum) ++dead_or_left;
  const auto members = 1 + roster_.present() + dead_or_left + count_unheard_seeds();
  return std::max(members, options_.min_fleet_size);
}

// Returns the number of seeds that have not been heard from since the start; 0 once quorum_shrink_delay has
// passed, after which a dead member no longer counts either.
std::size_t Member::count_unheard_seeds() const {
  if (now_ - started_at_ >= options_.quorum_shrink_delay) return 0;
  const auto absent = absent_seeds();
  return std::size_t(std::count_if(absent.begin(), absent.end(), [this](const Address& seed) {
    const auto& tombstones = roster_.tombstones();
    return std::none_of(tombstones.begin(), tombstones.end(), [&](Index member) {
      return roster_.at(member).known && roster_.at(member).address == seed;
    });
  }));
}

std::size_t Member::dead_outside_quorum_base() const {
  const auto& tombstones = roster_.tombstones();
  return std::size_t(std::count_if(tombstones.begin(), tombstones.end(), [this](Index member) {
    const auto& state = roster_.at(member);
    return state.known && state.status == Status::dead && !state.counts_for_quorum;
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
  // A process that yielded its name is not a member of the fleet, so no member sends to it.
  local_health_.update(now_, conflict_.yielded ? 0 : roster_.present());
  const auto connectivity = local_health_.local_connectivity();
  if (std::exchange(previous_connectivity_, connectivity) != connectivity) on_connectivity_changed();

  update_certainty();
}

// Recomputes certainty and quorum from the current view: each period, after a failed probe and before members
// are declared dead.
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
    // The last certain view is the one from before these members fell silent.
    for (const auto member : suspects_)
      if (partition_detector_.recently_silent(roster_.at(member).hash))
        roster_.at(member).certain_status = Status::alive;
  } else {
    for (Index member = 0; member < roster_.slot_count(); ++member)
      roster_.at(member).certain_status = roster_.at(member).status;
    next_sync_at_ = std::min(next_sync_at_, now_);
  }
  notify(ChangeKind::view_certainty, self_.name, true);
}

void Member::notify(ChangeKind kind, const std::string& name, bool detected_locally) {
  changes_.push_back({kind, name, detected_locally});
}

}  // namespace granitegap::membership
