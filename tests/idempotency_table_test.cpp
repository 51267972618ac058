// Tests of IdempotencyTable: duplicate detection and the idempotency window.
#include "edge/idempotency_table.h"

#include <doctest/doctest.h>

#include "edge/edge.h"

namespace granitegap {
namespace {

using namespace std::chrono_literals;
using edge::IdempotencyTable;

edge::Request keyed_request(std::string rid, Duration arrived_at, std::string body = "b") {
  edge::Request request;
  request.rid = std::move(rid);
  request.idempotency_key = "t";
  request.arrived_at = edge::UnixTime(arrived_at);
  request.memory = MemorySize(20000);
  request.body = std::move(body);
  return request;
}

// The window starts at the arrival of the attempt that ran, not at its end or at the reading of a retry. A
// window counted from another moment would let a write run twice.
TEST_CASE(
    "idempotency table: a run covers retries that arrived within its window, however late they are read") {
  IdempotencyTable keys({{8949ms, 3s}});
  const auto first = keyed_request("1", 10s);
  CHECK_FALSE(keys.add_attempt(first, RequestId{1}, 1));
  CHECK_FALSE(keys.run_within_window(first));
  keys.record_start(first, RequestId{1});
  keys.record_end(first, RequestId{1}, IdempotencyTable::RunState::failed, nullptr);
  keys.expire(edge::UnixTime(20s));
  CHECK(keys.run_within_window(keyed_request("2", 10s + 8949ms + 50ms)));
  CHECK_FALSE(keys.run_within_window(keyed_request("3", 10s + 8949ms + 1001ms)));
  keys.expire(edge::UnixTime(30s));
  CHECK(keys.size() == 0);
}

TEST_CASE("idempotency table: retries are linked to a cached result, or to a request of the same batch") {
  IdempotencyTable keys({{8949ms, 3s}});
  const auto one = keyed_request("1", 0s), two = keyed_request("2", 1ms), three = keyed_request("3", 2ms),
             four = keyed_request("4", 12s);
  CHECK_FALSE(keys.add_attempt(one, RequestId{1}, 1));
  CHECK(keys.add_attempt(two, RequestId{2}, 1) == RequestId{1});
  CHECK_FALSE(keys.add_attempt(three, RequestId{3}, 2));
  keys.cache_result(one, RequestId{1}, edge::UnixTime(9s));
  CHECK(keys.add_attempt(three, RequestId{3}, 3) == RequestId{1});
  CHECK_FALSE(keys.add_attempt(four, RequestId{4}, 4));
  keys.evict_result(one, RequestId{1});
  for (unsigned id = 1; id <= 4; ++id) keys.remove_queued(one, RequestId{id});
  CHECK(keys.size() == 0);
}

}  // namespace
}  // namespace granitegap
