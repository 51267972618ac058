// Detection of reused stream identifiers on a connection.
#include "frames/stream_id_tracker.h"

#include <doctest/doctest.h>

namespace granitegap {
namespace {

TEST_CASE("stream ids: each identifier is accepted once, in any order, unless it is too far behind") {
  frames::StreamIdTracker used;
  for (const std::uint32_t stream : {1, 3, 2, 7}) CHECK(used.mark_used(stream));
  for (const std::uint32_t stream : {1, 2, 3, 7, 0}) CHECK_FALSE(used.mark_used(stream));
  for (std::uint32_t stream = 1001; stream < 3000; stream += 2) CHECK(used.mark_used(stream));
  CHECK(used.mark_used(2998));
  CHECK_FALSE(used.mark_used(1000));  // too far behind
  CHECK_FALSE(used.mark_used(2999));
}

}  // namespace
}  // namespace granitegap
