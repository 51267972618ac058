// Tracks which stream identifiers a connection has used.
#pragma once
#include <cstddef>
#include <cstdint>
#include <set>

namespace granitegap::frames {

// Stores a watermark, up to which all identifiers count as used, and a bounded number of used identifiers
// above it. Its size therefore does not grow with the connection's lifetime.
class StreamIdTracker {
 public:
  // Marks `stream` as used. Returns false if it was used before, or is so far behind the newest identifiers
  // that this is no longer known.
  [[nodiscard]] bool mark_used(std::uint32_t stream);

 private:
  static constexpr std::size_t kMaxOutOfOrder = 64;
  std::uint32_t all_used_up_to_ = 0;
  std::set<std::uint32_t> used_above_;
};

}  // namespace granitegap::frames
