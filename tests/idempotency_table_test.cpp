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
  r.token = "t";
  r.reached = edge::UnixTime(reached);
  r.memory = MemorySize(20000);
  r.body = std::move(body);
  return r;
}

// The window counts from the arrival of the attempt that ran; otherwise a write could run twice.
TEST_CASE(
    "idempotency table: a run covers retries that arrived within its window, however late they are read") {
  IdempotencyTable keys({{8949ms, 3s}});
  const auto first = keyed("1", 10s);
  CHECK_FALSE(keys.arrive(first, RequestId{1}, 1));
  CHECK_FALSE(keys.covering_run(first));
  keys.started(first, RequestId{1});
  keys.ended(first, RequestId{1}, IdempotencyTable::RunState::bad, nullptr);
  keys.sweep(edge::UnixTime(20s));
  CHECK(keys.covering_run(keyed("2", 10s + 8949ms + 50ms)));
  CHECK_FALSE(keys.covering_run(keyed("3", 10s + 8949ms + 1001ms)));
  keys.sweep(edge::UnixTime(30s));
  CHECK(keys.size() == 0);
}

TEST_CASE("idempotency table: retries are linked to a kept result, or to a request of the same batch") {
  IdempotencyTable keys({{8949ms, 3s}});
  const auto one = keyed("1", 0s), two = keyed("2", 1ms), three = keyed("3", 2ms), four = keyed("4", 12s);
  CHECK_FALSE(keys.arrive(one, RequestId{1}, 1));
  CHECK(keys.arrive(two, RequestId{2}, 1) == RequestId{1});
  CHECK_FALSE(keys.arrive(three, RequestId{3}, 2));
  keys.keep(one, RequestId{1}, edge::UnixTime(9s));
  CHECK(keys.arrive(three, RequestId{3}, 3) == RequestId{1});
  CHECK_FALSE(keys.arrive(four, RequestId{4}, 4));
  keys.forget(one, RequestId{1});
  for (unsigned id = 1; id <= 4; ++id) keys.leave_hold(one, RequestId{id});
  CHECK(keys.size() == 0);
}

}  // namespace
}  // namespace granitegap
