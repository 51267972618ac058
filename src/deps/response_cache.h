// A cache of dependencies' responses, bounded in bytes: W-TinyLFU (Einziger, Friedman and Manes 2017).
//
// New entries go to a small LRU window. What the window evicts is admitted to the main part only if a
// frequency sketch has seen its key more often than that of the entry it would replace, so that one scan of
// keys asked for once leaves the rest in place. The main part is a segmented LRU: probation, then protected.
// bench/micro.cpp compares it with a plain LRU; docs/dependencies.md has the figures.
//
// Used by one thread, without clock or I/O. A lookup allocates nothing.
#pragma once
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "deps/slot_index.h"
#include "granitegap/policy.h"

namespace granitegap::deps {

// A response body, shared between the cache and the requests that it serves.
using SharedBody = std::shared_ptr<const std::string>;

// 128 bits of a seeded hash: collisions are not expected within a machine's lifetime.
struct CacheKey {
  std::uint64_t high = 0, low = 0;
  bool operator==(const CacheKey&) const = default;
};
// The key of one path of a dependency. With a seed per process nobody outside can construct collisions.
CacheKey cache_key(std::size_t dependency, std::string_view path, std::uint64_t seed);

// How often a key was asked for recently: a count-min sketch with conservative update, four rows of counters
// up to 15, halved after ten times as many samples as a row has counters.
class FrequencySketch {
 public:
  // `counters`: per row; rounded up to a power of two, at least 64.
  explicit FrequencySketch(std::size_t counters);
  void record(const CacheKey& key);
  // An upper bound of the key's count, at most 15.
  std::uint32_t estimate(const CacheKey& key) const;

 private:
  std::size_t index_of(const CacheKey& key, unsigned row) const;
  void halve();
  std::vector<std::uint8_t> counters_;  // one per byte; packing two is not worth the code
  std::size_t mask_;
  std::size_t samples_ = 0;
};

class ResponseCache {
 public:
  explicit ResponseCache(std::size_t max_bytes);

  struct Hit {
    SharedBody body;
    Duration age{};  // since the dependency answered
  };
  // Counts as a use. Absent when there is no entry. Entries do not expire: the caller judges the age.
  std::optional<Hit> find(const CacheKey& key, TimePoint now);
  // When an entry's response was answered, without counting as a use.
  std::optional<TimePoint> stored_at(const CacheKey& key) const;

  // Inserts or replaces. `path`: what the key was made of, for hottest(). `stored_at`: when the dependency
  // answered. A null body is ignored.
  void insert(const CacheKey& key, std::uint32_t dependency, std::string_view path, SharedBody body,
              TimePoint stored_at);

  struct HotEntry {
    std::uint32_t dependency = 0;
    const std::string* path = nullptr;  // valid until the next insert() or resize()
    SharedBody body;
    TimePoint stored_at{};
  };
  // The entries asked for most often recently, most frequent first. Approximate, as it looks at `max_entries`
  // only: the newest of the protected segment, then of the others.
  std::vector<HotEntry> hottest(std::size_t max_entries) const;

  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return size_; }
  // Evicts what exceeds the new bound.
  void resize(std::size_t max_bytes);

 private:
  using Index = std::uint32_t;
  static constexpr Index kNone = ~Index(0);
  static constexpr std::size_t kSegments = 3;
  enum Segment : std::uint8_t { kWindowSegment, kProbationSegment, kProtectedSegment, kFreeSlot };
  struct Entry {
    CacheKey key;
    SharedBody body;
    std::string path;
    TimePoint stored_at{};
    std::uint32_t dependency = 0;
    Index newer = kNone, older = kNone;  // neighbours in the segment's list
    Segment segment = kFreeSlot;
  };
  struct List {
    Index newest = kNone, oldest = kNone;
    std::size_t bytes = 0;
  };
  static std::size_t charge(const Entry& entry);  // bytes that the entry counts for
  Index lookup(const CacheKey& key) const;
  Index allocate();
  void replace(Index i, SharedBody body, TimePoint stored_at);
  void erase(Index i);
  void unlink(Index i);
  void push_newest(Index i, Segment segment);
  void move_to(Index i, Segment segment);
  void evict_to_capacity();
  void admit_or_evict(Index candidate);
  Index oldest_entry() const;

  std::size_t max_bytes_, bytes_ = 0, size_ = 0;
  std::array<List, kSegments> lists_;
  std::vector<Entry> entries_;
  std::vector<Index> free_;
  SlotIndex index_;
  FrequencySketch sketch_;
};

}  // namespace granitegap::deps
