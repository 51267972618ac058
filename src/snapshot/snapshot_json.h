// Formats a snapshot as JSON for `granitegap snapshot show`.
#pragma once
#include <string>

#include "snapshot/snapshot.h"

namespace granitegap::snapshot {

// Returns one object on one line, with the keys `by`, `life`, `unix_ms`, `endpoints`, `parts` and `members`.
// Durations are in milliseconds. Bytes that are not valid UTF-8 are replaced.
[[nodiscard]] std::string to_json(const Snapshot& snapshot);

}  // namespace granitegap::snapshot
