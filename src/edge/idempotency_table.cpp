#include "edge/idempotency_table.h"

#include <algorithm>
#include <functional>

namespace granitegap::edge {
namespace {

// Added to the idempotency window so that no attempt written within the window runs a second time. Arrival
// stamps are in whole milliseconds, and attempts up to 50 ms after the window still count as within it; the
// rest of the margin covers the time between the writing and the reading of an attempt.
constexpr Duration kWindowMargin = std::chrono::seconds(1);

std::size_t hash_body(const std::string& body) { return std::hash<std::string>{}(body); }

}  // namespace

bool IdempotencyTable::is_unused(const Entry& entry) {
  return entry.queued.empty() && !entry.cached_result && !entry.run;
}

IdempotencyTable::Entry* IdempotencyTable::find(const Request& request) {
  const auto it = keys_.find({request.cls, request.idempotency_key});
  return it == keys_.end() ? nullptr : &it->second;
}

const IdempotencyTable::Entry* IdempotencyTable::find(const Request& request) const {
  const auto it = keys_.find({request.cls, request.idempotency_key});
  return it == keys_.end() ? nullptr : &it->second;
}

bool IdempotencyTable::has_different_body(const Request& request) const {
  if (request.idempotency_key.empty()) return false;
  const auto* entry = find(request);
  return entry && entry->body_hash != hash_body(request.body);
}

std::optional<RequestId> IdempotencyTable::add_attempt(const Request& request, RequestId id,
                                                       std::uint64_t batch) {
  if (request.idempotency_key.empty()) return std::nullopt;
  auto& entry = keys_[{request.cls, request.idempotency_key}];
  entry.body_hash = hash_body(request.body);
  std::optional<RequestId> original;
  if (entry.cached_result && request.arrived_at <= entry.cached_result->until) {
    const auto attempt = entry.cached_result->attempt;
    const bool original_is_queued =
        std::any_of(entry.queued.begin(), entry.queued.end(),
                    [&](const QueuedAttempt& queued) { return queued.id == attempt; });
    if (original_is_queued || entry.run) original = attempt;
  } else if (entry.run && request.arrived_at <= entry.run->arrived_at + rules(request.cls).window) {
    original = entry.run->attempt;
  }
  if (!original) {
    const auto same_batch = std::find_if(entry.queued.begin(), entry.queued.end(),
                                         [&](const QueuedAttempt& queued) { return queued.batch == batch; });
    if (same_batch != entry.queued.end()) original = same_batch->id;
  }
  entry.queued.push_back({id, batch});
  return original;
}

void IdempotencyTable::cache_result(const Request& request, RequestId id, UnixTime until) {
  if (request.idempotency_key.empty()) return;
  keys_[{request.cls, request.idempotency_key}].cached_result = CachedResult{id, until};
}

void IdempotencyTable::evict_result(const Request& request, RequestId id) {
  auto* entry = find(request);
  if (entry && entry->cached_result && entry->cached_result->attempt == id) entry->cached_result.reset();
}

void IdempotencyTable::remove_queued(const Request& request, RequestId id) {
  auto* entry = find(request);
  if (!entry) return;
  std::erase_if(entry->queued, [&](const QueuedAttempt& queued) { return queued.id == id; });
  if (is_unused(*entry)) keys_.erase({request.cls, request.idempotency_key});
}

void IdempotencyTable::record_start(const Request& request, RequestId id) {
  if (request.idempotency_key.empty()) return;
  auto& entry = keys_[{request.cls, request.idempotency_key}];
  entry.run = Run{id, request.arrived_at, RunState::running, nullptr};
  std::erase_if(entry.queued, [&](const QueuedAttempt& queued) { return queued.id == id; });
}

void IdempotencyTable::record_end(const Request& request, RequestId id, RunState state, PayloadPtr payload) {
  auto* entry = find(request);
  if (!entry || !entry->run || entry->run->attempt != id) return;
  entry->run->state = state;
  entry->run->payload = std::move(payload);
}

void IdempotencyTable::discard_run(const Request& request, RequestId id) {
  auto* entry = find(request);
  if (entry && entry->run && entry->run->attempt == id) entry->run.reset();
}

const IdempotencyTable::Run* IdempotencyTable::find_run(const Request& request) const {
  const auto* entry = find(request);
  return entry && entry->run ? &*entry->run : nullptr;
}

Duration IdempotencyTable::retention(ClassId cls) const { return rules(cls).window + kWindowMargin; }

const IdempotencyTable::Run* IdempotencyTable::run_within_window(const Request& request) const {
  const auto* run = find_run(request);
  return run && request.arrived_at <= run->arrived_at + retention(request.cls) ? run : nullptr;
}

void IdempotencyTable::expire(UnixTime now) {
  for (auto it = keys_.begin(); it != keys_.end();) {
    auto& [key, entry] = *it;
    const auto& rule = rules(key.first);
    if (entry.cached_result && entry.cached_result->until + rule.max_read_delay < now)
      entry.cached_result.reset();
    const bool run_is_over = entry.run && entry.run->state != RunState::running;
    if (run_is_over && !entry.cached_result &&
        entry.run->arrived_at + rule.window + kWindowMargin + rule.max_read_delay < now)
      entry.run.reset();
    it = is_unused(entry) ? keys_.erase(it) : std::next(it);
  }
}

}  // namespace granitegap::edge
