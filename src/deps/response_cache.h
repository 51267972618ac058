// A cache of dependencies' responses, bounded in bytes: W-TinyLFU (Einziger, Friedman and Manes 2017).
//
// New entries go to a small LRU window. An entry that the window evicts is admitted to the main part only if
// a frequency sketch has recorded its key more often than the key of the entry that it would replace. A scan
// over keys that are requested only once therefore does not displace popular entries. The main part is a
// segmented LRU with a probation and a protected segment. bench/micro.cpp compares it with a plain LRU;
// docs/dependencies.md has the figures.
//
// Used by one thread, without clock or I/O. A lookup does not allocate.
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

// 128 bits of a seeded hash, wide enough that collisions are not expected in practice.
struct CacheKey {
  std::uint64_t high = 0, low = 0;
  bool operator==(const CacheKey&) const = default;
};
// Returns the key of one path of a dependency. A secret seed per process prevents constructed collisions.
CacheKey cache_key(std::size_t dependency, std::string_view path, std::uint64_t seed);

// Estimates how often a key was requested recently: a count-min sketch with conservative update. It has four
// rows of counters up to 15, which are halved after ten times as many samples as a row has counters.
class FrequencySketch {
 public:
  // `counters`: number of counters per row, rounded up to a power of two, at least 64.
  explicit FrequencySketch(std::size_t counters);
  void record(const CacheKey& key);
  // Returns an upper bound of the key's count, at most 15.
  std::uint32_t estimate(const CacheKey& key) const;

 private:
  std::size_t counter_index(const CacheKey& key, unsigned row) const;
  void halve();
  // One counter per byte: packing two into a byte is not worth the more complicated code.
  std::vector<std::uint8_t> counters_;
  std::size_t mask_;
  std::size_t samples_ = 0;
};

class ResponseCache {
 public:
  explicit ResponseCache(std::size_t max_bytes);

  struct Hit {
    SharedBody body;
    Duration age{};  // time since the dependency answered
  };
  // Returns the entry, absent when there is none, and records a use of the key. Entries do not expire: the
  // caller decides by the age.
  std::optional<Hit> find(const CacheKey& key, TimePoint now);
  // Returns the time at which the dependency sent the entry's response. Does not record a use.
  std::optional<TimePoint> stored_at(const CacheKey& key) const;

  // Inserts or replaces an entry. `path`: the path from which the key was computed, returned by hottest().
  // `stored_at`: the time at which the dependency answered. A null body is ignored.
  void insert(const CacheKey& key, std::uint32_t dependency, std::string_view path, SharedBody body,
              TimePoint stored_at);

  struct HotEntry {
    std::uint32_t dependency = 0;
    const std::string* path = nullptr;  // valid until the next insert() or resize()
    SharedBody body;
    TimePoint stored_at{};
  };
  // Returns the entries requested most often recently, most frequent first. The result is approximate: only
  // `max_entries` are examined, the most recently used of the protected segment, then of the others.
  std::vector<HotEntry> hottest(std::size_t max_entries) const;

  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return size_; }
  // Sets a new bound and evicts the entries that exceed it.
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
  static std::size_t charge(const Entry& entry);  // bytes counted for the entry
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
