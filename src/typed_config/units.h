// Numbers with a unit: durations (`200ms`, `1.5s`) and sizes (`64KiB`).
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "typed_config/value.h"

namespace granitegap::typed_config {

// Parses a duration with the unit us, ms, s, m or h and rounds it to a microsecond. Returns nothing if `text`
// is not a duration or exceeds 1e15 us.
std::optional<Duration> parse_duration(std::string_view text);

// Parses a size with the unit B, KiB, MiB or GiB and rounds it to a byte. Returns nothing if `text` is not a
// size or exceeds 1e15 bytes.
std::optional<ByteSize> parse_byte_size(std::string_view text);

// Formats the duration in the largest of s, ms and us that needs no fraction.
std::string format_duration(Duration duration);

// Formats the size in the largest of MiB, KiB and B that needs no fraction.
std::string format_byte_size(ByteSize size);

}  // namespace granitegap::typed_config
