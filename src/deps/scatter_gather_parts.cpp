// ScatterGather, gathers: beginning a request's gather, resolving each part (cache, shared call, key owner,
// fall-back), settling parts and ending the gather; abandon, parts and release.
#include <algorithm>
#include <cmath>

#include "deps/scatter_gather.h"
#include "deps/scatter_gather_detail.h"

namespace granitegap::deps {
namespace {

constexpr Duration kMinAsked = std::chrono::milliseconds(5);  // under it another member is not asked

using detail::hash_of;

}  // namespace

// ---- Gathers ----

void ScatterGather::begin(RequestId id, ClassId cls, const RequestAttributes& attributes, Duration budget,
                          bool may_call, TimePoint now) {
  if (!has_gather(cls) || find_gather(id) != kNone) return;
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
    if (!spec.parts[p].depends_on) start_part(slot, p, now);
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

bool ScatterGather::begin_cache_fill(RequestId id, const CacheFillRequest& q, TimePoint now) {
  const auto& declared = loaded_->spec->dependencies;
  const auto d = std::find_if(declared.begin(), declared.end(),
                              [&](const auto& spec) { return spec.name == q.dependency; });
  if (d == declared.end() || !d->fleet_cache_fill || !guarded_ || find_gather(id) != kNone) return false;
  ++counters_.cache_fills;
  const auto which = std::size_t(d - declared.begin());
  const Slot slot = new_gather(id, loaded_->fills, which);
  auto& g = gathers_[slot];
  g.began = now;
  g.deadline = now + std::clamp(q.timeout, Duration{}, d->max_timeout);
  g.may_call = true;
  g.parts[0].begun = true;
  path_ = q.path;
  seek(slot, 0, g.loaded->dependency[which], q.max_age, true, now);
  return true;
}

void ScatterGather::start_part(Slot slot, std::uint32_t number, TimePoint now) {
  auto& g = gathers_[slot];
  auto& part = g.parts[number];
  const auto& spec = what(g).parts[number];
  part.begun = true;
  PathVariables attributes{g.obj, g.body, g.cls, {}};
  if (spec.depends_on)
    if (const auto& needed = g.parts[*spec.depends_on].body) attributes.needed = *needed;
  path_.clear();
  const auto d = g.loaded->dependency[spec.dependency];
  if (!g.loaded->paths[g.which][number].expand(attributes, path_) || path_.empty())
    return settle(slot, number, spec.fallback ? PartStatus::fallback : PartStatus::absent, nullptr, {}, now);
  seek(slot, number, d, spec.max_fresh_age, !guarded_ || !deps_[d].spec.fleet_cache_fill, now);
}

void ScatterGather::seek(Slot slot, std::uint32_t number, std::uint32_t d, Duration fresh, bool own,
                         TimePoint now) {
  auto& g = gathers_[slot];
  auto& part = g.parts[number];
  const auto& spec = what(g).parts[number];
  part.key = cache_key(d, path_, hash_seed_);
  part.fresh = fresh;
  if (const auto kept = cache_.find(part.key, now); kept && kept->age <= fresh && fresh.count() > 0)
    return settle(slot, number, PartStatus::fresh, kept->body, kept->age, now);
  if (!g.may_call) return fall_back(slot, number, now);

  // What others of the same gather need first leaves time for them: an even share of what is left for each
  // step of the longest chain from here on.
  const auto& parts = what(g).parts;
  std::int64_t steps = 1;
  for (std::size_t later = number + 1, from = number; later < parts.size(); ++later)
    if (parts[later].depends_on == from) {
      ++steps;
      from = later;
    }
  part.deadline = now + (g.deadline - now) / steps;
  if (guarded_ && spec.timeout.count() > 0) part.deadline = std::min(part.deadline, now + spec.timeout);
  ++counters_.parts_needing_call;
  if (part.deadline <= now) return fall_back(slot, number, now);
  auto& dep = deps_[d];
  if (guarded_) {
    if (failed_lately(part.key, now)) return fall_back(slot, number, now);
    if (dep.circuit.is_open()) {
      if (dep.circuit.may_probe(now)) probe(d, part.key, path_, now);
      return fall_back(slot, number, now);
    }
  }
  auto flight = by_key_.find(part.key.low, [&](Slot f) { return flights_[f].key == part.key; });
  // A probe's end nobody waits for: it may take as long as a try ever may.
  if (flight != kNone && flights_[flight].detached) return fall_back(slot, number, now);
  const bool joins = flight != kNone;
  if (joins) {
    ++counters_.coalesced;
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
  const auto owner = owners_.owner_of(cache_fill_key(d.spec.name, f.path), now);
  const auto within = std::min((latest_deadline(f) - now) / 2, d.spec.max_timeout);
  if (!owner || within < kMinAsked) return false;
  ++counters_.owner_requests;
  // It is told of less time than it has: its answer has a way to go.
  f.asking = {*owner, to_request_target({owner->boot_id, d.spec.name, f.path, fresh, within - within / 8}),
              now, true};
  set_timer(now + within, TimerKind::owner, slot, f.generation, kOwnerAttempt);
  actions_.emplace_back(
      StartCall{call_id(slot, kOwnerAttempt), f.dependency, 0, &f.asking.target, &f.asking.owner});
  return true;
}

void ScatterGather::owner_ended(Slot slot, const CallCompletion& report, TimePoint now) {
  auto& f = flights_[slot];
  f.asking.open = false;
  const auto filled =
      report.outcome == CallOutcome::ok && report.body ? parse_fill_body(*report.body) : std::nullopt;
  if (filled) {
    ++counters_.owner_hits;
    owners_.on_success(f.asking.owner.member_hash);
    // As of when it was asked, at the worst.
    return answered(slot, std::make_shared<const std::string>(filled->body),
                    filled->age + (now - f.asking.since), now);
  }
  // It is there, and has nothing: only one that does not answer, or not sensibly, is passed over.
  if (report.outcome != CallOutcome::not_found && report.outcome != CallOutcome::overloaded)
    owners_.on_failure(f.asking.owner.member_hash, now);
  owner_failed(slot, now);
}

// The rest of the way alone.
void ScatterGather::owner_failed(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  f.asking.open = false;
  if (deps_[f.dependency].circuit.is_open()) return give_up(slot, now);
  launch(slot, now);
}

void ScatterGather::fall_back(Slot slot, std::uint32_t number, TimePoint now) {
  auto& g = gathers_[slot];
  const auto& spec = what(g).parts[number];
  const auto& key = g.parts[number].key;
  if (spec.max_stale_age.count() > 0)
    if (const auto kept = cache_.find(key, now); kept && kept->age <= spec.max_stale_age)
      return settle(slot, number, PartStatus::stale, kept->body, kept->age, now);
  settle(slot, number, spec.fallback ? PartStatus::fallback : PartStatus::absent, nullptr, {}, now);
}

void ScatterGather::settle(Slot slot, std::uint32_t number, PartStatus status, SharedBody body, Duration age,
                           TimePoint now) {
  auto& g = gathers_[slot];
  auto& part = g.parts[number];
  if (g.over || part.status != PartStatus::pending) return;
  part.status = status;
  part.flight = kNone;
  part.body = std::move(body);
  part.age = age;
  --g.pending;
  auto& count = status == PartStatus::fresh      ? counters_.fresh
                : status == PartStatus::stale    ? counters_.stale
                : status == PartStatus::fallback ? counters_.fallback
                                                 : counters_.absent;
  ++count;
  const auto& specs = what(g).parts;
  // Guards against core time spent on what can't be whole enough any more.
  if (status == PartStatus::absent && specs[number].required) return finish(slot, false, now);
  for (std::uint32_t next = number + 1; next < g.parts.size() && !g.over; ++next) {
    if (specs[next].depends_on != number) continue;
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

void ScatterGather::cancel(RequestId id, TimePoint now) {
  const auto slot = find_gather(id);
  if (slot == kNone) return;
  auto& g = gathers_[slot];
  g.over = true;
  for (std::uint32_t p = 0; p < g.parts.size(); ++p) leave(slot, p, now);
  release(id);
}

std::vector<PartResult> ScatterGather::parts(RequestId id) const {
  std::vector<PartResult> values;
  const auto slot = find_gather(id);
  if (slot == kNone) return values;
  const auto& g = gathers_[slot];
  for (std::size_t p = 0; p < g.parts.size(); ++p) {
    const auto& spec = what(g).parts[p];
    auto& v = values.emplace_back(PartResult{spec.name, g.parts[p].status, g.parts[p].age, g.parts[p].body});
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

}  // namespace granitegap::deps
