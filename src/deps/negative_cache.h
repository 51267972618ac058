// Records for a short time which paths failed, so that they are not called again at once.
//
// Direct-mapped with a fixed size: a newer failure may displace an older one, whose path is then called again
// sooner.
#pragma once
#include <cstddef>
#include <vector>

#include "deps/response_cache.h"
#include "granitegap/policy.h"

namespace granitegap::deps {

class NegativeCache {
 public:
  NegativeCache() : entries_(kEntries) {}
  // Records a failure that applies until the given time.
  void insert(const CacheKey& key, TimePoint until) { entries_[entry_index(key)] = {key, until}; }
  // Returns whether a failure is recorded for the key.
  bool contains(const CacheKey& key, TimePoint now) const {
    const auto& entry = entries_[entry_index(key)];
    return entry.key == key && now < entry.until;
  }

 private:
  static constexpr std::size_t kEntries = 1024;
  struct Entry {
    CacheKey key;
    TimePoint until{};
  };
  static std::size_t entry_index(const CacheKey& key) { return std::size_t(key.low % kEntries); }
  std::vector<Entry> entries_;
};

}  // namespace granitegap::deps
