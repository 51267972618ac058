// A snapshot of the warm state of a process, and its encoding.
//
// The encoding is the protobuf message of snapshot.proto in a checksum envelope of magic number "ggl1". It is
// used for the files on disk (snapshot_files.h) and for warm-state transfer (state_transfer/codec.h). Pure
// functions that perform no I/O; errors are returned as StorageError values.
#pragma once
#include <cstddef>
#include <string>

#include "snapshot/clock_stamp.h"
#include "snapshot/storage_error.h"
#include "warm_state/warm_state.h"

namespace granitegap::snapshot {

inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{256} * 1024;  // encoded, including the envelope

struct Snapshot {
  ClockStamp taken_at;
  warm_state::WarmState state;
};

// Encodes a snapshot in at most kMaxSnapshotBytes. Items that exceed the limits are dropped.
[[nodiscard]] std::string encode(const Snapshot& snapshot);
// Decodes a snapshot. Rejects damaged bytes and states that exceed the limits in warm_state.h.
[[nodiscard]] StorageResult<Snapshot> decode_snapshot(const std::string& bytes);

}  // namespace granitegap::snapshot
