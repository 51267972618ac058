// Which request with an idempotency key is a retry of which other.
#include "edge/idempotency_table.h"

#include <doctest/doctest.h>

#include "edge/edge.h"

namespace granitegap {
namespace {

using namespace std::chrono_literals;
using edge::IdempotencyTable;

edge::Request keyed(std::string rid, Duration reached, std::string body = "b") {
  edge::Request r;
  r.rid = std::move(rid);
  r.idempotency_key = "t";
  r.arrived_at = edge::UnixTime(reached);
  r.memory = MemorySize(20000);
  r.body = std::move(body);
  return r;
}

// The window counts from the arrival of the attempt that ran; otherwise a write could run twice.
TEST_CASE(
    "idempotency table: a run covers retries that arrived within its window, however late they are read") {
  IdempotencyTable keys({{8949ms, 3s}});
  const auto first = keyed("1", 10s);
  CHECK_FALSE(keys.add_attempt(first, RequestId{1}, 1));
  CHECK_FALSE(keys.run_within_window(first));
  keys.record_start(first, RequestId{1});
  keys.record_end(first, RequestId{1}, IdempotencyTable::RunState::failed, nullptr);
  keys.expire(edge::UnixTime(20s));
  CHECK(keys.run_within_window(keyed("2", 10s + 8949ms + 50ms)));
  CHECK_FALSE(keys.run_within_window(keyed("3", 10s + 8949ms + 1001ms)));
  keys.expire(edge::UnixTime(30s));
  CHECK(keys.size() == 0);
}

TEST_CASE("idempotency table: retries are linked to a kept result, or to a request of the same batch") {
  IdempotencyTable keys({{8949ms, 3s}});
  const auto one = keyed("1", 0s), two = keyed("2", 1ms), three = keyed("3", 2ms), four = keyed("4", 12s);
  CHECK_FALSE(keys.add_attempt(one, RequestId{1}, 1));
  CHECK(keys.add_attempt(two, RequestId{2}, 1) == RequestId{1});
  CHECK_FALSE(keys.add_attempt(three, RequestId{3}, 2));
  keys.remember(one, RequestId{1}, edge::UnixTime(9s));
  CHECK(keys.add_attempt(three, RequestId{3}, 3) == RequestId{1});
  CHECK_FALSE(keys.add_attempt(four, RequestId{4}, 4));
  keys.forget(one, RequestId{1});
  for (unsigned id = 1; id <= 4; ++id) keys.remove_queued(one, RequestId{id});
  CHECK(keys.size() == 0);
}

}  // namespace
}  // namespace granitegap
