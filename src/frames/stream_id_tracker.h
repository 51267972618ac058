// Which stream identifiers a connection has carried already.
#pragma once
#include <cstddef>
#include <cstdint>
#include <set>

namespace granitegap::frames {

// Keeps a watermark and the few identifiers above it, so that its size does not grow with the connection's
// life.
class StreamIdTracker {
 public:
  // Marks `stream` as used. False if it was used before, or lies so far behind the newest ones that this is
  // no longer known.
  [[nodiscard]] bool mark_used(std::uint32_t stream);

 private:
  static constexpr std::size_t kMaxOutOfOrder = 64;
  std::uint32_t all_used_up_to_ = 0;
  std::set<std::uint32_t> used_above_;
};

}  // namespace granitegap::frames
