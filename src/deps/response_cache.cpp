#include "deps/response_cache.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace granitegap::deps {
namespace {

constexpr std::size_t kEntryBytes = 200;  // an entry's own: its slot, index and the string's head
constexpr double kWindowShare = 0.01, kProtectedShare = 0.8;
constexpr std::size_t kUsualEntry = 1024;  // by which the sketch is sized
constexpr unsigned kRows = 4;
constexpr std::uint8_t kMaxCount = 15;

}  // namespace

CacheKey cache_key(std::size_t dependency, std::string_view path, std::uint64_t seed) {
  const auto hash = XXH3_128bits_withSeed(path.data(), path.size(), seed ^ mix_bits(dependency + 1));
  return {hash.high64, hash.low64};
}

FrequencySketch::FrequencySketch(std::size_t counters)
    : nibbles_(std::bit_ceil(std::max<std::size_t>(counters, 64)) * kRows),
      mask_(nibbles_.size() / kRows - 1) {}

std::size_t FrequencySketch::slot(const CacheKey& key, unsigned row) const {
  return std::size_t(mix_bits(key.low + row * key.high) & mask_) * kRows + row;
}

void FrequencySketch::record(const CacheKey& key) {
  const auto least = estimate(key);
  if (least < kMaxCount)
    for (unsigned row = 0; row < kRows; ++row)
      if (auto& n = nibbles_[slot(key, row)]; n == least) ++n;  // conservative update: fewer overcounts
  if (++samples_ < 10 * (mask_ + 1)) return;
  for (auto& n : nibbles_) n /= 2;  // what was popular long ago must not rule for good
  samples_ /= 2;
}

std::uint32_t FrequencySketch::estimate(const CacheKey& key) const {
  std::uint8_t least = kMaxCount;
  for (unsigned row = 0; row < kRows; ++row) least = std::min(least, nibbles_[slot(key, row)]);
  return least;
}

ResponseCache::ResponseCache(std::size_t max_bytes)
    : most_(max_bytes), sketch_(max_bytes / kUsualEntry * 4) {}

void ResponseCache::resize(std::size_t max_bytes) {
  most_ = max_bytes;
  evict_to_capacity();
}

std::size_t ResponseCache::charge(const Entry& e) {
  return kEntryBytes + (e.body ? e.body->capacity() : 0) + e.path.capacity();
}

void ResponseCache::unlink(Index i) {
  auto& e = entries_[i];
  auto& list = lists_[e.where];
  (e.before == kNone ? list.newest : entries_[e.before].after) = e.after;
  (e.after == kNone ? list.oldest : entries_[e.after].before) = e.before;
  list.bytes -= charge(e);
}

void ResponseCache::push(Index i, Where where) {
  auto& e = entries_[i];
  auto& list = lists_[where];
  e.where = where;
  e.before = kNone;
  e.after = list.newest;
  (list.newest == kNone ? list.oldest : entries_[list.newest].before) = i;
  list.newest = i;
  list.bytes += charge(e);
}

void ResponseCache::drop(Index i) {
  unlink(i);
  auto& e = entries_[i];
  bytes_ -= charge(e);
  --size_;
  index_.erase(e.key.low, i);
  e.body.reset();
  e.path = {};
  e.where = kFree;
  free_.push_back(i);
}

std::optional<ResponseCache::Hit> ResponseCache::find(const CacheKey& key, TimePoint now) {
  sketch_.record(key);
  const auto i = lookup(key);
  if (i == kNone) return std::nullopt;
  const auto where = entries_[i].where;
  unlink(i);
  push(i, where == kWindow ? kWindow : kProtected);
  // Used ones beyond the protected share go back on probation, oldest first.
  const auto share = std::size_t(double(most_) * kProtectedShare);
  while (lists_[kProtected].bytes > share && lists_[kProtected].oldest != i) {
    const auto back = lists_[kProtected].oldest;
    unlink(back);
    push(back, kProbation);
  }
  const auto& e = entries_[i];
  return Hit{e.body, std::max(now - e.stored, Duration{})};
}

std::optional<TimePoint> ResponseCache::stored_at(const CacheKey& key) const {
  const auto i = lookup(key);
  if (i == kNone) return std::nullopt;
  return entries_[i].stored;
}

std::vector<ResponseCache::HotEntry> ResponseCache::hottest(std::size_t most) const {
  std::vector<std::pair<std::uint32_t, Index>> seen;
  for (const auto where : {kProtected, kProbation, kWindow})
    for (auto i = lists_[where].newest; i != kNone && seen.size() < most; i = entries_[i].after)
      seen.push_back({sketch_.estimate(entries_[i].key), i});
  std::stable_sort(seen.begin(), seen.end(), [](auto& a, auto& b) { return a.first > b.first; });
  std::vector<HotEntry> hot;
  hot.reserve(seen.size());
  for (const auto& [times, i] : seen)
    hot.push_back({entries_[i].dependency, &entries_[i].path, entries_[i].body, entries_[i].stored});
  return hot;
}

void ResponseCache::insert(const CacheKey& key, std::uint32_t dependency, std::string_view path,
                           SharedBody body, TimePoint now) {
  if (!body) return;
  auto i = lookup(key);
  if (i != kNone) {
    const auto where = entries_[i].where;
    unlink(i);
    bytes_ -= charge(entries_[i]);
    entries_[i].body = std::move(body);
    entries_[i].stored = now;
    bytes_ += charge(entries_[i]);
    push(i, where);
    return evict_to_capacity();
  }
  if (free_.empty()) {
    entries_.emplace_back();
    free_.reserve(entries_.capacity());
    free_.push_back(Index(entries_.size() - 1));
  }
  i = free_.back();
  free_.pop_back();
  auto& e = entries_[i];
  e.key = key;
  e.dependency = dependency;
  e.path = path;
  e.body = std::move(body);
  e.stored = now;
  bytes_ += charge(e);
  ++size_;
  index_.put(key.low, i);
  push(i, kWindow);
  evict_to_capacity();
}

// The window overflows into the main part as long as that has room; after that a newcomer must have been
// asked for more often than the oldest on probation, or it goes itself.
void ResponseCache::evict_to_capacity() {
  const auto window =
      std::max(std::size_t(double(most_) * kWindowShare), std::min(most_, kEntryBytes + kUsualEntry));
  while (lists_[kWindow].bytes > window && lists_[kWindow].oldest != kNone) {
    const auto candidate = lists_[kWindow].oldest;
    unlink(candidate);
    push(candidate, kProbation);
    while (bytes_ > most_) {
      auto victim = lists_[kProbation].oldest;
      if (victim == candidate) victim = lists_[kProtected].oldest;
      if (victim == kNone) {
        drop(candidate);
        break;
      }
      const bool wins = sketch_.estimate(entries_[candidate].key) > sketch_.estimate(entries_[victim].key);
      drop(wins ? victim : candidate);
      if (!wins) break;
    }
  }
  while (bytes_ > most_) {
    const auto victim = lists_[kProbation].oldest != kNone   ? lists_[kProbation].oldest
                        : lists_[kProtected].oldest != kNone ? lists_[kProtected].oldest
                                                             : lists_[kWindow].oldest;
    if (victim == kNone) return;
    drop(victim);
  }
}

ResponseCache::Index ResponseCache::lookup(const CacheKey& key) const {
  return index_.find(key.low, [&](Index i) { return entries_[i].key == key; });
}

}  // namespace granitegap::deps
