#include "edge/idempotency_table.h"

#include <algorithm>
#include <functional>

namespace granitegap::edge {
namespace {

// A try is stamped in whole milliseconds and its window is judged 50 ms wider; the rest is for the time
// between its writing and its reading here. Guards against running what was written inside the window.
constexpr Duration kWindowMargin = std::chrono::seconds(1);

}  // namespace

IdempotencyTable::Key* IdempotencyTable::find(const Request& request) {
  const auto it = keys_.find({request.cls, request.token});
  return it == keys_.end() ? nullptr : &it->second;
}
const IdempotencyTable::Key* IdempotencyTable::find(const Request& request) const {
  const auto it = keys_.find({request.cls, request.token});
  return it == keys_.end() ? nullptr : &it->second;
}

bool IdempotencyTable::other_body(const Request& request) const {
  const auto* key = request.token.empty() ? nullptr : find(request);
  return key && key->body != std::hash<std::string>{}(request.body);
}

std::optional<RequestId> IdempotencyTable::arrive(const Request& request, RequestId id, std::uint64_t batch) {
  if (request.token.empty()) return std::nullopt;
  auto& key = keys_[{request.cls, request.token}];
  key.body = std::hash<std::string>{}(request.body);
  std::optional<RequestId> same;
  if (key.entry && request.reached <= key.entry->until) {
    const auto holder = key.entry->holder;
    const bool held = std::any_of(key.held.begin(), key.held.end(), [&](auto& h) { return h.id == holder; });
    if (held || key.run) same = holder;
  } else if (key.run && request.reached <= key.run->reached + rules(request.cls).window) {
    same = key.run->by;
  }
  if (!same)
    for (const auto& h : key.held)
      if (h.batch == batch && !same) same = h.id;
  key.held.push_back({id, batch});
  return same;
}

void IdempotencyTable::keep(const Request& request, RequestId id, UnixTime until) {
  if (request.token.empty()) return;
  keys_[{request.cls, request.token}].entry = Entry{id, until};
}

void IdempotencyTable::forget(const Request& request, RequestId id) {
  if (auto* key = find(request); key && key->entry && key->entry->holder == id) key->entry.reset();
}

void IdempotencyTable::leave_hold(const Request& request, RequestId id) {
  auto* key = find(request);
  if (!key) return;
  std::erase_if(key->held, [&](const auto& h) { return h.id == id; });
  if (key->held.empty() && !key->entry && !key->run) keys_.erase({request.cls, request.token});
}

void IdempotencyTable::started(const Request& request, RequestId id) {
  if (request.token.empty()) return;
  auto& key = keys_[{request.cls, request.token}];
  key.run = Run{id, request.reached, RunState::going, nullptr};
  std::erase_if(key.held, [&](const auto& h) { return h.id == id; });
}

void IdempotencyTable::ended(const Request& request, RequestId id, RunState state, Result result) {
  auto* key = find(request);
  if (!key || !key->run || key->run->by != id) return;
  key->run->state = state;
  key->run->result = std::move(result);
}

void IdempotencyTable::never_ran(const Request& request, RequestId id) {
  if (auto* key = find(request); key && key->run && key->run->by == id) key->run.reset();
}

const IdempotencyTable::Run* IdempotencyTable::any_run(const Request& request) const {
  const auto* key = find(request);
  return key && key->run ? &*key->run : nullptr;
}

Duration IdempotencyTable::span(ClassId cls) const { return rules(cls).window + kWindowMargin; }

const IdempotencyTable::Run* IdempotencyTable::covering_run(const Request& request) const {
  const auto* run = any_run(request);
  return run && request.reached <= run->reached + span(request.cls) ? run : nullptr;
}

void IdempotencyTable::sweep(UnixTime now) {
  for (auto it = keys_.begin(); it != keys_.end();) {
    auto& [name, key] = *it;
    const auto& rule = rules(name.first);
    if (key.entry && key.entry->until + rule.linger < now) key.entry.reset();
    if (key.run && key.run->state != RunState::going && !key.entry &&
        key.run->reached + rule.window + kWindowMargin + rule.linger < now)
      key.run.reset();
    it = !key.entry && !key.run && key.held.empty() ? keys_.erase(it) : std::next(it);
  }
}

}  // namespace granitegap::edge
