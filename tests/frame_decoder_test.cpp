// Decoding of the binary frames of client proxies.
#include "frames/frame_decoder.h"

#include <doctest/doctest.h>

namespace granitegap {
namespace {

TEST_CASE("frames: a decoder that has decoded all its input releases its buffer") {
  edge::NameRegistry catalog{{"tile"}, {}, {false}};
  frames::FrameDecoder decoder(catalog, edge::PeerId{1});
  const std::string check("\x00\x00\x00\x06\x06\x00\x00\x00\x02\x00", 10);
  for (int i = 0; i < 100; ++i) decoder.add(check);
  int decoded = 0;
  while (decoder.next()) ++decoded;
  CHECK(decoded == 100);
  CHECK(decoder.buffer_capacity() == std::string().capacity());
}

TEST_CASE("frames: an oversize request is rejected and skipped, and the next frame is decoded") {
  edge::NameRegistry catalog{{"tile"}, {}, {false}};
  frames::FrameDecoder decoder(catalog, edge::PeerId{1});
  decoder.add(std::string_view("\x00\x03\x00\x00\x00\x00\x00\x00\x05", 9));
  const auto error = decoder.next();
  REQUIRE(error);
  const auto& malformed = std::get<frames::MalformedRequest>(*error);
  CHECK(malformed.stream == 5);
  CHECK(malformed.code == frames::RequestErrorCode::frame_too_large);
  const std::string filler(4096, 'x');
  std::size_t left = 0x30000 - 5;
  for (; left > filler.size(); left -= filler.size()) {
    decoder.add(filler);
    CHECK_FALSE(decoder.next());
  }
  decoder.add(filler.substr(0, left));
  CHECK_FALSE(decoder.in_frame());
  decoder.add(std::string_view("\x00\x00\x00\x06\x06\x00\x00\x00\x02\x00", 10));
  const auto check = decoder.next();
  REQUIRE(check);
  CHECK(std::get<edge::HealthCheck>(*check).reply_to.stream == 2);
}

// Encodes a field.
std::string field(const std::string& name, const std::string& value) {
  return char(name.size()) + name + '\0' + char(value.size()) + value;
}

// Encodes a request on stream 3 with the given encoded fields and the given field count.
std::string request_frame(int count, const std::string& fields) {
  const std::string payload = char(count) + fields;
  return std::string("\x00\x00\x00", 3) + char(payload.size() + 5) + std::string("\x00\x00\x00\x00\x03", 5) +
         payload;
}

TEST_CASE("frames: a malformed request names the invalid field or the error") {
  const edge::NameRegistry names{{"tile"}, {}, {false}};
  const auto method = field("method", "tile"), rid = field("rid", "00000000000000a1"), t0 = field("t0", "1");
  const auto decode_error = [&](const std::string& frame) {
    frames::FrameDecoder decoder(names, edge::PeerId{1});
    decoder.add(frame);
    const auto message = decoder.next();
    REQUIRE(message);
    const auto& malformed = std::get<frames::MalformedRequest>(*message);
    CHECK(malformed.stream == 3);
    return malformed;
  };
  CHECK(decode_error(request_frame(3, method + rid + t0)).field == "mem");
  CHECK(decode_error(request_frame(1, field("method", "atlas"))).field == "method");
  // Of several invalid fields the last one is named.
  CHECK(decode_error(request_frame(2, field("est", "-1") + field("prio", "1"))).field == "prio");
  const auto invalid = decode_error(request_frame(2, method + field("t0", "+1")));
  CHECK(invalid.code == frames::RequestErrorCode::invalid_field);
  CHECK(invalid.reason() == "missing or invalid field t0");
  CHECK(decode_error(request_frame(2, method)).code == frames::RequestErrorCode::malformed_fields);
}

TEST_CASE("frames: a protocol error names its cause, and nothing after it is decoded") {
  const edge::NameRegistry names{{"tile"}, {}, {false}};
  const auto decode_reason = [&](std::string_view frame) {
    frames::FrameDecoder decoder(names, edge::PeerId{1});
    decoder.add(frame);
    const auto message = decoder.next();
    REQUIRE(message);
    decoder.add(std::string_view("\x00\x00\x00\x06\x06\x00\x00\x00\x02\x00", 10));
    CHECK_FALSE(decoder.next());
    return std::get<frames::ProtocolError>(*message).reason();
  };
  CHECK(decode_reason({"\x00\x00\x00\x04", 4}) == "frame of 4 bytes");
  CHECK(decode_reason({"\x00\x03\x00\x00\x06\x00\x00\x00\x01", 9}) == "oversize frame of type 6");
  CHECK(decode_reason({"\x00\x00\x00\x06\x00\x00\x00\x00\x00\x00", 10}) == "request on stream 0");
  CHECK(decode_reason({"\x00\x00\x00\x06\x05\x00\x00\x00\x01\x00", 10}) == "frame of unknown type 5");
  CHECK(decode_reason({"\x00\x00\x00\x06\x06\x00\x00\x00\x01\x01", 10}) == "health check with broken fields");
}

}  // namespace
}  // namespace granitegap
