#include "membership/dissemination_queue.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {
namespace {

// With more updates queued than this each is sent less often.
constexpr std::size_t kMaxQueuedAtFullRepeats = 64;

unsigned ceil_log10(std::size_t fleet) {
  return unsigned(std::max(1.0, std::ceil(std::log10(double(fleet) + 1))));
}

}  // namespace

void DisseminationQueue::add(Record record, TimePoint now) {
  const auto member = name_hash(record.name);
  auto& item = items_[member];
  if (item.order) {
    queue_.erase({item.sent, item.order, member});
    // An update without metadata must not displace queued metadata of the same process.
    if (!record.metadata && item.record.boot_id == record.boot_id)
      record.metadata = std::move(item.record.metadata);
  }
  item = Item{std::move(record), now, 0, next_order_++, 0};
  item.bytes = max_encoded_size(item.record);
  queue_.insert({0, item.order, member});
}

void DisseminationQueue::drop(std::uint64_t member) {
  const auto it = items_.find(member);
  if (it == items_.end()) return;
  queue_.erase({it->second.sent, it->second.order, member});
  items_.erase(it);
}

void DisseminationQueue::fill(std::vector<Record>& records, std::size_t max_bytes, unsigned max_sends,
                              Duration lifetime, TimePoint now) {
  constexpr std::size_t kMinRecordBytes = 60;
  constexpr unsigned kMaxMisfits = 4;  // bounds the search for an update that fits into the last few bytes
  unsigned misfits = 0;
  auto remaining_bytes = max_bytes;
  std::vector<Key> taken;
  for (auto it = queue_.begin(); it != queue_.end() && remaining_bytes >= kMinRecordBytes;) {
    auto& item = items_.at(it->member);
    if (item.sent > 0 && now - item.added > lifetime) {
      items_.erase(it->member);
      it = queue_.erase(it);
      continue;
    }
    const bool already_included = std::any_of(records.begin(), records.end(), [&](const Record& record) {
      return record.name == item.record.name;
    });
    if (already_included || item.bytes > remaining_bytes) {
      if (++misfits >= kMaxMisfits) break;
      ++it;
      continue;
    }
    remaining_bytes -= item.bytes;
    records.push_back(item.record);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - item.added).count();
    records.back().age_ms += std::uint32_t(std::clamp<std::int64_t>(age, 0, 1'000'000'000));
    taken.push_back(*it);
    it = queue_.erase(it);
  }
  for (auto key : taken) {
    auto& item = items_.at(key.member);
    if (++item.sent >= max_sends)
      items_.erase(key.member);
    else
      queue_.insert({item.sent, item.order, key.member});
  }
}

Duration dissemination_time(const Options& options, std::size_t fleet) {
  return options.period * std::int64_t(options.retransmit_multiplier * ceil_log10(fleet));
}

unsigned retransmit_limit(const Options& options, std::size_t fleet, std::size_t waiting) {
  const auto limit = options.retransmit_multiplier * ceil_log10(fleet);
  return waiting <= kMaxQueuedAtFullRepeats
             ? limit
             : std::max(2u, unsigned(limit * kMaxQueuedAtFullRepeats / waiting));
}

}  // namespace granitegap::membership
