#include "membership/dissemination_queue.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {
namespace {

constexpr std::size_t kCrowd = 64;  // updates that wait, from which on each is sent on less often

unsigned whole_log(std::size_t fleet) {
  return unsigned(std::max(1.0, std::ceil(std::log10(double(fleet) + 1))));
}

}  // namespace

void DisseminationQueue::add(Record record, TimePoint now) {
  const auto member = name_hash(record.name);
  auto& item = items_[member];
  if (item.order) {
    queue_.erase({item.sent, item.order, member});
    // Guards against news of a member's state that pushes out what it has told of itself in the same life.
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

void DisseminationQueue::fill(std::vector<Record>& to, std::size_t room, unsigned times, Duration lasts,
                              TimePoint now) {
  constexpr std::size_t kLeast = 60;  // no record is smaller
  constexpr unsigned kMisfits = 4;    // guards against a search of the whole queue for the last few bytes
  unsigned misfits = 0;
  std::vector<Key> taken;
  for (auto it = queue_.begin(); it != queue_.end() && room >= kLeast;) {
    auto& item = items_.at(it->member);
    if (item.sent > 0 && now - item.added > lasts) {
      items_.erase(it->member);
      it = queue_.erase(it);
      continue;
    }
    const bool there = std::any_of(to.begin(), to.end(), [&](auto& r) { return r.name == item.record.name; });
    if (there || item.bytes > room) {
      if (++misfits >= kMisfits) break;
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
    if (++item.sent >= times)
      items_.erase(key.member);
    else
      queue_.insert({item.sent, item.order, key.member});
  }
}

Duration dissemination_time(const Options& options, std::size_t fleet) {
  return options.period * std::int64_t(options.retransmit_multiplier * whole_log(fleet));
}

unsigned retransmit_limit(const Options& options, std::size_t fleet, std::size_t waiting) {
  const auto times = options.retransmit_multiplier * whole_log(fleet);
  return waiting <= kCrowd ? times : std::max(2u, unsigned(times * kCrowd / waiting));
}

}  // namespace granitegap::membership
