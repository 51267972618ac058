// An index from hashes to slots of an array: a hash table with open addressing, linear probing and deletion
// by backward shifting, without tombstones. Allocates only when it grows, and never shrinks.
//
// A value type, used by one thread.
#pragma once
#include <cstdint>
#include <vector>

namespace granitegap::deps {

// Distributes the entropy of a value over all bits.
inline std::uint64_t mix_bits(std::uint64_t value) {
  value ^= value >> 32;
  value *= 0x9e3779b97f4a7c15u;
  return value ^ value >> 29;
}

class SlotIndex {
 public:
  using Slot = std::uint32_t;
  static constexpr Slot kNone = ~Slot(0);

  // Returns the slot with that hash for which `matches(slot)` holds, or kNone. Calls `matches` only for slots
  // whose whole hash is equal.
  template <class Matches>
  Slot find(std::uint64_t hash, Matches matches) const {
    for (auto at = home(hash); cells_[at].slot != kNone; at = next(at))
      if (cells_[at].hash == hash && matches(cells_[at].slot)) return cells_[at].slot;
    return kNone;
  }

  // Adds a slot. The pair must not be in the index yet.
  void put(std::uint64_t hash, Slot slot) {
    if ((size_ + 1) * 2 > cells_.size()) grow();
    place({hash, slot});
    ++size_;
  }

  // Removes a slot. No effect when the slot is not in the index.
  void erase(std::uint64_t hash, Slot slot) {
    auto hole = home(hash);
    while (cells_[hole].slot != kNone && cells_[hole].slot != slot) hole = next(hole);
    if (cells_[hole].slot == kNone) return;
    --size_;
    for (auto at = next(hole); cells_[at].slot != kNone; at = next(at)) {
      // A cell whose home lies after the hole stays: moved into the hole, it would precede its home, where
      // find() does not look.
      if (distance(home(cells_[at].hash), at) < distance(hole, at)) continue;
      cells_[hole] = cells_[at];
      hole = at;
    }
    cells_[hole] = {};
  }

  std::size_t size() const { return size_; }

 private:
  static constexpr std::size_t kInitialCells = 64;  // a power of two
  struct Cell {
    std::uint64_t hash = 0;
    Slot slot = kNone;
  };
  std::size_t mask() const { return cells_.size() - 1; }
  std::size_t home(std::uint64_t hash) const { return std::size_t(mix_bits(hash)) & mask(); }
  std::size_t next(std::size_t at) const { return (at + 1) & mask(); }
  std::size_t distance(std::size_t from, std::size_t to) const { return (to - from) & mask(); }
  void place(const Cell& cell) {
    auto at = home(cell.hash);
    while (cells_[at].slot != kNone) at = next(at);
    cells_[at] = cell;
  }
  void grow() {
    std::vector<Cell> old(cells_.size() * 2);
    old.swap(cells_);
    for (const auto& cell : old)
      if (cell.slot != kNone) place(cell);
  }
  std::vector<Cell> cells_ = std::vector<Cell>(kInitialCells);
  std::size_t size_ = 0;
};

}  // namespace granitegap::deps
