// Edge::step(): inputs, timers and the actions of the admission controller.
#include "edge/edge.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace granitegap::edge {
namespace {

constexpr Duration kMaxGaugeAge = std::chrono::milliseconds(500);  // older gauges are not reported
constexpr Duration kKeyExpiryInterval = std::chrono::milliseconds(250);
constexpr Duration kDefaultWindow = std::chrono::seconds(60);
constexpr Duration kDefaultDeadline = std::chrono::seconds(5);

std::vector<IdempotencyTable::Rules> idempotency_rules(const Settings& settings) {
  std::vector<IdempotencyTable::Rules> rules;
  for (const auto& cls : settings.classes)
    rules.push_back(
        {cls.idempotency_window.value_or(kDefaultWindow), cls.deadline.value_or(kDefaultDeadline)});
  return rules;
}

}  // namespace

Edge::Edge(ParsedSettings settings, NameRegistry names, std::uint64_t seed)
    : settings_(std::move(settings)),
      names_(std::move(names)),
      seed_(seed),
      keys_(idempotency_rules(settings_.settings)),
      retry_jitter_(seed) {}

std::vector<Output> Edge::step(Now now, std::vector<Input> inputs) {
  now_ = now;
  ++batch_;
  outputs_.clear();
  for (auto& input : inputs) std::visit([this](auto& message) { on(std::move(message)); }, input);
  fire_timers();
  if (recovery_) update_recovery();
  run_controller();
  expire_keys();
  return std::move(outputs_);
}

// Applying actions may end further requests, such as a duplicate whose payload is available. Each round
// reports the new events to the controller, until there are none.
void Edge::run_controller() {
  for (;;) {
    for (const auto& ended : std::exchange(ended_gathers_, {})) finish_gather(ended);
    if (!controller_ || events_.empty()) return;
    const auto events = std::exchange(events_, {});
    apply_all(controller_->handle(now_.steady, events));
  }
}

void Edge::apply_all(const std::vector<Action>& actions) {
  for (const auto& action : actions) std::visit([this](const auto& decision) { apply(decision); }, action);
}

void Edge::expire_keys() {
  if (now_.steady - keys_expired_at_ < kKeyExpiryInterval) return;
  keys_.expire(now_.unix);
  keys_expired_at_ = now_.steady;
}

Duration Edge::longest_key_retention() const {
  Duration longest{};
  for (std::size_t i = 0; i < names_.classes.size(); ++i)
    if (names_.requires_idempotency_key(ClassId(i))) longest = std::max(longest, keys_.retention(ClassId(i)));
  return longest;
}

// ---- Timers and gauges ----

std::optional<TimePoint> Edge::next_timer() {
  std::optional<TimePoint> next;
  if (!timers_.empty()) next = timers_.top().at;
  const auto next_call = scatter_gather_ ? scatter_gather_->next_timer() : std::nullopt;
  if (!next_call) return next;
  return next ? std::min(*next, *next_call) : next_call;
}

void Edge::apply(const SetTimer& set) {
  timers_.push({now_.steady + std::max(set.delay, Duration(1)), next_timer_order_++, set.token});
}

void Edge::on(const Gauges& gauges) {
  gauges_ = gauges.values;
  gauges_received_at_ = now_.steady;
}

// Timers do not wait for gauges: the events carry the latest ones received, or none if those are too old.
void Edge::fire_timers() {
  bool fired = false;
  while (!timers_.empty() && timers_.top().at <= now_.steady) {
    const auto token = timers_.top().token;
    timers_.pop();
    events_.emplace_back(with_gauges(token, fresh_gauges(), settings_.gauges));
    fired = true;
  }
  if (fired) send_command(PollGauges{});
  if (!scatter_gather_) return;
  scatter_gather_->tick(now_.steady);
  dispatch_calls();
}

std::span<const float> Edge::fresh_gauges() const {
  if (gauges_.empty() || now_.steady - gauges_received_at_ > kMaxGaugeAge) return {};
  return gauges_;
}

// ---- The log ----

void Edge::apply(const Log& log) { log_event("admission controller: " + log.message, "module"); }

void Edge::log_event(std::string text, std::string_view event, std::string subject) {
  outputs_.emplace_back(LogEvent{std::move(text), event, std::move(subject)});
}

}  // namespace granitegap::edge
