// The messages of the warm-state transfer: a query and its response, in checksum envelopes with the magic
// numbers "ggq1" and "ggo1" (snapshot/checksum_envelope.h), and the length prefix that precedes each of them
// on a connection.
//
// Pure functions that perform no I/O. Decoding errors are returned as StorageError values, as for stored
// files.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "recovery/donor_selection.h"
#include "snapshot/snapshot.h"

namespace granitegap::state_transfer {

inline constexpr std::size_t kMaxQueryBytes = 256;  // including the envelope
inline constexpr std::size_t kMaxResponseBytes = snapshot::kMaxSnapshotBytes + 1024;
inline constexpr std::size_t kLengthPrefixBytes = 4;

// Requests the warm state of a peer.
struct TransferQuery {
  std::string cluster;      // a peer of another cluster does not respond
  std::string name;         // of the requesting process
  std::uint64_t nonce = 0;  // returned in the response
};

[[nodiscard]] std::string encode(const TransferQuery& query);
[[nodiscard]] snapshot::StorageResult<TransferQuery> decode_query(std::string_view bytes);
[[nodiscard]] std::string encode(const recovery::TransferResponse& response);
[[nodiscard]] snapshot::StorageResult<recovery::TransferResponse> decode_response(std::string_view bytes);

// Returns `bytes` preceded by their length as kLengthPrefixBytes big-endian bytes.
[[nodiscard]] std::string add_length_prefix(std::string_view bytes);
// Returns the length in a prefix, or nullopt if it is zero or exceeds `max_length`.
[[nodiscard]] std::optional<std::size_t> parse_length_prefix(std::string_view prefix, std::size_t max_length);

}  // namespace granitegap::state_transfer
