// Kept answers of dependencies, bounded in bytes: W-TinyLFU.
//
// New answers enter a small window (recency). What falls out of it is admitted to the main part only if a
// frequency sketch has seen its key more often than the one it would push out, so that one scan of keys asked
// for once leaves the rest where it is. The main part is a segmented LRU: probation, then protected.
// Measured against a plain LRU map in bench/; see docs/dependencies.md.
#pragma once
#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "deps/slot_index.h"
#include "granitegap/policy.h"

namespace granitegap::deps {

using SharedBody = std::shared_ptr<const std::string>;

// 128 bits of a seeded hash: two paths under one key are not expected in the life of a machine.
struct CacheKey {
  std::uint64_t high = 0, low = 0;
  bool operator==(const CacheKey&) const = default;
};
CacheKey cache_key(std::size_t dependency, std::string_view path, std::uint64_t seed);

// How often a key was asked for lately: four rows of 4-bit counters, halved after ten times as many samples
// as there are counters in a row.
class FrequencySketch {
 public:
  explicit FrequencySketch(std::size_t counters);
  void record(const CacheKey& key);
  std::uint32_t estimate(const CacheKey& key) const;

 private:
  std::size_t slot(const CacheKey& key, unsigned row) const;
  std::vector<std::uint8_t> nibbles_;  // one a byte: small enough, and simpler
  std::size_t mask_;
  std::size_t samples_ = 0;
};

class ResponseCache {
 public:
  explicit ResponseCache(std::size_t max_bytes);
  struct Hit {
    SharedBody body;
    Duration age{};
  };
  // Counts as a use. Absent where nothing is kept; how old is too old, the caller says.
  std::optional<Hit> find(const CacheKey& key, TimePoint now);
  // `stored`: when the dependency answered. `path` is what the key was made of, for hottest().
  void insert(const CacheKey& key, std::uint32_t dependency, std::string_view path, SharedBody body,
              TimePoint stored);
  // When what is kept was stored; no use.
  std::optional<TimePoint> stored_at(const CacheKey& key) const;
  // What was asked for most lately, hottest first, as far as it is cheap to tell: among the newest `most` of
  // those used more than once, then of the rest.
  struct HotEntry {
    std::uint32_t dependency = 0;
    const std::string* path = nullptr;  // lent until the next put()
    SharedBody body;
    TimePoint stored{};
  };
  std::vector<HotEntry> hottest(std::size_t most) const;
  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return size_; }
  void resize(std::size_t max_bytes);

 private:
  using Index = std::uint32_t;
  static constexpr Index kNone = ~Index(0);
  enum Where : std::uint8_t { kWindow, kProbation, kProtected, kLists, kFree };
  struct Entry {
    CacheKey key;
    SharedBody body;
    std::string path;
    TimePoint stored{};
    std::uint32_t dependency = 0;
    Index before = kNone, after = kNone;
    Where where = kFree;
  };
  struct List {
    Index newest = kNone, oldest = kNone;
    std::size_t bytes = 0;
  };
  static std::size_t charge(const Entry& e);
  void unlink(Index i);
  void push(Index i, Where where);
  void drop(Index i);
  void evict_to_capacity();
  Index lookup(const CacheKey& key) const;

  std::size_t most_, bytes_ = 0, size_ = 0;
  std::array<List, kLists> lists_;
  std::vector<Entry> entries_;
  std::vector<Index> free_;
  SlotIndex index_;
  FrequencySketch sketch_;
};

}  // namespace granitegap::deps
