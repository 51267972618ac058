// The messages of the warm-state transfer: a query and its response, in checksum envelopes of magic numbers
// "ggq1" and "ggo1" (snapshot/checksum_envelope.h), and the length prefix in front of each on a connection.
//
// Pure functions without I/O. What can't be decoded is a StorageError, as for the stored files.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "recovery/donor_selection.h"
#include "snapshot/snapshot.h"

namespace granitegap::state_transfer {

inline constexpr std::size_t kMaxQueryBytes = 256;  // with the envelope
inline constexpr std::size_t kMaxResponseBytes = snapshot::kMaxSnapshotBytes + 1024;
inline constexpr std::size_t kLengthPrefixBytes = 4;

// Asks a peer for its warm state.
struct TransferQuery {
  std::string cluster;      // a peer of another cluster does not respond
  std::string name;         // of the process that asks
  std::uint64_t nonce = 0;  // returned in the response
};

[[nodiscard]] std::string encode(const TransferQuery& query);
[[nodiscard]] snapshot::StorageResult<TransferQuery> decode_query(std::string_view bytes);
[[nodiscard]] std::string encode(const recovery::TransferResponse& response);
[[nodiscard]] snapshot::StorageResult<recovery::TransferResponse> decode_response(std::string_view bytes);

// The bytes with their length in front, as kLengthPrefixBytes big-endian bytes.
[[nodiscard]] std::string add_length_prefix(std::string_view bytes);
// The length that a prefix announces; absent where it is zero or over `max_length`.
[[nodiscard]] std::optional<std::size_t> parse_length_prefix(std::string_view prefix, std::size_t max_length);

}  // namespace granitegap::state_transfer
