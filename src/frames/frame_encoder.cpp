#include "frames/frame_encoder.h"

#include <charconv>
#include <chrono>

#include "frames/wire_format.h"

namespace granitegap::frames {
namespace {

constexpr std::uint32_t kConnectionStream = 0;
constexpr int kHintDecimals = 4;

// Appends a frame header on construction and fills in the frame's length on destruction.
class FrameWriter {
 public:
  FrameWriter(std::string& out, FrameType type, std::uint32_t stream) : out_(out), start_(out.size()) {
    append_big_endian(out_, 0, kLengthBytes);
    append_big_endian(out_, std::uint32_t(type), kTypeBytes);
    append_big_endian(out_, stream, kStreamBytes);
  }
  ~FrameWriter() {
    const auto length = std::uint32_t(out_.size() - start_ - kLengthBytes);
    for (std::size_t i = 0; i < kLengthBytes; ++i)
      out_[start_ + i] = char(length >> (8 * (kLengthBytes - 1 - i)) & 0xff);
  }
  FrameWriter(const FrameWriter&) = delete;
  FrameWriter& operator=(const FrameWriter&) = delete;

 private:
  std::string& out_;
  std::size_t start_;
};

// Appends a list of fields: a count of one byte, then the name and value of each field.
class FieldWriter {
 public:
  explicit FieldWriter(std::string& out) : out_(out), count_position_(out.size()) { out_.push_back(0); }
  void add(std::string_view name, std::string_view value) {
    ++out_[count_position_];
    append_big_endian(out_, std::uint32_t(name.size()), kNameLengthBytes);
    out_ += name;
    append_big_endian(out_, std::uint32_t(value.size()), kValueLengthBytes);
    out_ += value;
  }

 private:
  std::string& out_;
  std::size_t count_position_;
};

std::string format_hint(double hint) {
  char text[32];
  const auto result = std::to_chars(text, text + sizeof text, hint, std::chars_format::fixed, kHintDecimals);
  return {text, result.ptr};
}

void add_rejection_fields(const edge::Response& answer, FieldWriter& fields) {
  const auto backoff = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after).count();
  if (backoff > 0) fields.add("backoff", std::to_string(backoff));
  if (answer.do_not_retry_elsewhere) fields.add("final", "1");
}

}  // namespace

void encode(const edge::Response& answer, std::string& out) {
  const FrameWriter frame(out, FrameType::response, answer.to.stream);
  append_big_endian(out, std::uint32_t(answer.outcome), 1);
  FieldWriter fields(out);
  if (answer.credit_hint) fields.add("hint", format_hint(*answer.credit_hint));
  if (answer.outcome == edge::Outcome::rejected) add_rejection_fields(answer, fields);
  if (answer.outcome != edge::Outcome::served || !answer.payload) return;
  const auto& payload = *answer.payload;
  if (!payload.present_parts.empty()) fields.add("parts", payload.present_parts);
  if (!payload.missing_parts.empty()) fields.add("missing", payload.missing_parts);
  out += payload.bytes;
}

void encode(const edge::HealthResponse& answer, std::string& out) {
  const FrameWriter frame(out, FrameType::health_response, answer.to.stream);
  append_big_endian(out, answer.healthy ? 0 : 1, 1);
  FieldWriter fields(out);
  if (answer.credit_hint) fields.add("hint", format_hint(*answer.credit_hint));
}

void encode_error(std::string_view reason, std::string& out) {
  const FrameWriter frame(out, FrameType::response, kConnectionStream);
  append_big_endian(out, std::uint32_t(edge::Outcome::failed), 1);
  const FieldWriter no_fields(out);
  out += reason;
}

void encode_goaway(std::string& out) { const FrameWriter frame(out, FrameType::goaway, kConnectionStream); }

}  // namespace granitegap::frames
