// The envelope of the stored files and of warm-state transfer messages: a magic number, a checksum and the
// body.
//
//   offset 0, 4 bytes: the magic number; its last character is the version of the format
//   offset 4, 8 bytes: XXH3-64 of the body, little-endian
//   offset 12:         the body
//
// Pure functions that perform no I/O. Errors are returned as StorageError values.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "snapshot/storage_error.h"

namespace granitegap::snapshot {

inline constexpr std::size_t kMagicBytes = 4, kChecksumBytes = 8;
inline constexpr std::size_t kEnvelopeBytes = kMagicBytes + kChecksumBytes;  // precedes the body

// Returns the body in an envelope. `magic` has kMagicBytes characters.
[[nodiscard]] std::string wrap_with_checksum(std::string_view magic, std::string_view body);

// Returns the body as a view into `bytes`. Returns an error if `bytes` is longer than `max_bytes`, has
// another format or version, or is damaged.
[[nodiscard]] StorageResult<std::string_view> unwrap_checked(std::string_view magic, std::string_view bytes,
                                                             std::size_t max_bytes);

}  // namespace granitegap::snapshot
