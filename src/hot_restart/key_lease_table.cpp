#include "hot_restart/key_lease_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace granitegap::hot_restart {
namespace {

constexpr std::uint64_t kMagic = 0x67676170636c6d31;  // "ggapclm1"; the last digit is the version
constexpr Duration kMaxClockDifference =
    std::chrono::seconds(2);  // between the clock readings of the processes

std::int64_t to_us(UnixTime time) { return time.time_since_epoch().count(); }

// Returns a checksum that is never 0, because 0 marks a free slot and a header that was never written.
std::uint64_t compute_checksum(const KeyLease& lease) {
  return XXH3_64bits(&lease, offsetof(KeyLease, checksum)) | 1;
}
std::uint64_t compute_checksum(const LeaseTableHeader& header) {
  return XXH3_64bits(&header, offsetof(LeaseTableHeader, quarantine_until_us)) | 1;
}

bool is_free(const KeyLease& slot) { return slot.checksum == 0; }

// Whether a record was partly written when its process was killed, was overwritten, or has times too far in
// the future for any process's clock.
bool is_damaged(const KeyLease& slot, UnixTime now, Duration max_lease) {
  const auto latest_received = now + kMaxClockDifference;
  return slot.checksum != compute_checksum(slot) || slot.received_us > to_us(latest_received) ||
         slot.expires_us > to_us(latest_received + max_lease);
}

// Whether a lease expired so long ago that every attempt received within its window has been read by now.
bool is_reusable(const KeyLease& slot, UnixTime now, Duration max_lease) {
  return slot.expires_us + max_lease.count() < to_us(now);
}

bool is_all_zero(const LeaseTableHeader& header) {
  const auto bytes = std::as_bytes(std::span(&header, 1));
  return std::all_of(bytes.begin(), bytes.end(), [](std::byte b) { return b == std::byte{0}; });
}

}  // namespace

KeyHash hash_key(std::string_view request_class, std::string_view idempotency_key) {
  // The length of the class comes first, so that different pairs never give the same text.
  std::string text = std::to_string(request_class.size());
  text.append(1, ':').append(request_class).append(idempotency_key);
  const auto hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

void KeyLeaseTable::quarantine(UnixTime now, Duration max_lease) {
  header_.quarantine_until_us = std::max(header_.quarantine_until_us, to_us(now + max_lease));
}

bool KeyLeaseTable::header_is_valid() const {
  return header_.magic == kMagic && header_.slots == slots_.size() &&
         header_.checksum == compute_checksum(header_);
}

void KeyLeaseTable::initialize() {
  header_ = LeaseTableHeader{};
  std::fill(slots_.begin(), slots_.end(), KeyLease{});
  header_.magic = kMagic;
  header_.slots = slots_.size();
  header_.checksum = compute_checksum(header_);
}

bool KeyLeaseTable::adopt(UnixTime now, Duration max_lease) {
  if (header_is_valid()) {
    // Bounds a quarantine that was written by a process whose clock was far ahead.
    header_.quarantine_until_us = std::min(header_.quarantine_until_us, to_us(now + max_lease));
    return true;
  }
  const bool is_new = is_all_zero(header_);
  initialize();
  if (!is_new) quarantine(now, max_lease);
  return is_new;
}

std::size_t KeyLeaseTable::probe_count() const { return std::min(kMaxProbes, slots_.size()); }

KeyLease& KeyLeaseTable::probe(const KeyHash& key, std::size_t attempt) const {
  return slots_[(key.low + attempt) % slots_.size()];
}

KeyLeaseTable::SlotSearch KeyLeaseTable::find_slots(const KeyHash& key, UnixTime now, Duration max_lease) {
  SlotSearch search;
  for (std::size_t attempt = 0; attempt < probe_count(); ++attempt) {
    auto& slot = probe(key, attempt);
    if (!is_free(slot) && is_damaged(slot, now, max_lease)) {
      quarantine(now, max_lease);
      slot = KeyLease{};
    }
    if (!is_free(slot) && slot.key == key) {
      search.holding = &slot;
      break;
    }
    const bool reusable = is_free(slot) || is_reusable(slot, now, max_lease);
    if (reusable && !search.reusable) search.reusable = &slot;
  }
  return search;
}

LeaseDecision KeyLeaseTable::acquire(const KeyHash& key, UnixTime received, Duration lease,
                                     std::uint64_t boot_id, UnixTime now, Duration max_lease) {
  const auto [holding, reusable] = find_slots(key, now, max_lease);
  if (to_us(now) < header_.quarantine_until_us) return LeaseDecision::unknown;
  if (holding && holding->boot_id != boot_id && to_us(received) <= holding->expires_us)
    return LeaseDecision::held_by_other;
  auto* slot = holding ? holding : reusable;
  if (!slot) return LeaseDecision::unknown;
  KeyLease record{key, to_us(received), to_us(received + lease), boot_id, 0};
  record.checksum = compute_checksum(record);
  *slot = record;
  return LeaseDecision::acquired;
}

void KeyLeaseTable::release(const KeyHash& key, std::uint64_t boot_id) {
  for (std::size_t attempt = 0; attempt < probe_count(); ++attempt) {
    auto& slot = probe(key, attempt);
    if (!is_free(slot) && slot.key == key && slot.boot_id == boot_id) slot = KeyLease{};
  }
}

std::size_t KeyLeaseTable::count_active(UnixTime now) const {
  const auto is_active = [now](const KeyLease& slot) {
    return !is_free(slot) && slot.expires_us >= to_us(now);
  };
  return std::size_t(std::count_if(slots_.begin(), slots_.end(), is_active));
}

}  // namespace granitegap::hot_restart
