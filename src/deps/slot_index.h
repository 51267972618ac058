// Finds slots of a slab by hash: open addressing, linear probing, deletion by shifting back. It allocates
// only when it grows, and never shrinks.
#pragma once
#include <cstdint>
#include <vector>

namespace granitegap::deps {

inline std::uint64_t mix_bits(std::uint64_t x) {
  x ^= x >> 32;
  x *= 0x9e3779b97f4a7c15u;
  return x ^ x >> 29;
}

class SlotIndex {
 public:
  using Slot = std::uint32_t;
  static constexpr Slot kNone = ~Slot(0);

  // `is(slot)`: whether that slot is the one meant; asked only where the whole hash agrees.
  template <class Is>
  Slot find(std::uint64_t hash, Is is) const {
    for (auto at = home(hash); cells_[at].slot != kNone; at = (at + 1) & mask())
      if (cells_[at].hash == hash && is(cells_[at].slot)) return cells_[at].slot;
    return kNone;
  }
  void put(std::uint64_t hash, Slot slot) {
    if ((size_ + 1) * 2 > cells_.size()) grow();
    place({hash, slot});
    ++size_;
  }
  void erase(std::uint64_t hash, Slot slot) {
    auto at = home(hash);
    while (cells_[at].slot != kNone && cells_[at].slot != slot) at = (at + 1) & mask();
    if (cells_[at].slot == kNone) return;
    --size_;
    for (auto next = (at + 1) & mask(); cells_[next].slot != kNone; next = (next + 1) & mask()) {
      // One that stands between its home and the hole stays: moved, it could not be found.
      if (((next - home(cells_[next].hash)) & mask()) < ((next - at) & mask())) continue;
      cells_[at] = cells_[next];
      at = next;
    }
    cells_[at] = {};
  }
  std::size_t size() const { return size_; }

 private:
  struct Cell {
    std::uint64_t hash = 0;
    Slot slot = kNone;
  };
  std::size_t mask() const { return cells_.size() - 1; }
  std::size_t home(std::uint64_t hash) const { return std::size_t(mix_bits(hash)) & mask(); }
  void place(const Cell& cell) {
    auto at = home(cell.hash);
    while (cells_[at].slot != kNone) at = (at + 1) & mask();
    cells_[at] = cell;
  }
  void grow() {
    std::vector<Cell> old(cells_.size() * 2);
    old.swap(cells_);
    for (const auto& cell : old)
      if (cell.slot != kNone) place(cell);
  }
  std::vector<Cell> cells_ = std::vector<Cell>(64);
  std::size_t size_ = 0;
};

}  // namespace granitegap::deps
