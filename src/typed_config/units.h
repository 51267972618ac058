// Numbers with a unit: durations (`200ms`, `1.5s`) and sizes (`64KiB`).
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "typed_config/value.h"

namespace granitegap::typed_config {

// Units us, ms, s, m, h; rounded to a microsecond. Absent if `text` is not such a number or is over 1e15 us.
std::optional<Duration> parse_duration(std::string_view text);

// Units B, KiB, MiB, GiB; rounded to a byte. Absent if `text` is not such a number or is over 1e15 bytes.
std::optional<ByteSize> parse_byte_size(std::string_view text);

// In the largest of s, ms and us that needs no fraction.
std::string format_duration(Duration duration);

// In the largest of MiB, KiB and B that needs no fraction.
std::string format_byte_size(ByteSize size);

}  // namespace granitegap::typed_config
