#include "state_transfer/codec.h"

#include <algorithm>
#include <chrono>
#include <limits>

#include "snapshot/checksum_envelope.h"
#include "state_transfer.pb.h"

namespace granitegap::state_transfer {
namespace {

constexpr char kQueryMagic[] = "ggq1", kResponseMagic[] = "ggo1";
constexpr std::size_t kMaxNameBytes = 64;

using snapshot::StorageErrc;
using snapshot::StorageError;
using snapshot::StorageResult;

// Parses the protobuf message in an envelope.
template <class Message>
StorageResult<Message> parse_message(const char* magic, std::string_view bytes, std::size_t max_bytes) {
  const auto unwrapped = snapshot::unwrap_checked(magic, bytes, max_bytes);
  if (const auto* error = std::get_if<StorageError>(&unwrapped)) return *error;
  const auto& body = std::get<std::string_view>(unwrapped);
  Message message;
  if (!message.ParseFromArray(body.data(), int(body.size())))
    return snapshot::format_error(StorageErrc::damaged);
  return message;
}

// Converts a duration to milliseconds, rounded down and clamped to the range of the field.
std::uint32_t to_uint32_ms(Duration duration) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return std::uint32_t(std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

std::string encode(const TransferQuery& query) {
  wire::TransferRequest message;
  message.set_cluster(query.cluster);
  message.set_name(query.name);
  message.set_nonce(query.nonce);
  return snapshot::wrap_with_checksum(kQueryMagic, message.SerializeAsString());
}

StorageResult<TransferQuery> decode_query(std::string_view bytes) {
  const auto parsed = parse_message<wire::TransferRequest>(kQueryMagic, bytes, kMaxQueryBytes);
  if (const auto* error = std::get_if<StorageError>(&parsed)) return *error;
  const auto& message = std::get<wire::TransferRequest>(parsed);
  if (message.cluster().size() > kMaxNameBytes || message.name().size() > kMaxNameBytes)
    return snapshot::format_error(StorageErrc::name_too_long);
  return TransferQuery{message.cluster(), message.name(), message.nonce()};
}

std::string encode(const recovery::TransferResponse& response) {
  wire::TransferResponse message;
  message.set_nonce(response.nonce);
  message.set_by(response.donor);
  message.set_boot_id(std::uint64_t(response.boot_id));
  message.set_in_service(response.in_service);
  message.set_sure(response.view_certain);
  message.set_view_age_ms(to_uint32_ms(response.view_age));
  if (response.in_service) {
    // The snapshot has no time stamp: its state is current, and its items carry their ages.
    snapshot::Snapshot snapshot;
    snapshot.state = response.state;
    message.set_warm_state(snapshot::encode(snapshot));
  }
  return snapshot::wrap_with_checksum(kResponseMagic, message.SerializeAsString());
}

StorageResult<recovery::TransferResponse> decode_response(std::string_view bytes) {
  const auto parsed = parse_message<wire::TransferResponse>(kResponseMagic, bytes, kMaxResponseBytes);
  if (const auto* error = std::get_if<StorageError>(&parsed)) return *error;
  const auto& message = std::get<wire::TransferResponse>(parsed);
  if (message.by().size() > kMaxNameBytes) return snapshot::format_error(StorageErrc::name_too_long);
  recovery::TransferResponse response;
  response.nonce = message.nonce();
  response.donor = message.by();
  response.boot_id = membership::BootId(message.boot_id());
  response.in_service = message.in_service();
  response.view_certain = message.sure();
  response.view_age = std::chrono::milliseconds(message.view_age_ms());
  if (!response.in_service) return response;
  auto decoded = snapshot::decode_snapshot(message.warm_state());
  if (const auto* error = std::get_if<StorageError>(&decoded)) return *error;
  response.state = std::move(std::get<snapshot::Snapshot>(decoded).state);
  return response;
}

std::string add_length_prefix(std::string_view bytes) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out += char(bytes.size() >> shift & 0xff);
  return out.append(bytes);
}

std::optional<std::size_t> parse_length_prefix(std::string_view prefix, std::size_t max_length) {
  if (prefix.size() != kLengthPrefixBytes) return std::nullopt;
  std::size_t length = 0;
  for (const char byte : prefix) length = length << 8 | std::uint8_t(byte);
  if (length == 0 || length > max_length) return std::nullopt;
  return length;
}

}  // namespace granitegap::state_transfer
