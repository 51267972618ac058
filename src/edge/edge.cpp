#include "edge/edge.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace granitegap::edge {
namespace {

constexpr Duration kGaugesLast = std::chrono::milliseconds(500);  // older ones say nothing of now
constexpr Duration kSweepEvery = std::chrono::milliseconds(250);
constexpr std::size_t kMaxDeepChecks = 64;
// Before the end of the grace: the notice is heard a little after it was given.
constexpr Duration kGraceMargin = std::chrono::milliseconds(100);
constexpr Duration kCourseEvery = std::chrono::milliseconds(100);
constexpr Duration kBootsApart = std::chrono::seconds(2);   // between two words of one start
constexpr Duration kClocksApart = std::chrono::seconds(1);  // one machine's clock, so hardly at all

std::vector<IdempotencyTable::Rules> key_rules(const Settings& settings) {
  std::vector<IdempotencyTable::Rules> rules;
  for (const auto& c : settings.classes)
    rules.push_back({c.idempotency_window.value_or(std::chrono::seconds(60)),
                     c.deadline.value_or(std::chrono::seconds(5))});
  return rules;
}

}  // namespace

Edge::Edge(ParsedSettings settings, NameRegistry catalog, std::uint64_t seed)
    : settings_(std::move(settings)),
      catalog_(std::move(catalog)),
      seed_(seed),
      keys_(key_rules(settings_.settings)),
      spread_(seed) {}

std::vector<Output> Edge::step(Now now, std::vector<Input> inputs) {
  now_ = now;
  ++batch_;
  out_.clear();
  for (auto& input : inputs) std::visit([&](auto& i) { on(std::move(i)); }, input);
  fire_timers();
  if (course_) mind_course();
  // Applying actions may end further requests (a repeat whose result is at hand): another round tells the
  // module, until nothing is left to tell.
  for (;;) {
    for (const auto& ended : std::exchange(ended_gathers_, {})) gather_ended(ended);
    if (!module_ || events_.empty()) break;
    const auto events = std::exchange(events_, {});
    for (const auto& action : module_->handle(now_.steady, events))
      std::visit([&](const auto& a) { apply(a); }, action);
  }
  if (now_.steady - swept_at_ >= kSweepEvery) {
    keys_.sweep(now_.unix);
    swept_at_ = now_.steady;
  }
  return std::move(out_);
}

std::optional<TimePoint> Edge::next_timer() {
  std::optional<TimePoint> next;
  if (!timers_.empty()) next = timers_.top().at;
  if (const auto below = gatherer_ ? gatherer_->next_timer() : std::nullopt)
    next = next ? std::min(*next, *below) : below;
  return next;
}

void Edge::declare(std::shared_ptr<const deps::Spec> spec, Compose compose, bool guarded) {
  gatherer_.emplace(std::move(spec), seed_, guarded);
  compose_ = std::move(compose);
}

// ---- What comes in ----

void Edge::on(Request request) {
  // A number names one try: a second one under it could not be told apart in the kernel's reports. And a
  // token's result is that of the body it came with: nothing else may be served with it.
  if (closing_ || !module_ || by_rid_.count(request.rid) || untimely(request) || keys_.other_body(request))
    return turn_away(request.from);
  if (waits_out(request)) return;
  const RequestId id{next_id_++};
  RequestArrived arrived;
  arrived.id = id;
  arrived.class_id = request.cls;
  arrived.tenant = request.tenant;
  arrived.caller = request.caller;
  arrived.key = request.read;
  arrived.cost_hint = request.cost_hint;
  arrived.memory = request.memory;
  // Its stamp is of another clock than the module's: only the span carries over, and never a negative one.
  arrived.unread_wait = std::max(now_.unix - request.reached, Duration{});
  arrived.duplicate_of = keys_.arrive(request, id, batch_);
  by_rid_.emplace(request.rid, id);
  by_peer_[request.from.peer].push_back(id);
  const bool too_late = past_grace();
  open_.emplace(id, Open{.request = std::move(request),
                         .since = now_.steady,
                         .too_late = too_late,
                         .repeats = arrived.duplicate_of});
  ++unanswered_;
  events_.emplace_back(arrived);
}

void Edge::wait_out_lost_memory(Duration max_clock_back, bool has_folder, TimePoint started) {
  recovery::RestartQuarantine::Options rules;
  const auto by_class = key_rules(settings_.settings);
  for (std::size_t i = 0; i < by_class.size(); ++i)
    rules.idempotency_windows.push_back(catalog_.is_keyed(ClassId(i)) ? by_class[i].window : Duration{});
  rules.max_clock_setback = max_clock_back;
  rules.has_state_directory = has_folder;
  lost_memory_.emplace(std::move(rules), started);
}

// A keyed request that an earlier life may have run is refused before it costs anything, and told when to
// come again. By when it reached the machine: guards against one that lay unread until the doubt was over.
bool Edge::waits_out(const Request& request) {
  if (!lost_memory_ || !catalog_.is_keyed(request.cls)) return false;
  const auto reached = now_.steady - std::max(now_.unix - request.reached, Duration{});
  if (!lost_memory_->is_quarantined(request.cls, reached)) return false;
  const auto most = settings_.settings.max_retry_after.value_or(Duration{});
  const auto until = lost_memory_->quarantined_until(request.cls);
  const auto left = until == TimePoint::max() ? most : std::max(until - now_.steady, Duration(1000));
  out_.emplace_back(Answer{request.from, Outcome::refused, nullptr, hint_, std::min(left, most), false});
  return true;
}

void Edge::on(const WarmStateReceived& news) {
  if (course_ && news.from_others == 0) course_->on_last_known_members(news.what.members.size(), now_.steady);
  if (!gatherer_) return;
  const auto from = news.from_others == 0 ? std::string("an earlier life")
                                          : std::to_string(news.from_others) + " other members";
  const auto used = gatherer_->learn(news.what, now_.steady);
  if (used.endpoints > 0)
    remark("learned of " + std::to_string(used.endpoints) + " endpoints from " + from, "learned");
  if (used.parts > 0)
    remark("learned " + std::to_string(used.parts) + " kept answers from " + from, "learned_parts");
}

warm_state::WarmState Edge::learned(TimePoint now) const {
  warm_state::WarmState what;
  if (gatherer_) gatherer_->export_to(what, now);
  return what;
}

void Edge::on(const Closing&) { closing_ = true; }

void Edge::on(const CacheFillQuery& asked) {
  const RequestId id{next_id_++};
  fills_.emplace(id, asked.tag);
  if (gatherer_ && gatherer_->fill(id, asked.question, now_.steady)) return pass_on_calls();
  fills_.erase(id);
  out_.emplace_back(CacheFillReply{asked.tag, nullptr, {}});
}

void Edge::guide_return(const recovery::RecoveryOptions& rules, TimePoint started) {
  course_.emplace(rules, started);
}

void Edge::on(const StateTransferFinished& over) {
  if (course_) course_->on_state_transferred(over.sources, now_.steady);
}

// What recovery has found reaches the module as a bound: it stays the one that admits, orders and refuses.
void Edge::mind_course() {
  if (module_ && now_.steady - course_at_ >= kCourseEvery) {
    course_at_ = now_.steady;
    course_->tick(now_.steady);
  }
  tell_course();
  if (!module_) return;
  const AdmissionLimits bound{course_->max_wait_factor(), course_->advertised_share()};
  if (bound.max_wait_ratio == bound_.max_wait_ratio && bound.credit_fraction == bound_.credit_fraction)
    return;
  bound_ = bound;
  events_.emplace_back(bound);
}

void Edge::tell_course() {
  using recovery::RecoveryEvent;
  const auto ms = [](Duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
  };
  const auto reached = [&](const std::optional<Duration>& d) { return d ? ms(*d) : std::string("-"); };
  const auto& m = course_->timeline();
  for (const auto& event : course_->take_events()) switch (event.type) {
      case RecoveryEvent::phase_changed:
        remark(std::string("recovery: ") + recovery::text_of(event.phase) +
                   (event.phase == recovery::Phase::slow_start
                        ? ", about " + ms(course_->remaining(now_.steady)) + " ms to full service"
                        : ""),
               "recovery_phase", recovery::text_of(event.phase));
        break;
      case RecoveryEvent::scope_changed:
        remark(std::string("recovery: this start is ") +
                   (event.scope == recovery::RestartScope::single    ? "one among healthy ones"
                    : event.scope == recovery::RestartScope::partial ? "one of a wave"
                                                                     : "one of most of the fleet's"),
               "recovery_kind", recovery::text_of(event.scope));
        break;
      case RecoveryEvent::entered_service:
        remark("recovery: full service after " + reached(m.in_service) + " ms, guessed " +
                   reached(m.estimated_in_service) + "; first answer " + reached(m.first_response) +
                   ", good health " + reached(m.first_healthy) + ", half " + reached(m.half_share) +
                   ", 0.95 " + reached(m.nearly_full_share) + "; learned from " + std::to_string(m.donors),
               "recovery_full", reached(m.in_service));
        break;
      case RecoveryEvent::pause_detected:
        out_.emplace_back(StateTransferWanted{});
        remark("recovery: this process stood still for long: what it remembers is old", "recovery_paused");
        break;
      case RecoveryEvent::overload_guard_changed:
        remark(event.overload_guard ? "recovery: waits are bounded while others come back or callers press"
                                    : "recovery: waits are not bounded any more",
               "recovery_guard", event.overload_guard ? "on" : "off");
        break;
    }
}

void Edge::on(const PreviousIncarnationFound& news) {
  if (!lost_memory_) return;
  lost_memory_->on_previous_incarnation(news.found, now_.steady);
  say_how_long();
}

void Edge::say_how_long() {
  const auto until = lost_memory_->last_quarantine_end();
  if (until == TimePoint::max() || until <= now_.steady) return;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(until - now_.steady).count();
  remark("keyed requests wait " + std::to_string(ms) + " ms for what an earlier life may have run",
         "keyed_wait");
}

Duration Edge::keyed_wait(TimePoint now) const {
  const auto until = lost_memory_ ? lost_memory_->last_quarantine_end() : TimePoint::min();
  if (until == TimePoint::max()) return Duration::max();
  return until <= now ? Duration{} : until - now;
}

// Guards against stamps that no request of this machine can bear: in the future, or past the moment when it
// was due its answer. Such a stamp would also move the window in which its token must not run again.
bool Edge::untimely(const Request& request) const {
  const auto& s = settings_.settings;
  const auto i = std::size_t(request.cls);
  if (request.reached > now_.unix + kClocksApart) return true;
  if (i >= s.classes.size() || !s.classes[i].deadline) return false;
  return now_.unix >
         request.reached + *s.classes[i].deadline + s.answer_slack.value_or(Duration{}) + kClocksApart;
}

// By when it is read, not by its stamp: guards against a request that waited for its connection, so that it
// was written later than its stamp tells.
bool Edge::past_grace() const {
  const auto grace = settings_.settings.drain_grace.value_or(Duration{});
  return drain_from_ && !lifecycle_.handing_over() &&
         now_.unix > *drain_from_ + std::max(grace - kGraceMargin, Duration{});
}

void Edge::on(const HealthCheck& check) {
  const bool deep =
      check.full && settings_.settings.deep_health_checks.value_or(false) && !from_store_ && fit();
  if (!module_ || !deep || deep_checks_.size() >= kMaxDeepChecks) {
    out_.emplace_back(HealthAnswer{check.from, fit(), hint_});
    return;
  }
  deep_checks_[next_check_] = check.from;
  command(DeepCheck{next_check_++});
}

void Edge::on(const DeepCheckDone& done) {
  const auto node = deep_checks_.extract(done.tag);
  if (node) out_.emplace_back(HealthAnswer{node.mapped(), done.good && fit(), hint_});
}

// Guards against work for a connection that can't carry its answer. What runs goes on under the module's
// hand and its end is reported like any other.
void Edge::on(const PeerDisconnected& gone) {
  if (const auto theirs = by_peer_.extract(gone.peer))
    for (const auto id : theirs.mapped())
      if (auto* o = find(id); o && !o->answered) {
        o->answered = true;
        --unanswered_;
        abandon(id, *o);
      }
  std::erase_if(deep_checks_, [&](const auto& c) { return c.second.peer == gone.peer; });
}

void Edge::on(const RequestCancelled& withdrawn) {
  const auto theirs = by_peer_.find(withdrawn.from.peer);
  if (theirs == by_peer_.end()) return;
  for (const auto id : std::vector<RequestId>(theirs->second))
    if (auto* o = find(id); o && !o->answered && o->request.from.stream == withdrawn.from.stream) {
      answer(*o, Outcome::failed);
      abandon(id, *o);
    }
}

// Its answer is given or can't be. Held, it is over, unless another try waits for what it will be: guards
// against a lost connection that fails the retry which came in time.
void Edge::abandon(RequestId id, Open& o) {
  if (!o.followers.empty()) return;
  events_.emplace_back(RequestAbandoned{id});
  drop_work(id, o);
}

// Its answer is given or nobody's: over, but for a run, whose end the kernel reports. A gather ends with it,
// unless a repeat waits for what comes of it.
void Edge::drop_work(RequestId id, Open& o) {
  if (o.work == Work::running) return;
  if (o.work == Work::gathering) {
    if (o.calling && !o.followers.empty()) return;
    if (o.calling) {
      gatherer_->abandon(id, now_.steady);
      pass_on_calls();
    }
    events_.emplace_back(RunEnded{id, RunResult::moot, {}});
  }
  end(id, IdempotencyTable::RunState::bad, nullptr);
}

void Edge::on(const Drain& drain) {
  if (drain_from_) return;
  drain_from_ = now_.unix;
  // Handed over, it tells nobody to stay away: that would be said of the successor too.
  if (lifecycle_.handing_over()) {
    if (module_) events_.emplace_back(DrainStarted{drain.until_stopped});
    return;
  }
  good_ = false;
  report_health();
  // What the checks under way ask is answered now: the kernel's word may come late, or never.
  for (const auto& [tag, to] : std::exchange(deep_checks_, {}))
    out_.emplace_back(HealthAnswer{to, false, hint_});
  if (module_) events_.emplace_back(DrainStarted{drain.until_stopped});
}

// The kernel's start is the module's: it may come long after this process's, and how warm the cores are
// counts from it. Later links only repeat the news.
void Edge::on(const KernelStarted& booted) {
  const auto born = now_.steady - std::min<Duration>(booted.ago, std::chrono::hours(24));
  const bool anew = module_ && booted.cold && born > born_ + kBootsApart;  // its machine has restarted
  if (course_ && (!module_ || anew)) {
    const auto warm_up = settings_.settings.warm_up.value_or(std::chrono::seconds(60));
    course_->on_kernel_ready(booted.cold, born + warm_up - now_.steady, now_.steady);
    course_->on_health_check(good_, now_.steady);
  }
  if (anew) born_ = born;
  lifecycle_.kernel_up();
  if (module_) return;
  settings_.settings.cold = booted.cold;
  born_ = born;
  module_.emplace(settings_.settings, seed_, born_);
  for (const auto& action : module_->start()) std::visit([&](const auto& a) { apply(a); }, action);
  report_health();
}

void Edge::on(RunReport report) {
  const auto it = by_rid_.find(report.rid);
  if (it == by_rid_.end()) return;
  const auto id = it->second;
  auto& o = open_.at(id);
  if (o.work != Work::running) return;
  switch (report.end) {
    case RunEnd::ok:
      return finish_run(id, RunResult::ok, report.took, product_of(o, std::move(report.result)));
    case RunEnd::error:
      return finish_run(id, RunResult::error, report.took, nullptr);
    case RunEnd::moot:
      never_ran(o, id);
      return finish_run(id, RunResult::moot, report.took, nullptr);
    case RunEnd::stopped:
      break;
  }
  events_.emplace_back(RunEnded{id, RunResult::cancelled, report.took});
  o.stopped = true;
  if (o.answered) return end(id, IdempotencyTable::RunState::bad, nullptr);
  o.work = settings_.settings.suspend == SuspendKind::pause ? Work::paused : Work::held;
}

// The kernel's protocol names no way to make a call for a run: the request is given up at once, and the
// kernel ends the run of a request that is over.
void Edge::on(const DependencyCallRequested& wanted) {
  const auto it = by_rid_.find(wanted.rid);
  if (it == by_rid_.end()) return;
  const auto id = it->second;
  auto& o = open_.at(id);
  if (o.work != Work::running) return;
  if (!std::exchange(told_of_calls_, true))
    remark("kernel wants a call below for request " + wanted.rid + ": not known here, such requests fail",
           "call_wanted", wanted.rid);
  events_.emplace_back(CallNeeded{id});
  answer(o, Outcome::failed);
  abandon(id, o);
}

// A command the kernel would not carry out must not strand its request: the run is over, with an error.
void Edge::on(const CommandRejected& rejected) {
  remark("kernel rejected a command for request " + rejected.rid, "kernel_rejected", rejected.rid);
  const auto it = by_rid_.find(rejected.rid);
  if (it == by_rid_.end() || rejected.kind == CommandKind::stop) return;
  const auto id = it->second;
  const auto& o = open_.at(id);
  if (o.work != Work::running) return;
  // Guards against a token spoilt for its window by a try that the kernel never knew.
  never_ran(o, id);
  finish_run(id, RunResult::error, {}, nullptr);
}

void Edge::never_ran(const Open& o, RequestId id) {
  if (o.stopped) return;
  keys_.never_ran(o.request, id);
  if (claims_.never_ran && !o.request.token.empty()) claims_.never_ran(o.request);
}

void Edge::on(const Gauges& gauges) {
  gauges_ = gauges.values;
  gauges_at_ = now_.steady;
}

// Timers never wait for gauges: the newest at hand go with them, or none.
void Edge::fire_timers() {
  bool fired = false;
  while (!timers_.empty() && timers_.top().at <= now_.steady) {
    const auto token = timers_.top().token;
    timers_.pop();
    const bool fresh = !gauges_.empty() && now_.steady - gauges_at_ <= kGaugesLast;
    events_.emplace_back(with_gauges(
        token, fresh ? std::span<const float>(gauges_) : std::span<const float>{}, settings_.gauges));
    fired = true;
  }
  if (fired) command(AskGauges{});
  if (!gatherer_) return;
  gatherer_->tick(now_.steady);
  pass_on_calls();
}

// ---- What the module decides ----

void Edge::apply(const Run& a) {
  auto* o = find(a.id);
  if (!o) {
    events_.emplace_back(RunEnded{a.id, RunResult::moot, {}});
    return;
  }
  if (o->work == Work::paused) {
    o->work = Work::running;
    o->since = now_.steady;
    return command(ResumeRun{o->request.rid});
  }
  if (o->work != Work::held) return;
  if (!gathers(*o) || o->too_late || keys_.covering_run(o->request)) return begin_run(a.id, *o);
  // Nothing reaches the kernel before its parts are there: a required one that fails costs no core time, and
  // 'refused' stays true.
  o->work = Work::gathering;
  o->since = now_.steady;
  events_.emplace_back(CallNeeded{a.id});
}

void Edge::begin_run(RequestId id, Open& open) {
  auto* o = &open;
  // The last guard of two rules, whatever the module says. No try of a request runs again within the window
  // of the one that ran; and nothing runs that reached the machine too long after the notice to leave.
  const auto* run = keys_.covering_run(o->request);
  if (run || o->too_late) {
    events_.emplace_back(RunEnded{id, RunResult::moot, {}});
    if (run && run->state == IdempotencyTable::RunState::good)
      answer(*o, Outcome::served, run->result);
    else
      answer(*o, run ? Outcome::failed : Outcome::refused);
    return end(id, IdempotencyTable::RunState::bad, nullptr);
  }
  // What another process may have run, or may be running, is not run here; this try never was.
  if (claims_.claim && !o->request.token.empty() &&
      !claims_.claim(o->request, keys_.span(o->request.cls), now_.unix)) {
    events_.emplace_back(RunEnded{id, RunResult::moot, {}});
    // Without advice to stay away: that would be from the whole server, which is well.
    answer(*o, o->ran ? Outcome::failed : Outcome::refused);
    return end(id, IdempotencyTable::RunState::bad, nullptr);
  }
  o->work = Work::running;
  o->ran = true;
  o->since = now_.steady;
  keys_.started(o->request, id);
  command(StartRun{o->request.rid, o->request.cls, o->request.body});
}

void Edge::apply(const Reject& a) {
  auto* o = find(a.id);
  if (!o) return;
  if (course_ && a.retry_after.count() > 0) course_->on_request_rejected(now_.steady);
  // 'Refused' promises that this try never ran.
  answer(*o, o->ran ? Outcome::failed : Outcome::refused, nullptr, keep_off(a.retry_after),
         a.do_not_retry_elsewhere);
  drop_work(a.id, *o);
}

// The module's advice, spread in time while part of the fleet is missing.
// And over the time that a return will still take: guards against callers that come together again and again
// while there is nothing more to be had than the last time.
Duration Edge::keep_off(Duration advised) {
  const auto most = settings_.settings.max_retry_after.value_or(advised);
  if (course_ && course_->phase() != recovery::Phase::in_service && advised.count() > 0 && advised < most) {
    const auto window = std::min(most - advised, course_->remaining(now_.steady) / 4);
    return advised + Duration(std::int64_t(double(window.count()) *
                                           std::uniform_real_distribution<double>(0, 1)(spread_)));
  }
  if (!fleet_ || fleet_->missing <= 0) return advised;
  return membership::jittered_backoff(advised, most, fleet_->missing,
                                      std::uniform_real_distribution<double>(0, 1)(fleet_->random));
}

void Edge::apply(const Fail& a) {
  auto* o = find(a.id);
  if (!o) return;
  answer(*o, Outcome::failed);
  drop_work(a.id, *o);
}

void Edge::apply(const Suspend& a) {
  const auto* o = find(a.id);
  // A run that others wait for is not stopped because its own caller has gone.
  if (o && o->work == Work::running && (!o->answered || o->followers.empty()))
    command(StopRun{o->request.rid});
}

void Edge::apply(const CacheResult& a) {
  if (const auto* o = find(a.id)) keys_.keep(o->request, a.id, now_.unix + a.ttl);
}

void Edge::apply(const EvictResult& a) {
  if (const auto* o = find(a.id)) keys_.forget(o->request, a.id);
}

void Edge::apply(const ReuseResult& a) {
  auto* o = find(a.id);
  if (!o || o->work != Work::held) return;
  keys_.leave_hold(o->request, a.id);
  o->work = Work::reusing;
  o->since = now_.steady;
  if (const auto* run = keys_.any_run(o->request)) {
    if (run->state != IdempotencyTable::RunState::going)
      return settle_follower(a.id, run->state, run->result);
    open_.at(run->by).followers.push_back(a.id);
    return;
  }
  auto* original = o->repeats ? find(*o->repeats) : nullptr;
  if (!original || (original->work != Work::held && original->work != Work::gathering))
    return settle_follower(a.id, IdempotencyTable::RunState::bad, nullptr);
  original->followers.push_back(a.id);
}

void Edge::apply(const SetHealth& a) {
  if (lifecycle_.handing_over()) return;
  from_store_ = a.answer_from_state;
  const bool good = a.healthy && !drain_from_;
  if (std::exchange(good_, good) != good) report_health();
  if (course_) course_->on_health_check(good_, now_.steady);
}

void Edge::apply(const AdvertiseCredit& a) {
  if (!lifecycle_.handing_over()) hint_ = std::max(a.credit, 0.0);
}
void Edge::apply(const CloseIdleConnections& a) { out_.emplace_back(CloseIdlePeers{a.idle_for}); }
void Edge::apply(const SetTimer& a) {
  timers_.push({now_.steady + std::max(a.delay, Duration(1)), timer_order_++, a.token});
}
void Edge::apply(const Log& a) { remark("module: " + a.message, "module"); }

// ---- Calls below ----

// The kernel's protocol has no calls: only classes with declared parts ever ask for one.
void Edge::apply(const Call& a) {
  auto* o = find(a.id);
  if (!o || o->work != Work::gathering) return apply(Fail{a.id});
  begin_gather(a.id, *o, a.timeout, true);
}

void Edge::apply(const SkipCall& a) {
  auto* o = find(a.id);
  if (!o || o->work != Work::gathering) return apply(Fail{a.id});
  begin_gather(a.id, *o, {}, false);
}

void Edge::begin_gather(RequestId id, Open& o, Duration limit, bool may_call) {
  if (o.calling) return;
  if (!gatherer_->gathers(o.request.cls)) {  // a new declaration came in between
    if (may_call) events_.emplace_back(CallEnded{id, CallResult::ok, {}});
    return begin_run(id, o);
  }
  o.calling = true;
  o.since = now_.steady;
  gatherer_->begin(id, o.request.cls,
                   {o.request.read, o.request.body, catalog_.classes[std::size_t(o.request.cls)]}, limit,
                   may_call, now_.steady);
  pass_on_calls();
}

void Edge::on(const deps::CallReport& report) {
  if (!gatherer_) return;
  gatherer_->ended(report, now_.steady);
  pass_on_calls();
}

void Edge::on(const DependencySpecUpdate& fresh) {
  if (!gatherer_ || !fresh.spec) return;
  gatherer_->change(fresh.spec, now_.steady);
  pass_on_calls();
}

// ---- The fleet ----

void Edge::on(const MembershipUpdate& news) {
  if (!news.view) return;
  if (!fleet_) fleet_ = std::make_unique<Fleet>(Fleet{0, std::mt19937_64(seed_)});
  // Without a majority the missing may be this one: its advice stays as it is.
  fleet_->missing = news.view->has_quorum ? membership::missing_fraction(*news.view) : 0;
  if (course_) course_->on_fleet_status(recovery::fleet_status_of(*news.view), now_.steady);
  if (lost_memory_) lost_memory_->on_name_conflict(news.view->name_conflict, now_.steady);
  if (gatherer_) gatherer_->fleet(news.view, now_.steady);
}

Edge::Standing Edge::standing(TimePoint now) const {
  Standing s;
  if (gatherer_) s.endpoint_health = gatherer_->endpoint_health(now);
  if (hint_) s.pressed = std::uint8_t(std::clamp(100 / (1 + std::max(*hint_, 0.0)), 0.0, 100.0));
  if (course_) {
    const auto full = course_->timeline().in_service;
    s.recovery_status = {
        recovery::metadata_value_of(course_->phase()),
        std::uint8_t(std::lround(100 * course_->advertised_share())), 0,
        std::uint32_t(full ? std::clamp<std::int64_t>(full->count() / 1000, 1, 0xfffffff0) : 0)};
  }
  if (!module_) return s;
  const double warm_up = double(settings_.settings.warm_up.value_or(std::chrono::seconds(60)).count());
  const double part =
      settings_.settings.cold.value_or(true) ? double((now - born_).count()) / std::max(warm_up, 1.0) : 1;
  s.warmth = std::uint8_t(100 * std::clamp(part, 0.0, 1.0));
  const bool going = drain_from_ || lifecycle_.phase() == lifecycle::Phase::quiesced;
  s.stage = going            ? membership::Stage::draining
            : s.warmth < 100 ? membership::Stage::warming_up
                             : membership::Stage::serving;
  return s;
}

// At once, as a call's path is only lent. Ends of gathers wait for the next round: they may end requests that
// whoever is at work here still holds.
void Edge::pass_on_calls() {
  for (const auto& action : gatherer_->actions()) {
    if (const auto* start = std::get_if<deps::StartCall>(&action)) {
      const auto& d = gatherer_->dependency(start->dependency);
      out_.emplace_back(DependencyCall{
          start->id, *start->path,
          start->owner ? start->owner->at : gatherer_->address(start->dependency, start->endpoint), d.name,
          d.max_answer + (start->owner ? deps::kMaxFillHead : 0), d.max_header, d.max_quiet, d.max_idle_time,
          d.max_idle_connections});
    } else if (const auto* drop = std::get_if<deps::AbandonCall>(&action)) {
      out_.emplace_back(CancelDependencyCall{drop->id});
    } else if (const auto* ended = std::get_if<deps::GatherEnded>(&action)) {
      ended_gathers_.push_back(*ended);
    } else if (const auto* changed = std::get_if<deps::DependencyChanged>(&action)) {
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(changed->after).count();
      const auto& name = gatherer_->dependency(changed->dependency).name;
      remark(name + (changed->out ? " is out: going on without it, and probing"
                                  : " is back after " + std::to_string(ms) + " ms"),
             changed->out ? "dependency_out" : "dependency_back", name);
    }
  }
  gatherer_->clear_actions();
}

void Edge::gather_ended(const deps::GatherEnded& ended) {
  if (const auto fill = fills_.find(ended.id); fill != fills_.end()) {
    CacheFillReply a{fill->second, nullptr, {}};
    const auto parts = gatherer_->parts(ended.id);
    if (ended.required_parts_present && parts.size() == 1) a.body = parts[0].body, a.age = parts[0].age;
    fills_.erase(fill);
    gatherer_->release(ended.id);
    out_.emplace_back(std::move(a));
    return;
  }
  auto* o = find(ended.id);
  if (o && o->work == Work::gathering && o->calling)
    for (const auto& part : gatherer_->parts(ended.id))
      o->parts.push_back({std::string(part.name), part.status, part.age, part.body});
  gatherer_->release(ended.id);
  if (!o || o->work != Work::gathering) return;
  o->gathered = now_.steady;
  const auto how = ended.required_parts_present ? CallResult::ok : CallResult::error;
  events_.emplace_back(CallEnded{ended.id, how, now_.steady - o->since});
  if (ended.required_parts_present) return begin_run(ended.id, *o);
  events_.emplace_back(RunEnded{ended.id, RunResult::error, {}});
  answer(*o, Outcome::failed);
  end(ended.id, IdempotencyTable::RunState::bad, nullptr);
}

Result Edge::product_of(Open& o, std::string result) {
  if (o.parts.empty() || !compose_)
    return std::make_shared<const Product>(Product{std::move(result), {}, {}});
  for (auto& part : o.parts)
    if (part.body && part.status != deps::PartStatus::fallback) part.age += now_.steady - o.gathered;
  return std::make_shared<const Product>(compose_(std::move(result), o.parts));
}

// ---- Ends ----

Edge::Open* Edge::find(RequestId id) {
  const auto it = open_.find(id);
  return it == open_.end() ? nullptr : &it->second;
}

void Edge::answer(Open& o, Outcome outcome, Result result, Duration backoff, bool last) {
  if (std::exchange(o.answered, true)) return;
  --unanswered_;
  if (course_) course_->on_response(outcome == Outcome::served, now_.steady);
  out_.emplace_back(Answer{o.request.from, outcome, std::move(result), hint_, backoff, last});
}

void Edge::turn_away(const Origin& to) {
  out_.emplace_back(Answer{to, Outcome::refused, nullptr, hint_, {}, false});
}

void Edge::finish_run(RequestId id, RunResult how, Duration took, Result result) {
  auto& o = open_.at(id);
  events_.emplace_back(RunEnded{id, how, took});
  if (course_ && how != RunResult::moot)
    course_->on_run_finished(
        how == RunResult::ok && !o.answered && now_.unix - o.request.reached <= aim_of(o.request.cls),
        now_.steady);
  answer(o, how == RunResult::ok ? Outcome::served : Outcome::failed, result);
  end(id, how == RunResult::ok ? IdempotencyTable::RunState::good : IdempotencyTable::RunState::bad,
      std::move(result));
}

void Edge::settle_follower(RequestId id, IdempotencyTable::RunState state, const Result& result) {
  auto* o = find(id);
  if (!o) return;
  const bool good = state == IdempotencyTable::RunState::good;
  events_.emplace_back(RunEnded{id, good ? RunResult::ok : RunResult::error, now_.steady - o->since});
  answer(*o, good ? Outcome::served : Outcome::failed, result);
  end(id, state, nullptr);
}

void Edge::end(RequestId id, IdempotencyTable::RunState state, Result result) {
  auto node = open_.extract(id);
  auto& o = node.mapped();
  by_rid_.erase(o.request.rid);
  if (const auto theirs = by_peer_.find(o.request.from.peer); theirs != by_peer_.end()) {
    std::erase(theirs->second, id);
    if (theirs->second.empty()) by_peer_.erase(theirs);
  }
  keys_.ended(o.request, id, state, result);
  keys_.leave_hold(o.request, id);
  if (!o.ran) keys_.forget(o.request, id);
  for (const auto follower : o.followers) settle_follower(follower, state, result);
}

Duration Edge::aim_of(ClassId cls) const {
  const auto& classes = settings_.settings.classes;
  const auto i = std::size_t(cls);
  return i < classes.size() ? classes[i].latency_objective.value_or(Duration::max()) : Duration::max();
}

Duration Edge::longest_span() const {
  Duration longest{};
  for (std::size_t i = 0; i < catalog_.classes.size(); ++i)
    if (catalog_.is_keyed(ClassId(i))) longest = std::max(longest, keys_.span(ClassId(i)));
  return longest;
}

void Edge::report_health() {
  if (lifecycle_.reports() && (module_ || drain_from_)) out_.emplace_back(LoadReport{fit() && !drain_from_});
}

}  // namespace granitegap::edge
