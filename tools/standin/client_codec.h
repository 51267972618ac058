// The client's side of the wire format: requests and health checks are encoded, responses decoded. Written
// apart from the server's codec, so that tests compare two implementations of the format.
//
// Errors: bytes that are no response are an absent result.
#pragma once
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace granitegap::standin {

// A request as a client proxy sends it.
struct Request {
  std::string cls = "tile", body = "x";
  std::string idempotency_key;               // the field `token`; empty: none is sent
  std::chrono::milliseconds backdated_by{};  // `t0` lies so far in the past
  int estimated_cost_ms = 20;                // the field `est`, core time
};

// The response codes of the wire format.
enum class ResponseCode : std::uint8_t { served = 0, rejected = 1, failed = 2 };

// A response to a request.
struct Response {
  std::uint32_t stream = 0;  // of the request that it answers
  ResponseCode code = ResponseCode::served;
  std::chrono::milliseconds retry_after{};  // the field `backoff`
  std::string body;
  std::string hint;                // the field `hint`; empty if there was none
  bool has_parts = false;          // the field `parts` came
  bool has_missing_parts = false;  // the field `missing` came
};

// What a frame says besides the request itself.
struct RequestEnvelope {
  std::uint32_t stream = 0;
  int proxy = 1;                               // the field `peer`
  std::string request_id;                      // the field `rid`, new with every attempt
  std::int64_t t0_ms = 0;                      // milliseconds since the Unix epoch
  std::string organization = "turistaterkep";  // the field `acct`
};

// Big-endian bytes of a number.
std::string encode_number(std::uint64_t value, int bytes);
// The number that `count` big-endian bytes at `at` encode; throws std::out_of_range past the end.
std::uint64_t decode_number(const std::string& bytes, std::size_t at, std::size_t count);

// A request's frame: length and payload.
std::string encode_request(const Request& request, const RequestEnvelope& envelope);
// A health check's frame.
std::string encode_health_check(std::uint32_t stream);
// A response's payload without its length; absent if it is none, has an unknown code or is cut short.
std::optional<Response> decode_response(const std::string& payload);
// Whether the server reports itself healthy; absent if the payload is no answer to the check on `stream`.
std::optional<bool> decode_health(const std::string& payload, std::uint32_t stream);

}  // namespace granitegap::standin
