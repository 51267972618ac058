// A snapshot as JSON, for people and scripts (`granitegap snapshot show`).
#pragma once
#include <string>

#include "snapshot/snapshot.h"

namespace granitegap::snapshot {

// One object on one line: `by`, `life`, `unix_ms`, `endpoints`, `parts`, `members`. Durations are in
// milliseconds. Bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string to_json(const Snapshot& snapshot);

}  // namespace granitegap::snapshot
