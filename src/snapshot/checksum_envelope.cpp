#include "snapshot/checksum_envelope.h"

#include <xxhash.h>

#include "snapshot/little_endian.h"

namespace granitegap::snapshot {
namespace {

constexpr std::size_t kVersionOffset = kMagicBytes - 1;

}  // namespace

std::string wrap_with_checksum(std::string_view magic, std::string_view body) {
  std::string bytes(magic);
  append_uint64(bytes, XXH3_64bits(body.data(), body.size()));
  bytes.append(body);
  return bytes;
}

StorageResult<std::string_view> unwrap_checked(std::string_view magic, std::string_view bytes,
                                               std::size_t max_bytes) {
  if (bytes.size() > max_bytes) return format_error(StorageErrc::too_large);
  if (bytes.size() < kEnvelopeBytes) return format_error(StorageErrc::damaged);
  if (bytes.substr(0, kVersionOffset) != magic.substr(0, kVersionOffset))
    return format_error(StorageErrc::foreign_format);
  if (bytes[kVersionOffset] != magic[kVersionOffset]) return format_error(StorageErrc::other_version);
  const auto body = bytes.substr(kEnvelopeBytes);
  if (uint64_at(bytes, kMagicBytes) != XXH3_64bits(body.data(), body.size()))
    return format_error(StorageErrc::damaged);
  return body;
}

}  // namespace granitegap::snapshot
