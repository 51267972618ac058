#include "deps/response_cache.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace granitegap::deps {
namespace {

// Overhead of an entry: its slot, its index cell and the string headers.
constexpr std::size_t kEntryOverheadBytes = 200;
constexpr std::size_t kTypicalBodyBytes = 1024;  // determines the size of the sketch and the minimum window
constexpr double kWindowShare = 0.01, kProtectedShare = 0.8;
constexpr std::size_t kCountersPerEntry = 4, kMinCounters = 64;
constexpr unsigned kRows = 4;
constexpr std::uint8_t kMaxCount = 15;
constexpr std::size_t kSamplesPerCounter = 10;  // samples per counter after which the counters are halved

}  // namespace

CacheKey cache_key(std::size_t dependency, std::string_view path, std::uint64_t seed) {
  const auto hash = XXH3_128bits_withSeed(path.data(), path.size(), seed ^ mix_bits(dependency + 1));
  return {hash.high64, hash.low64};
}

// ---- FrequencySketch ----

FrequencySketch::FrequencySketch(std::size_t counters)
    : counters_(std::bit_ceil(std::max(counters, kMinCounters)) * kRows),
      mask_(counters_.size() / kRows - 1) {}

std::size_t FrequencySketch::counter_index(const CacheKey& key, unsigned row) const {
  return std::size_t(mix_bits(key.low + row * key.high) & mask_) * kRows + row;
}

void FrequencySketch::record(const CacheKey& key) {
  const auto count = estimate(key);
  if (count < kMaxCount) {
    // Conservative update: only the smallest counters are incremented, which reduces overestimation.
    for (unsigned row = 0; row < kRows; ++row) {
      auto& counter = counters_[counter_index(key, row)];
      if (counter == count) ++counter;
    }
  }
  ++samples_;
  if (samples_ >= kSamplesPerCounter * (mask_ + 1)) halve();
}

// Ages the counts, so that keys that were popular long ago can be evicted.
void FrequencySketch::halve() {
  for (auto& counter : counters_) counter /= 2;
  samples_ /= 2;
}

std::uint32_t FrequencySketch::estimate(const CacheKey& key) const {
  std::uint8_t smallest = kMaxCount;
  for (unsigned row = 0; row < kRows; ++row)
    smallest = std::min(smallest, counters_[counter_index(key, row)]);
  return smallest;
}

// ---- ResponseCache: the lists ----

ResponseCache::ResponseCache(std::size_t max_bytes)
    : max_bytes_(max_bytes), sketch_(max_bytes / kTypicalBodyBytes * kCountersPerEntry) {}

void ResponseCache::resize(std::size_t max_bytes) {
  max_bytes_ = max_bytes;
  evict_to_capacity();
}

std::size_t ResponseCache::charge(const Entry& entry) {
  return kEntryOverheadBytes + (entry.body ? entry.body->capacity() : 0) + entry.path.capacity();
}

void ResponseCache::unlink(Index i) {
  auto& entry = entries_[i];
  auto& list = lists_[entry.segment];
  (entry.newer == kNone ? list.newest : entries_[entry.newer].older) = entry.older;
  (entry.older == kNone ? list.oldest : entries_[entry.older].newer) = entry.newer;
  list.bytes -= charge(entry);
}

void ResponseCache::push_newest(Index i, Segment segment) {
  auto& entry = entries_[i];
  auto& list = lists_[segment];
  entry.segment = segment;
  entry.newer = kNone;
  entry.older = list.newest;
  (list.newest == kNone ? list.oldest : entries_[list.newest].newer) = i;
  list.newest = i;
  list.bytes += charge(entry);
}

void ResponseCache::move_to(Index i, Segment segment) {
  unlink(i);
  push_newest(i, segment);
}

void ResponseCache::erase(Index i) {
  unlink(i);
  auto& entry = entries_[i];
  bytes_ -= charge(entry);
  --size_;
  index_.erase(entry.key.low, i);
  entry.body.reset();
  entry.path = {};
  entry.segment = kFreeSlot;
  free_.push_back(i);
}

ResponseCache::Index ResponseCache::allocate() {
  if (free_.empty()) {
    entries_.emplace_back();
    free_.reserve(entries_.capacity());
    free_.push_back(Index(entries_.size() - 1));
  }
  const auto i = free_.back();
  free_.pop_back();
  return i;
}

ResponseCache::Index ResponseCache::lookup(const CacheKey& key) const {
  return index_.find(key.low, [&](Index i) { return entries_[i].key == key; });
}

// ---- ResponseCache: lookups and insertion ----

std::optional<ResponseCache::Hit> ResponseCache::find(const CacheKey& key, TimePoint now) {
  sketch_.record(key);
  const auto i = lookup(key);
  if (i == kNone) return std::nullopt;
  move_to(i, entries_[i].segment == kWindowSegment ? kWindowSegment : kProtectedSegment);
  // Entries that exceed the protected segment's share move to the probation segment, oldest first.
  const auto max_protected_bytes = std::size_t(double(max_bytes_) * kProtectedShare);
  while (lists_[kProtectedSegment].bytes > max_protected_bytes && lists_[kProtectedSegment].oldest != i)
    move_to(lists_[kProtectedSegment].oldest, kProbationSegment);
  const auto& entry = entries_[i];
  return Hit{entry.body, std::max(now - entry.stored_at, Duration{})};
}

std::optional<TimePoint> ResponseCache::stored_at(const CacheKey& key) const {
  const auto i = lookup(key);
  if (i == kNone) return std::nullopt;
  return entries_[i].stored_at;
}

std::vector<ResponseCache::HotEntry> ResponseCache::hottest(std::size_t max_entries) const {
  std::vector<std::pair<std::uint32_t, Index>> by_frequency;
  for (const auto segment : {kProtectedSegment, kProbationSegment, kWindowSegment})
    for (auto i = lists_[segment].newest; i != kNone && by_frequency.size() < max_entries;
         i = entries_[i].older)
      by_frequency.push_back({sketch_.estimate(entries_[i].key), i});
  std::stable_sort(by_frequency.begin(), by_frequency.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<HotEntry> hot;
  hot.reserve(by_frequency.size());
  for (const auto& [frequency, i] : by_frequency)
    hot.push_back({entries_[i].dependency, &entries_[i].path, entries_[i].body, entries_[i].stored_at});
  return hot;
}

void ResponseCache::insert(const CacheKey& key, std::uint32_t dependency, std::string_view path,
                           SharedBody body, TimePoint stored_at) {
  if (!body) return;
  const auto known = lookup(key);
  if (known != kNone) {
    replace(known, std::move(body), stored_at);
  } else {
    const auto i = allocate();
    auto& entry = entries_[i];
    entry.key = key;
    entry.dependency = dependency;
    entry.path = path;
    entry.body = std::move(body);
    entry.stored_at = stored_at;
    bytes_ += charge(entry);
    ++size_;
    index_.put(key.low, i);
    push_newest(i, kWindowSegment);
  }
  evict_to_capacity();
}

void ResponseCache::replace(Index i, SharedBody body, TimePoint stored_at) {
  auto& entry = entries_[i];
  const auto segment = entry.segment;
  unlink(i);
  bytes_ -= charge(entry);
  entry.body = std::move(body);
  entry.stored_at = stored_at;
  bytes_ += charge(entry);
  push_newest(i, segment);
}

// ---- ResponseCache: eviction ----

void ResponseCache::evict_to_capacity() {
  const auto max_window_bytes = std::max(std::size_t(double(max_bytes_) * kWindowShare),
                                         std::min(max_bytes_, kEntryOverheadBytes + kTypicalBodyBytes));
  while (lists_[kWindowSegment].bytes > max_window_bytes && lists_[kWindowSegment].oldest != kNone) {
    const auto candidate = lists_[kWindowSegment].oldest;
    move_to(candidate, kProbationSegment);
    admit_or_evict(candidate);
  }
  while (bytes_ > max_bytes_) {
    const auto victim = oldest_entry();
    if (victim == kNone) return;
    erase(victim);
  }
}

// TinyLFU admission: while the cache is full, the candidate replaces the oldest entry on probation only if
// its key has been requested more often.
void ResponseCache::admit_or_evict(Index candidate) {
  while (bytes_ > max_bytes_) {
    auto victim = lists_[kProbationSegment].oldest;
    if (victim == candidate) victim = lists_[kProtectedSegment].oldest;
    if (victim == kNone) return erase(candidate);
    const bool is_admitted =
        sketch_.estimate(entries_[candidate].key) > sketch_.estimate(entries_[victim].key);
    erase(is_admitted ? victim : candidate);
    if (!is_admitted) return;
  }
}

ResponseCache::Index ResponseCache::oldest_entry() const {
  for (const auto segment : {kProbationSegment, kProtectedSegment, kWindowSegment})
    if (lists_[segment].oldest != kNone) return lists_[segment].oldest;
  return kNone;
}

}  // namespace granitegap::deps
