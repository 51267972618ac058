// Remembers for a short time which paths failed, so that they are not called again at once.
//
// Fixed memory, direct-mapped: a newer failure may displace an older one, which then is called again sooner.
#pragma once
#include <cstddef>
#include <vector>

#include "deps/response_cache.h"
#include "granitegap/policy.h"

namespace granitegap::deps {

class NegativeCache {
 public:
  NegativeCache() : entries_(kEntries) {}
  void insert(const CacheKey& key, TimePoint until) { entries_[index_of(key)] = {key, until}; }
  bool contains(const CacheKey& key, TimePoint now) const {
    const auto& entry = entries_[index_of(key)];
    return entry.key == key && now < entry.until;
  }

 private:
  static constexpr std::size_t kEntries = 1024;
  struct Entry {
    CacheKey key;
    TimePoint until{};
  };
  static std::size_t index_of(const CacheKey& key) { return std::size_t(key.low % kEntries); }
  std::vector<Entry> entries_;
};

}  // namespace granitegap::deps
