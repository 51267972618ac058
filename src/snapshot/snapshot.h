// A snapshot of the warm state of a process, and its encoding.
//
// The encoding is the protobuf message of snapshot.proto in a checksum envelope of magic number "ggl1". It is
// what lies on disk (snapshot_files.h) and what a donor sends to a peer (state_transfer/codec.h). Pure
// functions without I/O; errors are returned as StorageError values.
#pragma once
#include <cstddef>
#include <string>

#include "snapshot/clock_stamp.h"
#include "snapshot/storage_error.h"
#include "warm_state/warm_state.h"

namespace granitegap::snapshot {

inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{256} * 1024;  // encoded, with the envelope

struct Snapshot {
  ClockStamp taken_at;
  warm_state::WarmState state;
};

// At most kMaxSnapshotBytes, whatever the state: what exceeds its bounds is left out.
[[nodiscard]] std::string encode(const Snapshot& snapshot);
// Accepts only what is undamaged and within the bounds of warm_state.
[[nodiscard]] StorageResult<Snapshot> decode_snapshot(const std::string& bytes);

}  // namespace granitegap::snapshot
