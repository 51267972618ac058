#include "deps/scatter_gather.h"

#include <algorithm>
#include <cmath>

namespace granitegap::deps {
namespace {

constexpr std::uint32_t kSamplesForTimeout = 10, kSamplesForHedge = 20;
constexpr double kTimeoutQuantile = 0.99;
constexpr double kFairAttemptMedians =
    1.5;  // median times a try must have had for its timeout to be held against anyone
constexpr std::uint32_t kSamplesPerSummary = 16;  // new samples after which the summary is computed anew
constexpr Duration kSummaryLifetime = std::chrono::milliseconds(50);
constexpr std::size_t kFailures = 1024;
constexpr Duration kLeastAsked = std::chrono::milliseconds(5);  // under it another member is not asked
constexpr std::size_t kHotLooked = 2048;  // kept answers: looked at in well under a millisecond
constexpr unsigned kAttemptBits = 4, kSlotBits = 24;

std::uint64_t hash_of(RequestId id) { return std::uint64_t(id); }

}  // namespace

ScatterGather::Dependency::Dependency(const DependencySpec& s)
    : spec(s),
      endpoints(s),
      limit(s.least_open, s.most_open),
      budget(s.retry_share, s.retry_burst),
      outage(s.probe_every, s.probe_most) {
  name_endpoints();
}

void ScatterGather::Dependency::name_endpoints() {
  fleet_keys.clear();
  for (std::uint32_t i = 0; i < endpoints.places(); ++i) {
    const auto& a = endpoints.address(i);
    fleet_keys.push_back(membership::name_hash(spec.name + ' ' + a.host + ' ' + std::to_string(a.port)));
  }
}

void ScatterGather::Dependency::note_probe(std::uint32_t endpoint, bool out, TimePoint now) {
  const auto key = fleet_keys[endpoint];
  std::erase_if(probed, [&](const auto& p) { return p.key == key || now - p.at >= 4 * spec.probe_most; });
  probed.push_back({key, now, out});
}

void ScatterGather::Dependency::heard(Duration took, TimePoint now) {
  latency.add(took, now);
  ++samples_since_summary;
}

const ScatterGather::LatencySummary& ScatterGather::Dependency::latency_summary(TimePoint now) {
  if (samples_since_summary < kSamplesPerSummary && now - summary_taken_at < kSummaryLifetime) return summary;
  samples_since_summary = 0;
  summary_taken_at = now;
  // The median of a window follows a change by seconds, the mean of the newest answers within a few: guards
  // against slowness read as failure.
  summary.median = latency.quantile(0.5, now, kSamplesForTimeout).value_or(Duration{});
  if (summary.median.count() > 0) summary.median = std::max(summary.median, limit.recent());
  summary.high = latency.quantile(kTimeoutQuantile, now, kSamplesForTimeout).value_or(Duration{});
  summary.hedge = spec.hedge_after > 0
                      ? latency.quantile(spec.hedge_after, now, kSamplesForHedge).value_or(Duration{})
                      : Duration{};
  return summary;
}

ScatterGather::ScatterGather(std::shared_ptr<const Spec> spec, std::uint64_t seed, bool guarded)
    : guarded_(guarded),
      hash_seed_(mix_bits(seed + 1)),
      random_(seed),
      failures_(kFailures),
      cache_(spec->cache_bytes) {
  loaded_ = load(std::move(spec), TimePoint{});
}

std::shared_ptr<const ScatterGather::Loaded> ScatterGather::load(std::shared_ptr<const Spec> spec,
                                                                 TimePoint now) {
  auto fresh = std::make_shared<Loaded>();
  for (const auto& d : spec->dependencies) {
    const auto known =
        std::find_if(deps_.begin(), deps_.end(), [&](auto& k) { return k.spec.name == d.name; });
    fresh->dependency.push_back(std::uint32_t(known - deps_.begin()));
    if (known == deps_.end()) {
      deps_.emplace_back(d);
      continue;
    }
    known->spec = d;
    known->endpoints.change(d);
    known->name_endpoints();
    known->limit.rebound(d.least_open, d.most_open);
    known->budget.reset(d.retry_share, d.retry_burst);
    known->outage.reset(d.probe_every, d.probe_most);
  }
  for (std::size_t g = 0; g < spec->gathers.size(); ++g) {
    const auto& gather = spec->gathers[g];
    const auto cls = std::size_t(gather.cls);
    if (cls >= fresh->gather_of.size()) fresh->gather_of.resize(cls + 1, -1);
    fresh->gather_of[cls] = std::int32_t(g);
    auto& paths = fresh->paths.emplace_back();
    for (const auto& part : gather.parts) {
      auto parsed = PathTemplate::parse(part.path);
      // Whoever reads a declaration checks its paths; one that slips through yields a part that is never
      // there.
      paths.push_back(std::holds_alternative<PathTemplate>(parsed) ? std::get<PathTemplate>(std::move(parsed))
                                                                   : PathTemplate{});
    }
  }
  auto fills = std::make_shared<Loaded>();
  auto each = std::make_shared<Spec>();
  fills->dependency = fresh->dependency;
  for (std::size_t d = 0; d < spec->dependencies.size(); ++d) {
    PartSpec part;
    part.name = "filled";
    part.dependency = d;
    part.required = true;
    each->gathers.push_back({ClassId{}, {}, {std::move(part)}});
  }
  fills->spec = std::move(each);
  fresh->fills = std::move(fills);
  fresh->spec = std::move(spec);
  share_limits();
  cache_.resize(fresh->spec->cache_bytes);
  for (std::uint32_t d = 0; d < deps_.size(); ++d) pump(d, now);
  return fresh;
}

void ScatterGather::change(std::shared_ptr<const Spec> spec, TimePoint now) {
  loaded_ = load(std::move(spec), now);
}

bool ScatterGather::gathers(ClassId cls) const {
  const auto i = std::size_t(cls);
  return i < loaded_->gather_of.size() && loaded_->gather_of[i] >= 0;
}

ScatterGather::Slot ScatterGather::find_gather(RequestId id) const {
  return by_request_.find(hash_of(id), [&](Slot s) { return gathers_[s].id == id; });
}

// ---- Gathers ----

void ScatterGather::begin(RequestId id, ClassId cls, const RequestAttributes& attributes, Duration budget,
                          bool may_call, TimePoint now) {
  if (!gathers(cls) || find_gather(id) != kNone) return;
  const Slot slot = new_gather(id, loaded_, std::size_t(loaded_->gather_of[std::size_t(cls)]));
  auto& g = gathers_[slot];
  const auto& spec = what(g);
  g.began = now;
  g.deadline = now + (guarded_ ? std::clamp(budget, Duration{}, spec.budget) : std::max(budget, Duration{}));
  g.may_call = may_call;
  g.obj = attributes.obj;
  g.body.assign(attributes.body);
  g.cls.assign(attributes.cls);
  if (g.pending == 0) return finish(slot, true, now);
  for (std::uint32_t p = 0; p < g.parts.size() && !g.over; ++p)
    if (!spec.parts[p].needs) start_part(slot, p, now);
}

ScatterGather::Slot ScatterGather::new_gather(RequestId id, std::shared_ptr<const Loaded> loaded,
                                              std::size_t which) {
  if (free_gathers_.empty()) {
    gathers_.emplace_back();
    free_gathers_.push_back(Slot(gathers_.size() - 1));
  }
  const Slot slot = free_gathers_.back();
  free_gathers_.pop_back();
  by_request_.put(hash_of(id), slot);
  auto& g = gathers_[slot];
  g.id = id;
  g.loaded = std::move(loaded);
  g.which = which;
  g.over = false;
  g.parts.resize(what(g).parts.size());
  for (auto& p : g.parts) p = Part{};
  g.pending = g.parts.size();
  return slot;
}

bool ScatterGather::fill(RequestId id, const FillQuestion& q, TimePoint now) {
  const auto& declared = loaded_->spec->dependencies;
  const auto d = std::find_if(declared.begin(), declared.end(),
                              [&](const auto& spec) { return spec.name == q.dependency; });
  if (d == declared.end() || !d->fleet_fill || !guarded_ || find_gather(id) != kNone) return false;
  ++totals_.filled;
  const auto which = std::size_t(d - declared.begin());
  const Slot slot = new_gather(id, loaded_->fills, which);
  auto& g = gathers_[slot];
  g.began = now;
  g.deadline = now + std::clamp(q.within, Duration{}, d->timeout_most);
  g.may_call = true;
  g.parts[0].begun = true;
  path_ = q.path;
  seek(slot, 0, g.loaded->dependency[which], q.fresh, true, now);
  return true;
}

void ScatterGather::start_part(Slot slot, std::uint32_t number, TimePoint now) {
  auto& g = gathers_[slot];
  auto& part = g.parts[number];
  const auto& spec = what(g).parts[number];
  part.begun = true;
  PathVariables attributes{g.obj, g.body, g.cls, {}};
  if (spec.needs)
    if (const auto& needed = g.parts[*spec.needs].body) attributes.needed = *needed;
  path_.clear();
  const auto d = g.loaded->dependency[spec.dependency];
  if (!g.loaded->paths[g.which][number].fill(attributes, path_) || path_.empty())
    return settle(slot, number, spec.fallback ? PartStatus::fallback : PartStatus::absent, nullptr, {}, now);
  seek(slot, number, d, spec.fresh_for, !guarded_ || !deps_[d].spec.fleet_fill, now);
}

void ScatterGather::seek(Slot slot, std::uint32_t number, std::uint32_t d, Duration fresh, bool own,
                         TimePoint now) {
  auto& g = gathers_[slot];
  auto& part = g.parts[number];
  const auto& spec = what(g).parts[number];
  part.key = key_of(d, path_, hash_seed_);
  part.fresh = fresh;
  if (const auto kept = cache_.find(part.key, now); kept && kept->age <= fresh && fresh.count() > 0)
    return settle(slot, number, PartStatus::fresh, kept->body, kept->age, now);
  if (!g.may_call) return fall_back(slot, number, now);

  // What others of the same gather need first leaves time for them: an even share of what is left for each
  // step of the longest chain from here on.
  const auto& parts = what(g).parts;
  std::int64_t steps = 1;
  for (std::size_t later = number + 1, from = number; later < parts.size(); ++later)
    if (parts[later].needs == from) {
      ++steps;
      from = later;
    }
  part.deadline = now + (g.deadline - now) / steps;
  if (guarded_ && spec.within.count() > 0) part.deadline = std::min(part.deadline, now + spec.within);
  ++totals_.asked;
  if (part.deadline <= now) return fall_back(slot, number, now);
  auto& dep = deps_[d];
  if (guarded_) {
    if (failed_lately(part.key, now)) return fall_back(slot, number, now);
    if (dep.outage.out()) {
      if (dep.outage.may_probe(now)) probe(d, part.key, path_, now);
      return fall_back(slot, number, now);
    }
  }
  auto flight = by_key_.find(part.key.low, [&](Slot f) { return flights_[f].key == part.key; });
  // A probe's end nobody waits for: it may take as long as a try ever may.
  if (flight != kNone && flights_[flight].detached) return fall_back(slot, number, now);
  const bool joins = flight != kNone;
  if (joins) {
    ++totals_.shared;
  } else {
    flight = new_flight(d, part.key);
    flights_[flight].path = path_;
  }
  part.flight = flight;
  flights_[flight].waiters.push_back({slot, number});
  set_timer(part.deadline, TimerKind::part, slot, g.generation, number);
  if (!joins && (own || !ask_owner(flight, fresh, now))) launch(flight, now);
}

// One of the fleet asks below and tells the others: guards against a fleet that comes back with empty caches
// and asks for everything once a member. In vain it costs half of the time left at the most.
bool ScatterGather::ask_owner(Slot slot, Duration fresh, TimePoint now) {
  auto& f = flights_[slot];
  const auto& d = deps_[f.dependency];
  if (fresh.count() <= 0) return false;
  const auto owner = owners_.of(fill_key(d.spec.name, f.path), now);
  const auto within = std::min((latest_deadline(f) - now) / 2, d.spec.timeout_most);
  if (!owner || within < kLeastAsked) return false;
  ++totals_.owners_asked;
  // It is told of less time than it has: its answer has a way to go.
  f.asking = {*owner, target_of({owner->life, d.spec.name, f.path, fresh, within - within / 8}), now, true};
  set_timer(now + within, TimerKind::owner, slot, f.generation, kOwnerAttempt);
  actions_.emplace_back(
      StartCall{call_id(slot, kOwnerAttempt), f.dependency, 0, &f.asking.target, &f.asking.owner});
  return true;
}

void ScatterGather::owner_ended(Slot slot, const CallReport& report, TimePoint now) {
  auto& f = flights_[slot];
  f.asking.open = false;
  const auto filled = report.fate == CallFate::ok && report.body ? read_filled(*report.body) : std::nullopt;
  if (filled) {
    ++totals_.owners_answered;
    owners_.answered(f.asking.owner.hash);
    // As of when it was asked, at the worst.
    return answered(slot, std::make_shared<const std::string>(filled->body),
                    filled->age + (now - f.asking.since), now);
  }
  // It is there, and has nothing: only one that does not answer, or not sensibly, is passed over.
  if (report.fate != CallFate::no_data && report.fate != CallFate::busy)
    owners_.failed(f.asking.owner.hash, now);
  owner_failed(slot, now);
}

// The rest of the way alone.
void ScatterGather::owner_failed(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  f.asking.open = false;
  if (deps_[f.dependency].outage.out()) return give_up(slot, now);
  launch(slot, now);
}

void ScatterGather::fall_back(Slot slot, std::uint32_t number, TimePoint now) {
  auto& g = gathers_[slot];
  const auto& spec = what(g).parts[number];
  const auto& key = g.parts[number].key;
  if (spec.stale_for.count() > 0)
    if (const auto kept = cache_.find(key, now); kept && kept->age <= spec.stale_for)
      return settle(slot, number, PartStatus::stale, kept->body, kept->age, now);
  settle(slot, number, spec.fallback ? PartStatus::fallback : PartStatus::absent, nullptr, {}, now);
}

void ScatterGather::settle(Slot slot, std::uint32_t number, PartStatus status, Bytes body, Duration age,
                           TimePoint now) {
  auto& g = gathers_[slot];
  auto& part = g.parts[number];
  if (g.over || part.status != PartStatus::pending) return;
  part.status = status;
  part.flight = kNone;
  part.body = std::move(body);
  part.age = age;
  --g.pending;
  auto& count = status == PartStatus::fresh      ? totals_.fresh
                : status == PartStatus::stale    ? totals_.stale
                : status == PartStatus::fallback ? totals_.fallback
                                                 : totals_.absent;
  ++count;
  const auto& specs = what(g).parts;
  // Guards against core time spent on what can't be whole enough any more.
  if (status == PartStatus::absent && specs[number].required) return finish(slot, false, now);
  for (std::uint32_t next = number + 1; next < g.parts.size() && !g.over; ++next) {
    if (specs[next].needs != number) continue;
    if (status == PartStatus::fresh || status == PartStatus::stale)
      start_part(slot, next, now);
    else
      settle(slot, next, specs[next].fallback ? PartStatus::fallback : PartStatus::absent, nullptr, {}, now);
  }
  if (!g.over && g.pending == 0) finish(slot, true, now);
}

void ScatterGather::finish(Slot slot, bool required_parts_present, TimePoint now) {
  auto& g = gathers_[slot];
  g.over = true;
  for (std::uint32_t p = 0; p < g.parts.size(); ++p) {
    leave(slot, p, now);
    if (g.parts[p].status == PartStatus::pending) g.parts[p].status = PartStatus::absent;
  }
  actions_.emplace_back(GatherEnded{g.id, required_parts_present});
}

// Nothing of this part is waited for any more; a call that nobody waits for is abandoned.
void ScatterGather::leave(Slot slot, std::uint32_t number, TimePoint now) {
  auto& part = gathers_[slot].parts[number];
  const auto flight = std::exchange(part.flight, kNone);
  if (flight == kNone) return;
  auto& f = flights_[flight];
  std::erase_if(f.waiters, [&](const Waiter& w) { return w.gather == slot && w.part == number; });
  if (!f.waiters.empty() || f.detached) return;
  const auto d = f.dependency;
  abandon_attempts(flight);
  free_flight(flight);
  pump(d, now);
}

void ScatterGather::abandon(RequestId id, TimePoint now) {
  const auto slot = find_gather(id);
  if (slot == kNone) return;
  auto& g = gathers_[slot];
  g.over = true;
  for (std::uint32_t p = 0; p < g.parts.size(); ++p) leave(slot, p, now);
  release(id);
}

std::vector<PartValue> ScatterGather::parts(RequestId id) const {
  std::vector<PartValue> values;
  const auto slot = find_gather(id);
  if (slot == kNone) return values;
  const auto& g = gathers_[slot];
  for (std::size_t p = 0; p < g.parts.size(); ++p) {
    const auto& spec = what(g).parts[p];
    auto& v = values.emplace_back(PartValue{spec.name, g.parts[p].status, g.parts[p].age, g.parts[p].body});
    if (v.status == PartStatus::fallback) v.body = std::make_shared<const std::string>(*spec.fallback);
  }
  return values;
}

void ScatterGather::release(RequestId id) {
  const auto slot = find_gather(id);
  if (slot == kNone) return;
  auto& g = gathers_[slot];
  by_request_.erase(hash_of(id), slot);
  ++g.generation;  // timers that still name it mean nothing
  g.loaded.reset();
  for (auto& p : g.parts) p.body.reset();
  free_gathers_.push_back(slot);
}

// ---- Calls ----

ScatterGather::Slot ScatterGather::new_flight(std::uint32_t dependency, const Key& key) {
  if (free_flights_.empty()) {
    flights_.emplace_back();
    free_flights_.push_back(Slot(flights_.size() - 1));
  }
  const Slot slot = free_flights_.back();
  free_flights_.pop_back();
  auto& f = flights_[slot];
  f.dependency = dependency;
  f.state = FlightState::calling;
  f.key = key;
  f.attempts = {};
  f.attempts_made = 0;
  f.detached = false;
  f.only.reset();
  f.used = true;
  f.asking.open = false;
  f.before = f.after = kNone;
  f.waiters.clear();
  by_key_.put(key.low, slot);
  return slot;
}

void ScatterGather::free_flight(Slot slot) {
  auto& f = flights_[slot];
  unqueue(slot);
  by_key_.erase(f.key.low, slot);
  f.used = false;
  ++f.generation;
  f.waiters.clear();
  free_flights_.push_back(slot);
}

// Started at once under the limit, and queued over it while there is room. Guards against a slow dependency
// that takes the connections and the memory of all others.
void ScatterGather::launch(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  if (!guarded_ || (d.open < d.limit.limit() && d.waiting == 0)) return start_attempt(slot, now);
  // Guards against a wait for a slot that can't be free in time: those ahead take turns of a median answer
  // each.
  const auto turns = std::int64_t(d.waiting / std::max(d.limit.limit(), 1u)) + 1;
  const bool in_vain = now + d.latency_summary(now).median * (turns + 1) > latest_deadline(f);
  if (d.waiting >= d.spec.most_waiting || in_vain) {
    ++totals_.shed;
    return give_up(slot, now);
  }
  f.state = FlightState::queued;
  f.before = d.newest;
  (d.newest == kNone ? d.oldest : flights_[d.newest].after) = slot;
  d.newest = slot;
  ++d.waiting;
}

void ScatterGather::unqueue(Slot slot) {
  auto& f = flights_[slot];
  if (f.state != FlightState::queued) return;
  auto& d = deps_[f.dependency];
  (f.before == kNone ? d.oldest : flights_[f.before].after) = f.after;
  (f.after == kNone ? d.newest : flights_[f.after].before) = f.before;
  f.before = f.after = kNone;
  f.state = FlightState::calling;
  --d.waiting;
}

void ScatterGather::pump(std::uint32_t number, TimePoint now) {
  auto& d = deps_[number];
  while (d.oldest != kNone && (d.outage.out() || d.open < d.limit.limit())) {
    const auto slot = d.oldest;
    unqueue(slot);
    if (d.outage.out())
      give_up(slot, now);
    else
      start_attempt(slot, now);
  }
}

TimePoint ScatterGather::latest_deadline(const Flight& f) const {
  TimePoint latest{};
  for (const auto& w : f.waiters) latest = std::max(latest, gathers_[w.gather].parts[w.part].deadline);
  return latest;
}

bool ScatterGather::any_open(const Flight& f) const {
  return std::any_of(f.attempts.begin(), f.attempts.end(), [](const Attempt& t) { return t.open; });
}

CallId ScatterGather::call_id(Slot slot, std::uint32_t number) const {
  return CallId(std::uint64_t(flights_[slot].generation) << (kAttemptBits + kSlotBits) |
                std::uint64_t(slot) << kAttemptBits | number);
}

void ScatterGather::start_attempt(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  std::optional<std::uint32_t> other;
  if (f.attempts_made > 0) other = f.attempts[f.attempts_made - 1].endpoint;
  const auto& summary = d.latency_summary(now);
  const auto left = f.detached ? d.spec.timeout_most : latest_deadline(f) - now;
  // Guards against calls that can't be back in time: they would only take slots from those that can.
  const bool hopeless = !f.detached && (left.count() <= 0 || (guarded_ && left < summary.median));
  const auto endpoint = hopeless ? std::nullopt
                        : f.only ? f.only
                                 : d.endpoints.pick(now, roll(), roll(), other);
  if (!endpoint) {
    if (f.detached) d.outage.probe_lost();
    if (!any_open(f)) give_up(slot, now);
    return;
  }
  auto timeout = d.spec.timeout_most;
  if (summary.high.count() > 0 && !f.detached)
    timeout = std::clamp(Duration(std::llround(double(summary.high.count()) * d.spec.timeout_factor)),
                         d.spec.timeout_least, d.spec.timeout_most);
  timeout = guarded_ ? std::min(timeout, left) : left;
  f.state = FlightState::calling;
  const auto number = f.attempts_made++;
  f.attempts[number] = {*endpoint, true, now, now + timeout};
  d.endpoints.started(*endpoint);
  totals_.most_open = std::max(totals_.most_open, ++d.open);
  ++totals_.calls;
  set_timer(now + timeout, TimerKind::call, slot, f.generation, number);
  actions_.emplace_back(StartCall{call_id(slot, number), f.dependency, *endpoint, &f.path});
  if (!guarded_ || number > 0 || f.detached || summary.hedge.count() == 0 || summary.hedge >= timeout) return;
  set_timer(now + summary.hedge, TimerKind::hedge, slot, f.generation, number);
}

void ScatterGather::end_attempt(Slot slot, std::uint32_t number) {
  auto& f = flights_[slot];
  f.attempts[number].open = false;
  --deps_[f.dependency].open;
}

void ScatterGather::abandon_attempts(Slot slot) {
  auto& f = flights_[slot];
  if (std::exchange(f.asking.open, false)) actions_.emplace_back(AbandonCall{call_id(slot, kOwnerAttempt)});
  for (std::uint32_t t = 0; t < f.attempts_made; ++t) {
    if (!f.attempts[t].open) continue;
    end_attempt(slot, t);
    deps_[f.dependency].endpoints.abandoned(f.attempts[t].endpoint);
    if (f.detached) deps_[f.dependency].outage.probe_lost();
    actions_.emplace_back(AbandonCall{call_id(slot, t)});
  }
}

void ScatterGather::note_success(Dependency& d, std::uint32_t number, TimePoint now) {
  d.budget.succeeded(now);
  const auto since = d.outage.since();
  if (!d.outage.succeeded(now)) return;
  // Back: from one call at once, doubling; all that waits at the door must not fall on it together.
  d.limit.restart();
  d.endpoints.all_back(now);
  actions_.emplace_back(DependencyChanged{number, false, now - since});
}

void ScatterGather::note_failure(std::uint32_t number, TimePoint now) {
  auto& d = deps_[number];
  d.limit.failed();
  if (!d.outage.failed(now, roll())) return;
  ++totals_.outages;
  actions_.emplace_back(DependencyChanged{number, true, {}});
}

void ScatterGather::ended(const CallReport& report, TimePoint now) {
  const auto bits = std::uint64_t(report.id);
  const auto number = std::uint32_t(bits & ((1u << kAttemptBits) - 1));
  const auto slot = Slot(bits >> kAttemptBits & ((1u << kSlotBits) - 1));
  if (number == kOwnerAttempt && slot < flights_.size() && flights_[slot].used &&
      flights_[slot].asking.open && call_id(slot, number) == report.id)
    return owner_ended(slot, report, now);
  // Guards against ends of calls that were given up: their slot may be another call's by now.
  if (slot >= flights_.size() || !flights_[slot].used || number >= flights_[slot].attempts_made ||
      call_id(slot, number) != report.id || !flights_[slot].attempts[number].open) {
    ++totals_.late;
    return;
  }
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  const auto took = std::max(now - f.attempts[number].started, Duration(1));
  if (report.fate != CallFate::ok && report.fate != CallFate::no_data) {
    attempt_failed(slot, number, report.fate, true, report.retry_after, now);
    return;
  }
  const auto open_then = d.open;
  end_attempt(slot, number);
  if (f.only) d.note_probe(*f.only, false, now);
  d.endpoints.succeeded(f.attempts[number].endpoint, took, now);
  d.heard(took, now);
  if (guarded_) {
    d.limit.succeeded(took, open_then);
    note_success(d, f.dependency, now);
  }
  const auto dependency = f.dependency;
  if (report.fate == CallFate::ok) {
    answered(slot, report.body ? report.body : std::make_shared<const std::string>(), {}, now);
  } else {
    remember_failure(f.key, now);
    abandon_attempts(slot);
    give_up(slot, now);
  }
  pump(dependency, now);
}

void ScatterGather::answered(Slot slot, const Bytes& body, Duration age, TimePoint now) {
  abandon_attempts(slot);
  auto& f = flights_[slot];
  cache_.put(f.key, f.dependency, f.path, body, now - age);
  const auto generation = f.generation;
  // Another member's may be too old for some who joined the one that asked: these go on.
  const auto serves = [&](const Waiter& w) {
    return age.count() <= 0 || age <= gathers_[w.gather].parts[w.part].fresh;
  };
  for (;;) {
    if (!f.used || f.generation != generation) return;
    const auto next = std::find_if(f.waiters.rbegin(), f.waiters.rend(), serves);
    if (next == f.waiters.rend()) break;
    const auto w = *next;
    f.waiters.erase(std::next(next).base());
    gathers_[w.gather].parts[w.part].flight = kNone;
    settle(w.gather, w.part, PartStatus::fresh, body, age, now);
  }
  if (!f.waiters.empty()) return owner_failed(slot, now);
  free_flight(slot);
}

void ScatterGather::give_up(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  unqueue(slot);
  const auto generation = f.generation;
  while (f.used && f.generation == generation && !f.waiters.empty()) {
    const auto w = f.waiters.back();
    f.waiters.pop_back();
    gathers_[w.gather].parts[w.part].flight = kNone;
    fall_back(w.gather, w.part, now);
  }
  if (f.used && f.generation == generation) free_flight(slot);
}

void ScatterGather::time_out(Slot slot, std::uint32_t number, TimePoint now) {
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  const auto waited = now - f.attempts[number].started;
  // Guards against blame for a try that was cut short by its caller's budget.
  const bool fair = f.detached || double(waited.count()) >=
                                      kFairAttemptMedians * double(d.latency_summary(now).median.count());
  actions_.emplace_back(AbandonCall{call_id(slot, number)});
  if (fair && guarded_) d.heard(waited, now);  // it takes at least this long
  attempt_failed(slot, number, CallFate::too_long, fair, std::nullopt, now);
}

void ScatterGather::attempt_failed(Slot slot, std::uint32_t number, CallFate fate, bool fair,
                                   std::optional<Duration> retry_after, TimePoint now) {
  auto& f = flights_[slot];
  const auto dependency = f.dependency;
  auto& d = deps_[dependency];
  const auto endpoint = f.attempts[number].endpoint;
  end_attempt(slot, number);
  if (!fair) {
    d.endpoints.abandoned(endpoint);
    if (f.detached) d.outage.probe_lost();
  } else if (fate == CallFate::busy && retry_after && guarded_) {
    // It is well enough to say so: left alone for that long, not counted among the broken.
    d.endpoints.abandoned(endpoint);
    d.endpoints.hold(endpoint, now + std::clamp(*retry_after, Duration{}, d.spec.eject_most));
    if (f.detached) d.outage.probe_lost();
    d.limit.failed();
  } else if (guarded_) {
    d.endpoints.failed(endpoint, now);
    note_failure(dependency, now);
  } else {
    d.endpoints.abandoned(endpoint);
  }
  if (!any_open(f)) after_failure(slot, now);
  pump(dependency, now);
}

void ScatterGather::after_failure(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  const auto most = std::min<std::uint32_t>(d.spec.most_tries, kMaxAttempts);
  if (guarded_ && !f.detached && !f.waiters.empty() && f.attempts_made < most && !d.outage.out()) {
    const auto grown = d.spec.retry_pause * (std::int64_t(1) << std::min(f.attempts_made - 1, 10u));
    const auto pause =
        Duration(std::llround(roll() * double(std::min(grown, d.spec.retry_pause_most).count())));
    if (now + pause + d.latency_summary(now).median < latest_deadline(f) && d.budget.take(now)) {
      ++totals_.retries;
      f.state = FlightState::pausing;
      return set_timer(now + std::max(pause, Duration(1)), TimerKind::retry, slot, f.generation,
                       f.attempts_made);
    }
  }
  if (guarded_) remember_failure(f.key, now);
  give_up(slot, now);
}

// One call at a time while a dependency is out, for which nobody waits: who asked goes on without at once,
// and its answer, should one come, is kept for the next.
void ScatterGather::probe(std::uint32_t dependency, const Key& key, const std::string& path, TimePoint now) {
  if (by_key_.find(key.low, [&](Slot f) { return flights_[f].key == key; }) != kNone) return;
  auto& d = deps_[dependency];
  const auto only = to_probe(d);
  if (fleet_ && !only) return;
  const auto slot = new_flight(dependency, key);
  auto& f = flights_[slot];
  f.path = path;
  f.detached = true;
  f.only = only;
  d.outage.probe_started();
  ++totals_.probes;
  start_attempt(slot, now);
  if (only && f.used && f.attempts_made > 0) d.note_probe(*only, true, now);
}

// First what another has found back, then this one's own in turns.
std::optional<std::uint32_t> ScatterGather::to_probe(Dependency& d) const {
  if (!fleet_) return std::nullopt;
  const auto n = std::uint32_t(d.endpoints.places());
  std::optional<std::uint32_t> mine;
  for (std::uint32_t k = 0; k < n; ++k) {
    const auto i = (d.next_probed + k) % n;
    if (d.endpoints.gone(i)) continue;
    const auto key = d.fleet_keys[i];
    if (membership::told_back(*fleet_, key)) {
      mine = i;
      break;
    }
    if (!mine && membership::probes_itself(*fleet_, key)) mine = i;
  }
  if (mine) d.next_probed = *mine + 1;
  return mine;
}

// An even share for each member that is there. Where it can't be told who is, all that were agreed on count
// as there, and before there is any view one call at a time is all: guards against a fleet that comes back as
// one and falls on what it had emptied, each member with the whole limit.
void ScatterGather::share_limits() {
  std::uint32_t members = 0;
  if (fleet_) {
    const auto there = 1 + std::count_if(fleet_->peers.begin(), fleet_->peers.end(), [](const auto& p) {
                         return p.present == membership::Status::alive;
                       });
    const bool sure = fleet_->majority && !fleet_->uncertain;
    members = std::uint32_t(sure ? there : std::max<std::size_t>(std::size_t(there), fleet_->agreed));
  }
  for (auto& d : deps_) {
    if (d.spec.fleet_open == 0)
      d.limit.cap(~0u);
    else
      d.limit.cap(members > 0 ? d.spec.fleet_open / members : 1);
  }
}

// Other members may be probing it; one of them that has found it back is taken at its word for one try.
void ScatterGather::fleet(std::shared_ptr<const membership::View> view, TimePoint now) {
  fleet_ = std::move(view);
  owners_.see(*fleet_);
  share_limits();
  for (std::uint32_t d = 0; d < deps_.size(); ++d) pump(d, now);
  for (auto& d : deps_)
    for (std::uint32_t i = 0; d.outage.out() && i < d.endpoints.places(); ++i)
      if (!d.endpoints.gone(i) && membership::told_back(*fleet_, d.fleet_keys[i])) d.outage.probe_now(now);
}

std::vector<membership::Finding> ScatterGather::findings(TimePoint now) const {
  std::vector<membership::Finding> found;
  if (!fleet_) return found;
  for (const auto& d : deps_)
    for (const auto& p : d.probed)
      // Guards against others that wait for this one's probes of what it no longer holds for out.
      if ((!p.out || d.outage.out()) && now - p.at < 4 * d.spec.probe_most &&
          found.size() < membership::kMostFindings)
        found.push_back({p.key, p.out});
  return found;
}

void ScatterGather::export_to(learned::Learned& to, TimePoint now) const {
  for (const auto& d : deps_)
    for (std::uint32_t i = 0; i < d.endpoints.places(); ++i)
      if (const auto k = d.endpoints.known(i, now)) {
        const auto& a = d.endpoints.address(i);
        to.endpoints.push_back(
            {d.spec.name, a.host, a.port, k->out_for, k->times_out, k->latency, k->heard_ago});
      }
  std::size_t bytes = 0;
  for (const auto& hot : cache_.hottest(kHotLooked)) {
    learned::Part part{deps_[hot.dependency].spec.name, *hot.path, hot.body,
                       std::max(now - hot.stored, Duration{})};
    if (!learned::fits(part) || part.age >= cached_for(hot.dependency)) continue;
    bytes += learned::bytes_of(part);
    if (bytes > learned::kMostPartBytes || to.parts.size() >= learned::kMostParts) break;
    to.parts.push_back(std::move(part));
  }
}

Duration ScatterGather::cached_for(std::uint32_t dependency) const {
  Duration longest{};
  for (const auto& g : loaded_->spec->gathers)
    for (const auto& p : g.parts)
      if (loaded_->dependency[p.dependency] == dependency)
        longest = std::max({longest, p.fresh_for, p.stale_for});
  return longest;
}

ScatterGather::Used ScatterGather::learn(const learned::Learned& from, TimePoint now) {
  Used used;
  // The hottest last, so that it is the newest here too.
  for (auto p = from.parts.rbegin(); p != from.parts.rend(); ++p)
    for (std::uint32_t d = 0; d < deps_.size(); ++d) {
      if (deps_[d].spec.name != p->dependency || p->age < Duration{} || p->age >= cached_for(d)) continue;
      const auto key = key_of(d, p->path, hash_seed_);
      const auto at = now - p->age;
      if (const auto own = cache_.stored(key); own && *own >= at) continue;
      cache_.put(key, d, p->path, p->body, at);
      ++used.parts;
    }
  for (const auto& e : from.endpoints)
    for (auto& d : deps_) {
      if (d.spec.name != e.dependency) continue;
      for (std::uint32_t i = 0; i < d.endpoints.places(); ++i)
        if (d.endpoints.address(i) == EndpointSpec{e.host, e.port})
          used.endpoints += d.endpoints.learn(i, {e.out_for, e.latency, e.heard_ago, e.times_out}, now);
    }
  return used;
}

bool ScatterGather::failed_lately(const Key& key, TimePoint now) const {
  const auto& f = failures_[std::size_t(key.low % kFailures)];
  return f.key == key && now < f.until;
}

void ScatterGather::remember_failure(const Key& key, TimePoint now) {
  failures_[std::size_t(key.low % kFailures)] = {key, now + loaded_->spec->remember_failures};
}

// ---- Timers ----

void ScatterGather::set_timer(TimePoint at, TimerKind kind, Slot slot, std::uint32_t generation,
                              std::uint32_t number) {
  timers_.push_back({at, timer_order_++, kind, slot, generation, number});
  std::push_heap(timers_.begin(), timers_.end(), std::greater<>());
}

bool ScatterGather::stands(const Timer& t) const {
  switch (t.kind) {
    case TimerKind::part:
      return gathers_[t.slot].generation == t.generation && gathers_[t.slot].parts[t.number].flight != kNone;
    case TimerKind::call:
      return flights_[t.slot].generation == t.generation && flights_[t.slot].attempts[t.number].open;
    case TimerKind::hedge:
      return flights_[t.slot].generation == t.generation && flights_[t.slot].attempts[t.number].open &&
             flights_[t.slot].attempts_made == t.number + 1;
    case TimerKind::retry:
      return flights_[t.slot].generation == t.generation && flights_[t.slot].state == FlightState::pausing;
    case TimerKind::owner:
      return flights_[t.slot].generation == t.generation && flights_[t.slot].asking.open;
  }
  return false;
}

std::optional<TimePoint> ScatterGather::next_timer() {
  while (!timers_.empty() && !stands(timers_.front())) {
    std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
    timers_.pop_back();
  }
  if (timers_.empty()) return std::nullopt;
  return timers_.front().at;
}

void ScatterGather::tick(TimePoint now) {
  while (!timers_.empty() && timers_.front().at <= now) {
    const auto timer = timers_.front();
    std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
    timers_.pop_back();
    if (stands(timer)) fire(timer, now);
  }
}

void ScatterGather::fire(const Timer& t, TimePoint now) {
  switch (t.kind) {
    case TimerKind::part: {
      // A try whose time is over at the same moment is told of first, or the budget's end would hide that the
      // dependency hangs.
      const auto flight = gathers_[t.slot].parts[t.number].flight;
      const auto generation = flights_[flight].generation;
      for (std::uint32_t i = 0;
           flights_[flight].generation == generation && i < flights_[flight].attempts_made; ++i)
        if (flights_[flight].attempts[i].open && flights_[flight].attempts[i].until <= now)
          time_out(flight, i, now);
      if (gathers_[t.slot].generation != t.generation || gathers_[t.slot].parts[t.number].flight == kNone)
        return;
      leave(t.slot, t.number, now);
      return fall_back(t.slot, t.number, now);
    }
    case TimerKind::call:
      return time_out(t.slot, t.number, now);
    case TimerKind::owner:
      actions_.emplace_back(AbandonCall{call_id(t.slot, kOwnerAttempt)});
      owners_.failed(flights_[t.slot].asking.owner.hash, now);
      return owner_failed(t.slot, now);
    case TimerKind::hedge: {
      auto& d = deps_[flights_[t.slot].dependency];
      // In the same budget as retries, and never past the limit: a hedge is a luxury.
      if (d.outage.out() || d.waiting > 0 || d.open >= d.limit.limit() || d.spec.most_tries < 2 ||
          !d.budget.take(now))
        return;
      ++totals_.hedges;
      return start_attempt(t.slot, now);
    }
    case TimerKind::retry: {
      auto& d = deps_[flights_[t.slot].dependency];
      if (d.outage.out()) return give_up(t.slot, now);
      return launch(t.slot, now);
    }
  }
}

}  // namespace granitegap::deps
