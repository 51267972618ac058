// Load balancing and outlier detection over the endpoints of one dependency.
//
// Load balancing uses the power of two choices (Mitzenmacher 2001) by peak-EWMA load score, as in Finagle:
// the decayed peak latency times the attempts in flight. Outlier detection ejects an endpoint after
// consecutive failures. When the ejection time is over, a single trial attempt (half-open) decides whether
// the endpoint is used again; a slow start then limits its share, as in Envoy.
//
//             consecutive failures              ejection time over
//   healthy ------------------------> ejected ----------------------> half_open (one attempt)
//      ^                                 ^                              |           |
//      |  slow start                     |           failure            |           | success
//      +---------------------------------|------------------------------|-----------+
//                                        +------------------------------+
//
// A value type without clock or I/O, used by one thread. An index stays valid until update() reuses the slot
// of a removed endpoint.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "deps/spec.h"

namespace granitegap::deps {

// Health and latency of one endpoint, as transferred to another process.
struct EndpointStats {
  Duration ejected_for{};       // remaining time of the ejection; zero: not ejected
  Duration latency{};           // recent peak latency; zero: unknown
  Duration sample_age{};        // time since the newest latency sample
  std::uint32_t ejections = 0;  // consecutive ejections; each doubles the duration of the next
};

class EndpointSet {
 public:
  using Index = std::uint32_t;
  explicit EndpointSet(const DependencySpec& spec);

  // Returns the endpoint for the next attempt; absent when none is available. An ejected endpoint whose
  // ejection time is over is returned first, as half-open. `avoid`: the endpoint of another attempt of the
  // same call, returned only when there is no alternative. `random1`, `random2`: independent draws from
  // [0, 1).
  [[nodiscard]] std::optional<Index> pick(TimePoint now, double random1, double random2,
                                          std::optional<Index> avoid = std::nullopt);

  // Every on_call_started() is followed by exactly one of on_success(), on_failure() and on_cancelled().
  void on_call_started(Index i);
  void on_success(Index i, Duration took, TimePoint now);
  void on_failure(Index i, TimePoint now);
  // Ends an attempt whose result gives no evidence about the endpoint.
  void on_cancelled(Index i);

  // Applies a Retry-After header that the endpoint sent: it is not picked before `until`.
  void set_retry_after(Index i, TimePoint until);
  // Called when the dependency has recovered from an outage: ejected endpoints become due for a trial, and
  // the healthy ones begin a slow start.
  void begin_slow_start(TimePoint now);

  // Applies a new list of endpoints. Endpoints that remain in the list keep their state. An endpoint that is
  // no longer listed is not picked any more, and its slot is reused once its attempts have ended.
  void update(const DependencySpec& spec);

  const EndpointSpec& address(Index i) const { return endpoints_[i].address; }
  // Returns true for every endpoint that is not healthy: ejected, half-open or removed.
  bool is_ejected(Index i) const { return endpoints_[i].state != State::healthy; }
  bool is_removed(Index i) const { return endpoints_[i].state == State::removed; }
  // Returns the number of ejected and half-open endpoints.
  std::size_t ejected_count() const;
  // Returns the number of slots, removed endpoints included. Indices are less than this.
  std::size_t slot_count() const { return endpoints_.size(); }

  // Returns the health and latency of one endpoint; absent when there are neither samples nor an ejection,
  // and for a removed endpoint.
  std::optional<EndpointStats> stats(Index i, TimePoint now) const;
  // Restores statistics of another process. Returns false and changes nothing when this process has made its
  // own observations of the endpoint.
  bool restore(Index i, const EndpointStats& stats, TimePoint now);

 private:
  enum class State : std::uint8_t { healthy, ejected, half_open, removed };
  struct Endpoint {
    EndpointSpec address;
    State state = State::healthy;
    std::uint32_t in_flight = 0, consecutive_failures = 0, ejections = 0;
    double peak_us = 0;  // decays towards lower samples, rises at once to a higher one; 0: no sample
    TimePoint last_sample{}, ejected_until{}, slow_start_began{}, retry_after{};
    bool in_slow_start = false;
  };
  static void end_call(Endpoint& endpoint);
  bool is_available(const Endpoint& endpoint, TimePoint now) const;
  double load_score(const Endpoint& endpoint, TimePoint now) const;
  Index less_loaded(Index a, Index b, TimePoint now) const;
  Index pick_among_all(TimePoint now, double random1, double random2, std::optional<Index> avoid) const;
  std::optional<Index> pick_by_scan(TimePoint now, double random1, double random2,
                                    std::optional<Index> avoid) const;
  std::optional<Index> begin_trial(TimePoint now, std::optional<Index> avoid);
  void eject(Endpoint& endpoint, TimePoint now);
  bool may_eject_another() const;
  Endpoint& free_slot();

  std::vector<Endpoint> endpoints_;
  bool all_available_ = true;  // no endpoint is ejected, removed or under Retry-After: pick() needs no scan
  double max_ejection_ratio_ = 0.5;
  Duration base_ejection_time_{}, max_ejection_time_{}, slow_start_window_{};
};

}  // namespace granitegap::deps
