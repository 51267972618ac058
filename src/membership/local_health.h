// Health of this member itself (Lifeguard, section IV-A), so that it blames its own faults on nobody else.
//
// Pause: a wake-up that is late by more than half a period. Probes that timed out meanwhile don't count, and
// for a grace period nobody is suspected.
// Health multiplier: stretches the own timeouts after pauses, after failed probes that not even the helpers
// answered, and after refutations; falls with each probe that succeeds.
// Local connectivity: inbound_broken where nothing at all is received; outbound_broken where no own probe is
// answered in any way though the targets are heard, more often in a row than the usual loss explains.
//
// Threads: one. No errors.
#pragma once
#include <cstdint>
#include <optional>

#include "membership/options.h"

namespace granitegap::membership {

// Whether this member's own datagrams arrive, and others' arrive here.
enum class LocalConnectivity : std::uint8_t { ok, outbound_broken, inbound_broken };
// "ok", "unheard" or "deaf": the words of the status output.
const char* text_of(LocalConnectivity local_connectivity);

class LocalHealth {
 public:
  // `options` must outlive it, and may change.
  LocalHealth(const Options& options, TimePoint now);

  // To be called first whenever anything happens; `due` is when the wake-up was due. The length of the pause,
  // if it was one.
  std::optional<Duration> detect_pause(TimePoint now, TimePoint due);
  // A valid datagram came from another member.
  void datagram_received(TimePoint now) { last_received_at_ = now; }
  // An own probe was answered, directly or indirectly.
  void probe_succeeded();
  // An own probe was not answered. `helpers_silent`: none of the helpers replied, not even with a nack.
  // `target_heard`: datagrams of the target arrive here all the same.
  void probe_failed(bool helpers_silent, bool target_heard);
  // This member refuted a suspicion or its death.
  void refuted() { raise_score(1); }
  // A refuted suspicion still goes round: the refutation did not arrive.
  void refutation_lost();
  // Failed probes since the last one that succeeded.
  unsigned consecutive_failures() const { return consecutive_failures_; }
  // Brings local_connectivity() up to date. `others`: members that could be heard.
  void update(TimePoint now, std::size_t others);

  LocalConnectivity local_connectivity() const { return local_connectivity_; }
  // 1 where healthy, up to 1 + Options::max_health_multiplier.
  unsigned multiplier() const { return 1 + score_; }
  // Whether a pause ended only just now.
  bool in_grace_period(TimePoint now) const { return now < grace_period_until_; }
  // When the last valid datagram of any member arrived, or the last pause ended.
  TimePoint last_received_at() const { return last_received_at_; }
  bool received_since(TimePoint t) const { return last_received_at_ >= t; }

 private:
  void raise_score(unsigned by);
  const Options& options_;
  unsigned score_ = 0;
  TimePoint grace_period_until_{}, last_received_at_{};
  double usual_failure_share_ = 0.05;  // of probes, smoothed over times without a fault
  double evidence_ = 0;                // against the usual loss, of the consecutive failures
  unsigned consecutive_failures_ = 0;
  LocalConnectivity local_connectivity_ = LocalConnectivity::ok;
};

}  // namespace granitegap::membership
