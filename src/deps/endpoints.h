// Load balancing and outlier detection over the endpoints of one dependency.
//
// Balancing: power of two choices (Mitzenmacher 2001) by peak-EWMA load score, as in Finagle: the decayed
// peak latency times the attempts in flight. Outlier detection: consecutive failures eject an endpoint, after
// which one trial attempt (half-open) decides, and a slow start limits its share, as in Envoy.
//
//             consecutive failures              ejection time over
//   healthy ------------------------> ejected ----------------------> half_open (one attempt)
//      ^                                 ^                              |           |
//      |  slow start                     |           failure            |           | success
//      +---------------------------------|------------------------------|-----------+
//                                        +------------------------------+
//
// A value type without clock or I/O, used by one thread. Indices stay valid until update() replaces a removed
// endpoint.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "deps/spec.h"

namespace granitegap::deps {

// What is known of one endpoint, as passed on to another process.
struct EndpointStats {
  Duration ejected_for{};       // what is left of its ejection; zero: not ejected
  Duration latency{};           // recent peak; zero: unknown
  Duration sample_age{};        // since the newest latency sample
  std::uint32_t ejections = 0;  // in a row; each doubles the next ejection's duration
};

class EndpointSet {
 public:
  using Index = std::uint32_t;
  explicit EndpointSet(const DependencySpec& spec);

  // The endpoint for the next attempt; absent when none is available. An ejected endpoint whose time is over
  // is returned first, as half-open. `avoid`: where another attempt of the same call is; returned only when
  // there is no alternative. `random1`, `random2`: independent draws from [0, 1).
  [[nodiscard]] std::optional<Index> pick(TimePoint now, double random1, double random2,
                                          std::optional<Index> avoid = std::nullopt);

  // Every on_call_started() is followed by exactly one of the other three.
  void on_call_started(Index i);
  void on_success(Index i, Duration took, TimePoint now);
  void on_failure(Index i, TimePoint now);
  // An attempt ended without evidence for or against the endpoint.
  void on_cancelled(Index i);

  // The endpoint sent Retry-After: it is not picked before `until`.
  void set_retry_after(Index i, TimePoint until);
  // The dependency is back after an outage: ejections end now and every endpoint begins a slow start.
  void begin_slow_start(TimePoint now);

  // Takes a new list of endpoints. State of those that stay is kept; one that is gone is no longer picked,
  // and its slot is reused once its attempts have ended.
  void update(const DependencySpec& spec);

  const EndpointSpec& address(Index i) const { return endpoints_[i].address; }
  // True for every endpoint that is not healthy: ejected, half-open or removed.
  bool is_ejected(Index i) const { return endpoints_[i].state != State::healthy; }
  bool is_removed(Index i) const { return endpoints_[i].state == State::removed; }
  // Ejected and half-open endpoints.
  std::size_t ejected_count() const;
  // Indices run from 0 to here, removed endpoints included.
  std::size_t slot_count() const { return endpoints_.size(); }

  // What is known of one endpoint; absent when nothing is.
  std::optional<EndpointStats> stats(Index i, TimePoint now) const;
  // Takes over what another process knew; false, and without effect, when there is evidence of this one's
  // own.
  bool restore(Index i, const EndpointStats& stats, TimePoint now);

 private:
  enum class State : std::uint8_t { healthy, ejected, half_open, removed };
  struct Endpoint {
    EndpointSpec address;
    State state = State::healthy;
    std::uint32_t in_flight = 0, consecutive_failures = 0, ejections = 0;
    double peak_us = 0;  // decays towards new samples, rises to a higher one at once; 0: no sample
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
  bool all_available_ = true;  // none ejected, removed or under Retry-After: pick() needs no scan
  double max_ejection_ratio_ = 0.5;
  Duration base_ejection_time_{}, max_ejection_time_{}, slow_start_window_{};
};

}  // namespace granitegap::deps
