#include "recovery/recovery_controller.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace granitegap::recovery {
namespace {

using membership::Stage;
using membership::Status;

// A wrong first guess is taken back only once the view has said so for this long: guards against a kind that
// goes to and fro while members come and go.
constexpr Duration kKindSettles = std::chrono::seconds(3);
constexpr double kClearlyLess = 0.5;  // of the threshold that was passed

// Who says nothing of a way back is taken by its stage.
bool in_service(const membership::View::Peer& p) {
  if (p.status != Status::alive) return false;
  if (p.metadata.recovery_status.phase > 0)
    return p.metadata.recovery_status.phase == 1 + std::uint8_t(Phase::full);
  return p.metadata.stage != Stage::starting;
}

}  // namespace

const char* text_of(Phase phase) {
  switch (phase) {
    case Phase::blank:
      return "blank";
    case Phase::learning:
      return "learning";
    case Phase::ramping:
      return "ramping";
    case Phase::full:
      return "full";
  }
  return "?";
}

const char* text_of(Kind kind) {
  switch (kind) {
    case Kind::unknown:
      return "unknown";
    case Kind::alone:
      return "alone";
    case Kind::wave:
      return "wave";
    case Kind::most:
      return "most";
  }
  return "?";
}

// Zones count alike: one that is lost whole weighs as a zone, however few machines it has. The larger of that
// and the plain share, so that many small troubles don't hide either. Who has left in order is not missed.
FleetStatus fleet_status_of(const membership::View& view) {
  struct Zone {
    double members = 0, returning = 0;
  };
  std::map<std::string_view, Zone> zones;
  FleetStatus f;
  std::size_t there = 0, unknown = 0;
  for (const auto& p : view.peers) {
    if (p.status == Status::left) continue;
    if (p.status == Status::alive && p.metadata.version == 0) {  // just met: it has not said anything yet
      ++unknown;
      continue;
    }
    const bool good = in_service(p);
    there += p.status == Status::alive;
    f.able += good;
    auto& z = zones[p.metadata.zone];
    z.members += 1;
    z.returning += !good;
  }
  // Who was agreed on and is not known any more is missed too.
  const auto agreed = std::max<std::size_t>(view.fleet_size, 1) - 1;
  f.others = std::max(agreed - std::min(agreed, unknown), there);
  f.sure = view.has_quorum && !view.uncertain && view.local_connectivity == membership::LocalConnectivity::ok;
  if (f.others == 0) return f;
  f.missing = double(f.others - there) / double(f.others);
  f.returning = double(f.others - std::min(f.able, f.others)) / double(f.others);
  double by_zone = 0;
  for (const auto& [name, z] : zones) by_zone += z.returning / z.members / double(zones.size());
  f.returning = std::max(f.returning, by_zone);
  return f;
}

RecoveryController::RecoveryController(RecoveryOptions rules, TimePoint started)
    : rules_(rules),
      started_(started),
      since_(started),
      ticked_(started),
      step_from_(started),
      offered_(rules.first),
      proven_(rules.first),
      away_at_(started),
      calm_since_(started) {}

void RecoveryController::enter(Phase phase, TimePoint now) {
  if (phase_ == phase) return;
  phase_ = phase;
  since_ = step_from_ = now;
  good_ = bad_ = away_ = 0;
  news_.push_back({News::phase, phase, kind_, guarding_});
  if (phase != Phase::ramping) return;
  calm_since_ = now;
  milestones_.estimate = span(now) + left(now);
}

// Another life of its service: what was reached is counted anew.
void RecoveryController::begin_again(Phase phase, TimePoint now) {
  ++recovery_count_;
  started_ = now;
  milestones_ = {};
  pressed_since_.reset();
  enter(phase, now);
}

void RecoveryController::fleet(const FleetStatus& facts, TimePoint now) {
  facts_ = facts;
  viewed_ = true;
  judge_kind(now);
  const bool guard = facts_.others > 0 && facts_.returning >= rules_.wave_share;
  if (guard) calm_since_ = std::max(calm_since_, now);
  if (guard && phase_ == Phase::full && !std::exchange(guarding_, true))
    news_.push_back({News::guarding, phase_, kind_, guarding_});
}

void RecoveryController::expected(std::size_t members, TimePoint now) {
  expected_ = members;
  judge_kind(now);
}

void RecoveryController::judge_kind(TimePoint now) {
  if (phase_ == Phase::full) return;
  auto found = Kind::unknown;
  if (viewed_ && facts_.others > 0)
    found = facts_.returning >= rules_.max_share    ? Kind::most
            : facts_.returning >= rules_.wave_share ? Kind::wave
                                                    : Kind::alone;
  else if (expected_ > 0)
    found = Kind::most;  // an earlier life knew others, and nobody is seen: the careful guess
  // The other way only for good reason: clearly under what was passed, seen by a view beyond doubt, for a
  // while.
  if (found < kind_ && kind_ != Kind::unknown) {
    const double passed = kind_ == Kind::most ? rules_.max_share : rules_.wave_share;
    const bool less = viewed_ && facts_.sure && facts_.returning < kClearlyLess * passed;
    if (!less) {
      low_since_ = {};
      return;
    }
    if (low_since_ == TimePoint{}) low_since_ = now;
    if (now - low_since_ < kKindSettles) return;
  }
  low_since_ = {};
  if (found == Kind::unknown || std::exchange(kind_, found) == found) return;
  news_.push_back({News::kind, phase_, kind_, guarding_});
}

void RecoveryController::learned(std::size_t sources, TimePoint now) {
  milestones_.sources = std::max(milestones_.sources, sources);
  learned_ = true;
  if (phase_ == Phase::learning) enter(Phase::ramping, now);
}

void RecoveryController::kernel(bool cold, Duration warm_up_left, TimePoint now) {
  const bool first = !std::exchange(kernel_, true);
  ticked_ = now;
  warm_at_ = now + (cold ? std::max(warm_up_left, Duration{}) : Duration{});
  if (first && phase_ == Phase::blank) {
    enter(Phase::learning, now);
    if (learned_) enter(Phase::ramping, now);
    return;
  }
  if (first || !cold) return;
  offered_ = proven_ = rules_.first;
  begin_again(Phase::ramping, now);
}

void RecoveryController::answered(bool served, TimePoint now) {
  if (served && !milestones_.first_answer) milestones_.first_answer = span(now);
}

void RecoveryController::health(bool good, TimePoint now) {
  if (good && kernel_ && !milestones_.good_health) milestones_.good_health = span(now);
}

void RecoveryController::ran(bool in_aim, TimePoint) { ++(in_aim ? good_ : bad_); }

void RecoveryController::turned_away(TimePoint now) {
  ++away_;
  away_at_ = now;
  if (!pressed_since_) pressed_since_ = now;
}

void RecoveryController::offer(double share, TimePoint now) {
  offered_ = std::clamp(share, rules_.first, 1.0);
  if (offered_ >= 0.5 && !milestones_.half) milestones_.half = span(now);
  if (offered_ >= 0.95 && !milestones_.most) milestones_.most = span(now);
}

// A step is judged by the runs that ended in it.
void RecoveryController::end_step(TimePoint now) {
  const auto passed = now - step_from_;
  if (passed < rules_.step) return;
  const auto all = good_ + bad_;
  const bool enough = all >= rules_.proof;
  const bool idle = all < rules_.proof && away_ == 0 && passed >= rules_.idle_step;
  if (!enough && !idle) {
    // Too few runs end, and callers are turned away: nothing is proven, and nothing is taken back. Guards
    // against runs so long that no step ever ends.
    if (passed < 4 * rules_.idle_step) return;
  }
  const bool well = enough ? double(good_) >= rules_.proof_share * double(all) : bad_ == 0;
  if (well && (enough || idle)) {
    proven_ = std::max(proven_, offered_);
    offer(std::max(offered_, proven_ * rules_.growth), now);
  } else if (!well) {
    offer(offered_ / rules_.growth, now);
    proven_ = std::min(proven_, offered_);
  }
  good_ = bad_ = away_ = 0;
  step_from_ = now;
}

// Waits over their bound for so long that callers are turned away all the time, on a process in full service:
// the same fixed point is reached without a restart, and left by the same bound.
void RecoveryController::mind_pressure(TimePoint now) {
  if (now - away_at_ > rules_.step * 2) pressed_since_.reset();
  if (phase_ != Phase::full || guarding_ || !pressed_since_) return;
  if (now - *pressed_since_ < rules_.pressed_for) return;
  guarding_ = true;
  calm_since_ = now;
  news_.push_back({News::guarding, phase_, kind_, guarding_});
}

void RecoveryController::tick(TimePoint now) {
  const auto gap = now - std::exchange(ticked_, std::max(ticked_, now));
  if (gap > rules_.max_pause) {
    news_.push_back({News::paused, phase_, kind_, guarding_});
    if (kernel_) {
      offered_ = proven_ = std::max(rules_.first, proven_ / 2);
      guarding_ = learned_ = false;
      begin_again(Phase::learning, now);
    }
    return;
  }
  judge_kind(now);
  if (phase_ == Phase::learning && now - since_ >= rules_.max_learn) enter(Phase::ramping, now);
  if (phase_ == Phase::ramping) end_step(now);
  if (away_at_ > calm_since_) calm_since_ = away_at_;
  const bool calm = now - calm_since_ >= rules_.calm_for;
  if (phase_ == Phase::ramping && offered_ >= 1 && (calm || now - since_ >= 4 * rules_.calm_for)) {
    guarding_ = !calm;  // all is offered: what is left is the bound
    // It is in full service since nobody was turned away any more, and not before it offered all.
    milestones_.full =
        std::max(milestones_.most.value_or(Duration{}), span(now) - (calm ? rules_.calm_for : Duration{}));
    enter(Phase::full, now);
    news_.push_back({News::full, phase_, kind_, guarding_});
  }
  if (phase_ == Phase::full && guarding_ && calm) {
    guarding_ = false;
    news_.push_back({News::guarding, phase_, kind_, guarding_});
  }
  mind_pressure(now);
}

std::optional<double> RecoveryController::wait_bound() const {
  if (phase_ == Phase::full && !guarding_) return std::nullopt;
  return rules_.wait_bound;
}

// The kernel's own warm-up, or the steps that are left, whichever is longer.
Duration RecoveryController::left(TimePoint now) const {
  if (phase_ == Phase::full) return {};
  const double steps = std::ceil(std::log(1 / std::max(offered_, 1e-3)) / std::log(rules_.growth));
  const auto ramp = rules_.step * std::int64_t(std::max(steps, 0.0));
  const auto learn = phase_ == Phase::ramping ? Duration{} : rules_.max_learn;
  return learn + std::max<Duration>(ramp, kernel_ ? std::max(warm_at_ - now, Duration{}) : Duration{});
}

}  // namespace granitegap::recovery
