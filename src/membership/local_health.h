// What a member must hold against itself before it holds anything against others.
//
// Pause: a wake-up that comes late by more than half a period was one; what timed out meanwhile counts for
// nothing, and for a while the member hears before it judges.
// Health multiplier (Lifeguard, section IV-A): stretches own timeouts after pauses, failed probes that even
// the helpers did not answer, and refutations needed; falls with each probe that succeeds.
// LocalConnectivity: `deaf` where nothing at all comes in; `unheard` where no own probe is answered by any
// way, though those probed are heard, so often in a row that the usual loss does not explain it.
#pragma once
#include <cstdint>
#include <optional>

#include "membership/options.h"

namespace granitegap::membership {

enum class LocalConnectivity : std::uint8_t { ok, outbound_broken, inbound_broken };
const char* text_of(LocalConnectivity local_connectivity);

class LocalHealth {
 public:
  // `options` must outlive it, and may change.
  LocalHealth(const Options& options, TimePoint now);

  // To be called first whenever anything happens, with the wake-up that was due. The pause's length, if it
  // was one.
  std::optional<Duration> woke(TimePoint now, TimePoint due);
  // Something believable came from another member itself.
  void heard(TimePoint now) { heard_at_ = now; }
  void probe_answered();
  // `helpers_silent`: of those asked to help none has said anything, not even that it was asked.
  // `target_heard`: the one that did not answer is heard here all the same.
  void probe_failed(bool helpers_silent, bool target_heard);
  void refuted() { worse(1); }
  // Somebody still says what was refuted a while ago: that did not arrive.
  void refutation_lost();
  // Probes in a row that nobody answered.
  unsigned consecutive_failures() const { return in_a_row_; }
  // Brings LocalConnectivity up to date. `others`: members alive that could be heard.
  void judge(TimePoint now, std::size_t others);

  LocalConnectivity local_connectivity() const { return local_connectivity_; }
  unsigned multiplier() const { return 1 + worse_; }
  bool in_grace_period(TimePoint now) const { return now < listen_until_; }
  // Anything came from others since then.
  TimePoint last_received_at() const { return heard_at_; }  // of any member
  bool heard_since(TimePoint t) const { return heard_at_ >= t; }

 private:
  void worse(unsigned by);
  const Options& options_;
  unsigned worse_ = 0;
  TimePoint listen_until_{}, heard_at_{};
  double fails_ = 0.05;  // the usual share of probes that fail, smoothed over calm stretches
  double evidence_ = 0;  // against the usual loss, of the probes that failed in a row
  unsigned in_a_row_ = 0;
  LocalConnectivity local_connectivity_ = LocalConnectivity::ok;
};

}  // namespace granitegap::membership
