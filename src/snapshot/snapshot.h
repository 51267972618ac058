// A snapshot of what a process has learned: bytes and files. The last two are kept; the newer whole one
// counts.
//
// Blocking; call the file's functions off the io thread. Damage of every kind costs only warmth: a value says
// what is wrong, and whoever starts goes on without.
#pragma once
#include "snapshot/shutdown_record.h"
#include "warm_state/warm_state.h"

namespace granitegap::snapshot {

inline constexpr std::size_t kMaxSnapshot = 256 * 1024;  // bytes

struct Snapshot {
  Stamp at;
  warm_state::WarmState what;
};

// ---- The bytes; no I/O ----
// Within kMaxSnapshot, whatever was learned.
std::string encode(const Snapshot& snapshot);
std::variant<Snapshot, Fault> decode_snapshot(const std::string& bytes);
// How old it is at `now`: by one boot's clock, or by the Unix clock; absent where that stands behind the
// snapshot.
std::optional<Duration> age_of(const Stamp& then, const Stamp& now);

// ---- The files ----
std::variant<Snapshot, Fault> read_snapshot_file(const std::filesystem::path& file);
// The newest whole one in a directory, and what was wrong with others.
struct Newest {
  std::optional<Snapshot> snapshot;
  std::vector<std::string> faults;
};
Newest read_newest(const std::filesystem::path& folder);
// In the place of the older of the two. Durable before it returns without a fault.
std::optional<Fault> write_snapshot(const std::filesystem::path& folder, const std::string& bytes);

}  // namespace granitegap::snapshot
