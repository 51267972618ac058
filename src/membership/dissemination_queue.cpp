#include "membership/dissemination_queue.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {
namespace {

constexpr std::size_t kManyWaiting = 64;  // from this number of updates on each is sent less often

unsigned ceil_log10(std::size_t fleet) {
  return unsigned(std::max(1.0, std::ceil(std::log10(double(fleet) + 1))));
}

}  // namespace

void DisseminationQueue::add(Record record, TimePoint now) {
  const auto member = name_hash(record.name);
  auto& item = items_[member];
  if (item.order) {
    queue_.erase({item.sent, item.order, member});
    // A status without metadata must not displace metadata of the same process that still waits.
    if (!record.metadata && item.record.boot_id == record.boot_id)
      record.metadata = std::move(item.record.metadata);
  }
  item = Item{std::move(record), now, 0, next_++, 0};
  item.bytes = max_encoded_size(item.record);
  queue_.insert({0, item.order, member});
}

void DisseminationQueue::drop(std::uint64_t member) {
  const auto it = items_.find(member);
  if (it == items_.end()) return;
  queue_.erase({it->second.sent, it->second.order, member});
  items_.erase(it);
}

void DisseminationQueue::fill(std::vector<Record>& to, std::size_t room, unsigned limit, Duration lifetime,
                              TimePoint now) {
  constexpr std::size_t kMinRecordBytes = 60;
  constexpr unsigned kMaxMisfits = 4;  // bounds the search for one that fits the last few bytes
  unsigned misfits = 0;
  std::vector<Key> taken;
  for (auto it = queue_.begin(); it != queue_.end() && room >= kMinRecordBytes;) {
    auto& item = items_.at(it->member);
    if (item.sent > 0 && now - item.added > lifetime) {
      items_.erase(it->member);
      it = queue_.erase(it);
      continue;
    }
    const bool there = std::any_of(to.begin(), to.end(), [&](auto& r) { return r.name == item.record.name; });
    if (there || item.bytes > room) {
      if (++misfits >= kMaxMisfits) break;
      ++it;
      continue;
    }
    room -= item.bytes;
    to.push_back(item.record);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - item.added).count();
    to.back().age_ms += std::uint32_t(std::clamp<std::int64_t>(age, 0, 1'000'000'000));
    taken.push_back(*it);
    it = queue_.erase(it);
  }
  for (auto key : taken) {
    auto& item = items_.at(key.member);
    if (++item.sent >= limit)
      items_.erase(key.member);
    else
      queue_.insert({item.sent, item.order, key.member});
  }
}

Duration dissemination_time(const Options& options, std::size_t fleet) {
  return options.period * std::int64_t(options.retransmit_multiplier * ceil_log10(fleet));
}

unsigned retransmit_limit(const Options& options, std::size_t fleet, std::size_t waiting) {
  const auto times = options.retransmit_multiplier * ceil_log10(fleet);
  return waiting <= kManyWaiting ? times : std::max(2u, unsigned(times * kManyWaiting / waiting));
}

}  // namespace granitegap::membership
