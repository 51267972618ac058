#include "standin/client_codec.h"

#include <cstdlib>

namespace granitegap::standin {
namespace {

// Types of payloads, the first byte of each.
constexpr std::uint8_t kRequestType = 0, kResponseType = 1, kHealthCheckType = 6, kHealthType = 7;
// Of a response: type, stream, code and number of fields.
constexpr std::size_t kStreamAt = 1, kStreamSize = 4, kCodeAt = 5, kFieldCountAt = 6, kFieldsAt = 7;
constexpr std::size_t kHealthSize = 6;
constexpr int kLengthSize = 4, kNameLengthSize = 1, kValueLengthSize = 2;

std::string frame_of(const std::string& payload) {
  return encode_number(payload.size(), kLengthSize) + payload;
}

// Writes the fields of a request, and counts them.
class FieldWriter {
 public:
  void add(const std::string& name, const std::string& value) {
    bytes_ += encode_number(name.size(), kNameLengthSize) + name;
    bytes_ += encode_number(value.size(), kValueLengthSize) + value;
    ++count_;
  }
  std::string bytes() const { return encode_number(count_, 1) + bytes_; }

 private:
  std::string bytes_;
  std::uint64_t count_ = 0;
};

// Reads text with its length in front; absent past the payload's end.
std::optional<std::string> read_text(const std::string& payload, std::size_t& at, std::size_t length_size) {
  if (at + length_size > payload.size()) return std::nullopt;
  const auto size = std::size_t(decode_number(payload, at, length_size));
  at += length_size;
  if (at + size > payload.size()) return std::nullopt;
  auto text = payload.substr(at, size);
  at += size;
  return text;
}

void set_field(Response& response, const std::string& name, const std::string& value) {
  if (name == "backoff") response.retry_after = std::chrono::milliseconds(std::atoll(value.c_str()));
  if (name == "hint") response.hint = value;
  if (name == "parts") response.has_parts = true;
  if (name == "missing") response.has_missing_parts = true;
}

}  // namespace

std::string encode_number(std::uint64_t value, int bytes) {
  std::string out;
  while (bytes-- > 0) out += char(value >> (8 * bytes) & 0xff);
  return out;
}

std::uint64_t decode_number(const std::string& bytes, std::size_t at, std::size_t count) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < count; ++i) value = value << 8 | std::uint8_t(bytes.at(at + i));
  return value;
}

std::string encode_request(const Request& request, const RequestEnvelope& envelope) {
  FieldWriter fields;
  fields.add("method", request.cls);
  fields.add("rid", envelope.request_id);
  fields.add("t0", std::to_string(envelope.t0_ms));
  fields.add("peer", std::to_string(envelope.proxy));
  fields.add("acct", envelope.organization);
  fields.add("est", std::to_string(request.estimated_cost_ms));
  fields.add("mem", "24.5");
  fields.add("prio", "0.5");
  if (!request.idempotency_key.empty()) fields.add("token", request.idempotency_key);
  return frame_of(encode_number(kRequestType, 1) + encode_number(envelope.stream, kStreamSize) +
                  fields.bytes() + request.body);
}

std::string encode_health_check(std::uint32_t stream) {
  return frame_of(encode_number(kHealthCheckType, 1) + encode_number(stream, kStreamSize) +
                  FieldWriter().bytes());
}

std::optional<Response> decode_response(const std::string& payload) {
  if (payload.size() < kFieldsAt || std::uint8_t(payload[0]) != kResponseType) return std::nullopt;
  const auto code = std::uint8_t(payload[kCodeAt]);
  if (code > std::uint8_t(ResponseCode::failed)) return std::nullopt;
  Response response;
  response.stream = std::uint32_t(decode_number(payload, kStreamAt, kStreamSize));
  response.code = ResponseCode(code);
  std::size_t at = kFieldsAt;
  const auto field_count = std::uint8_t(payload[kFieldCountAt]);
  for (int k = 0; k < field_count; ++k) {
    const auto name = read_text(payload, at, kNameLengthSize);
    if (!name) return std::nullopt;
    const auto value = read_text(payload, at, kValueLengthSize);
    if (!value) return std::nullopt;
    set_field(response, *name, *value);
  }
  response.body = payload.substr(at);
  return response;
}

std::optional<bool> decode_health(const std::string& payload, std::uint32_t stream) {
  if (payload.size() < kHealthSize || std::uint8_t(payload[0]) != kHealthType) return std::nullopt;
  if (decode_number(payload, kStreamAt, kStreamSize) != stream) return std::nullopt;
  return payload[kCodeAt] == 0;
}

}  // namespace granitegap::standin
