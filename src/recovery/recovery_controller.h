// How a process comes back: what kind of start it is, how much it may offer while it proves itself, and when
// it is in full service. No I/O, no clock, no randomness; times are this process's steady ones.
//
//            the kernel is up            what others know has come, or      offered all, and nothing
//                                        nobody is left to ask              pressed for a while
//   blank ----------------> learning ------------------------------> ramping ----------------> full
//                              ^                                        ^  ^                     |
//                              |   it was paused for long               |  |  the kernel is new  |
//                              +----------------------------------------|--+---------------------+
//                                                                       |  waits over their bound for long:
//                                                                       +- callers that come again keep it
//                                                                       there
//
// What it offers grows by proven work, never by time alone: a step ends when enough runs ended within their
// aim, and the next one offers at most `growth` times as much; a step in which too many did not goes back as
// far. Where nobody asks for anything nothing can be proven and nothing is at risk: then it grows slowly.
//
// Why a bound on waits at all, and for survivors too: docs/recovery.md, 'The fixed point'.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "granitegap/policy.h"
#include "membership/views.h"

namespace granitegap::recovery {

enum class Phase : std::uint8_t { blank, learning, ramping, full };
// One among healthy ones; a part of the fleet at once; most of it.
enum class Kind : std::uint8_t { unknown, alone, wave, most };
const char* text_of(Phase phase);
const char* text_of(Kind kind);

struct RecoveryOptions {
  Duration max_learn =
      std::chrono::milliseconds(800);  // waited for others' knowledge, since the kernel is up
  double first = 0.1;                  // offered before anything is proven
  double growth = 1.5;                 // offered never exceeds so many times what was proven
  double wait_bound = 1;  // of an arrival on the cores, in targets of its class, while a bound holds
  double wave_share = 0.2, max_share = 0.5;        // of the fleet, from which a start is one of many
  Duration step = std::chrono::milliseconds(300);  // the shortest
  std::uint32_t proof = 4;                         // runs within their aim that end a step
  double proof_share = 0.8;                        // of the runs of a step that must be so
  Duration idle_step = std::chrono::seconds(2);    // where nobody asks
  Duration calm_for = std::chrono::seconds(3);     // no arrival turned away, before the bound is lifted
  Duration max_pause = std::chrono::seconds(5);    // past it, what was in memory is old
  Duration pressed_for = std::chrono::seconds(2);  // waits over their bound so long: back to a bound
};

// What a view says of the fleet's start.
struct FleetStatus {
  double returning = 0;    // share that is missing or not in full service, this one aside; 0 to 1
  double missing = 0;      // of it, not there at all
  std::size_t others = 0;  // agreed on
  std::size_t able = 0;    // of these, in full service: who may be asked
  bool sure = false;       // a majority is seen and nothing is in doubt
};
FleetStatus fleet_status_of(const membership::View& view);

class RecoveryController {
 public:
  RecoveryController(RecoveryOptions rules, TimePoint started);

  // Things that happen. `now` never goes back; earlier is read as the latest seen.
  void fleet(const FleetStatus& facts, TimePoint now);
  // What the last life knew of the fleet's size, before there is a view.
  void expected(std::size_t members, TimePoint now);
  void learned(std::size_t sources, TimePoint now);  // all answers are in, or nobody is left to ask
  void kernel(bool cold, Duration warm_up_left, TimePoint now);
  void answered(bool served, TimePoint now);
  void health(bool good, TimePoint now);
  // A run ended: within its aim, or not (late, failed).
  void ran(bool in_aim, TimePoint now);
  // An arrival was turned away for its wait, or for load.
  void turned_away(TimePoint now);
  // A while has passed; at least every `step`. A gap between two of them over max_pause is a pause.
  void tick(TimePoint now);

  Phase phase() const { return phase_; }
  Kind kind() const { return kind_; }
  // 0 to 1, of what it would announce by itself.
  double offered() const { return offered_; }
  double proven() const { return proven_; }
  // The bound on waits; absent while none holds. Survivors of a wave have one without a ramp.
  std::optional<double> wait_bound() const;
  // Of the time until full service; zero once there.
  Duration left(TimePoint now) const;
  TimePoint since() const { return since_; }  // of the phase
  TimePoint started() const { return started_; }

  struct RecoveryTimeline {  // since the start, or since the last way back; absent: not yet
    std::optional<Duration> first_answer, good_health, half, most, full;
    std::optional<Duration> estimate;  // of `full`, made when the ramp began
    std::size_t sources = 0;           // that were learned from
  };
  const RecoveryTimeline& milestones() const { return milestones_; }
  std::uint32_t recoveries() const { return recovery_count_; }

  // For whoever logs: each once, in order.
  struct News {
    enum What : std::uint8_t { phase, kind, full, paused, guarding } what{};
    Phase at{};  // as they were then
    Kind of{};
    bool guarded = false;
  };
  std::vector<News> take_news() { return std::exchange(news_, {}); }
  bool guarding() const { return guarding_; }

 private:
  void enter(Phase phase, TimePoint now);
  void begin_again(Phase phase, TimePoint now);
  void judge_kind(TimePoint now);
  void end_step(TimePoint now);
  void offer(double share, TimePoint now);
  void mind_pressure(TimePoint now);
  Duration span(TimePoint now) const { return now - started_; }

  RecoveryOptions rules_;
  TimePoint started_, since_, ticked_, step_from_;
  Phase phase_ = Phase::blank;
  Kind kind_ = Kind::unknown;
  double offered_, proven_;
  FleetStatus facts_;
  bool viewed_ = false, kernel_ = false, guarding_ = false, learned_ = false;
  std::size_t expected_ = 0;
  TimePoint warm_at_{}, away_at_, calm_since_, low_since_{};
  std::optional<TimePoint> pressed_since_;
  std::uint32_t good_ = 0, bad_ = 0, away_ = 0, recovery_count_ = 0;
  RecoveryTimeline milestones_;
  std::vector<News> news_;
};

}  // namespace granitegap::recovery
