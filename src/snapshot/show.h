// A snapshot as a person or a script reads it.
#pragma once
#include <string>

#include "snapshot/snapshot.h"

namespace granitegap::snapshot {

// One object: `by`, `life`, `unix_ms`, `endpoints`, `members`.
std::string to_json(const Snapshot& snapshot);

}  // namespace granitegap::snapshot
