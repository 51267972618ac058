// Health of this member itself (Lifeguard, section IV-A), so that its own faults are not attributed to other
// members.
//
// - Pause: a wake-up that is late by more than half a period. Probes that timed out during a pause do not
//   count, and no member is suspected during the grace period that follows.
// - Health multiplier: lengthens this member's timeouts after pauses, after failed probes that no helper
//   replied to, and after refutations; falls with each probe that succeeds.
// - Local connectivity: inbound_broken where nothing at all is received; outbound_broken where no probe of
//   this member is answered, directly or indirectly, although datagrams of the targets arrive, more often in
//   a row than the usual loss explains.
//
// Threads: one. No errors.
#pragma once
#include <cstdint>
#include <optional>

#include "membership/options.h"

namespace granitegap::membership {

// Whether this member's datagrams reach the others, and theirs reach this member.
enum class LocalConnectivity : std::uint8_t { ok, outbound_broken, inbound_broken };
// Returns "ok", "unheard" (outbound_broken) or "deaf" (inbound_broken), as in the status output.
const char* text_of(LocalConnectivity local_connectivity);

class LocalHealth {
 public:
  // `options` must outlive it, and may change.
  LocalHealth(const Options& options, TimePoint now);

  // Returns the length of the pause before `now`, if there was one. `due` is the time at which the wake-up
  // was due. To be called before anything else whenever the member wakes up or receives a datagram.
  std::optional<Duration> detect_pause(TimePoint now, TimePoint due);
  // Records that a valid datagram of another member arrived.
  void datagram_received(TimePoint now) { last_received_at_ = now; }
  // Records that a probe of this member was answered, directly or indirectly.
  void probe_succeeded();
  // Records that a probe of this member was not answered. `helpers_silent`: none of the helpers replied, not
  // even with a nack. `receives_from_target`: datagrams of the target arrive nevertheless.
  void probe_failed(bool helpers_silent, bool receives_from_target);
  // Records that this member refuted a suspicion or a declaration of its death.
  void refuted() { raise_score(1); }
  // Records that a refuted suspicion is still being disseminated: the refutation did not arrive.
  void refutation_lost();
  // Returns the number of failed probes since the last successful one.
  unsigned consecutive_failures() const { return consecutive_failures_; }
  // Updates local_connectivity(). `others`: the number of members that datagrams may come from.
  void update(TimePoint now, std::size_t others);

  LocalConnectivity local_connectivity() const { return local_connectivity_; }
  // Returns the health multiplier: 1 where healthy, up to 1 + Options::max_health_multiplier.
  unsigned multiplier() const { return 1 + score_; }
  // Whether the grace period after a pause still runs.
  bool in_grace_period(TimePoint now) const { return now < grace_period_until_; }
  // Returns when the last valid datagram of any member arrived or the last pause ended, whichever is later.
  TimePoint last_received_at() const { return last_received_at_; }
  bool received_since(TimePoint time) const { return last_received_at_ >= time; }

 private:
  void raise_score(unsigned by);
  const Options& options_;
  unsigned score_ = 0;
  TimePoint grace_period_until_{}, last_received_at_{};
  double usual_failure_share_ = 0.05;  // smoothed share of probes that fail while there is no fault
  // Negative natural logarithm of the probability that usual loss alone causes the consecutive failures;
  // raised further by lost refutations.
  double outbound_fault_evidence_ = 0;
  unsigned consecutive_failures_ = 0;
  LocalConnectivity local_connectivity_ = LocalConnectivity::ok;
};

}  // namespace granitegap::membership
