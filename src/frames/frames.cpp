#include "frames/frames.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace granitegap::frames {
namespace {

enum Type : std::uint8_t { kRequest = 0, kAnswer = 1, kCheck = 6, kCheckAnswer = 7, kGoAway = 9 };
constexpr std::size_t kLengthBytes = 4, kHeadBytes = 5;  // type and stream follow the length
constexpr std::size_t kMaxFrame = 262144;
constexpr std::size_t kMaxKept = 8192;  // a whole request with its fields is well under this
constexpr std::size_t kCompactFrom = 4096;
constexpr std::size_t kMaxToken = 64;
constexpr double kMaxMemoryKb = 2000;
constexpr double kMaxCostMs = 3.6e6;  // an hour on one core: no request is worth more

std::uint32_t big_endian(std::string_view bytes) {
  std::uint32_t value = 0;
  for (const char c : bytes) value = value << 8 | std::uint8_t(c);
  return value;
}

void put(std::string& to, std::uint32_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) to.push_back(char(value >> (8 * i) & 0xff));
}

template <class T>
std::optional<T> to_number(std::string_view text, int base) {
  T value{};
  const auto* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value, base);
  if (error != std::errc{} || at != end) return std::nullopt;
  return value;
}
// Digits, and a fraction where one is due. Guards against what the language reads beyond that: signs,
// exponents, infinities.
bool plain_digits(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}
std::optional<double> to_real(std::string_view text) {
  const auto point = text.find('.');
  if (!plain_digits(text.substr(0, point))) return std::nullopt;
  if (point != std::string_view::npos && !plain_digits(text.substr(point + 1))) return std::nullopt;
  double value = 0;
  const auto* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || at != end || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Reads the fields off the front of the payload; false when they run past its end.
template <class Use>
bool read_fields(std::string_view& payload, Use use) {
  if (payload.empty()) return false;
  const auto count = std::uint8_t(payload.front());
  payload.remove_prefix(1);
  const auto take = [&](std::size_t size_bytes) -> std::optional<std::string_view> {
    if (payload.size() < size_bytes) return std::nullopt;
    const std::size_t size = big_endian(payload.substr(0, size_bytes));
    if (payload.size() - size_bytes < size) return std::nullopt;
    const auto found = payload.substr(size_bytes, size);
    payload.remove_prefix(size_bytes + size);
    return found;
  };
  for (int i = 0; i < count; ++i) {
    const auto name = take(1);
    const auto value = name ? take(2) : std::nullopt;
    if (!value) return false;
    use(*name, *value);
  }
  return true;
}

struct FieldWriter {
  explicit FieldWriter(std::string& out) : to(out), count_at(out.size()) { to.push_back(0); }
  void add(std::string_view name, std::string_view value) {
    ++to[count_at];
    put(to, std::uint32_t(name.size()), 1);
    to += name;
    put(to, std::uint32_t(value.size()), 2);
    to += value;
  }
  std::string& to;
  std::size_t count_at;
};

std::string number_text(double value) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, value, std::chars_format::fixed, 4).ptr;
  return {text, end};
}

class FrameWriter {
 public:
  FrameWriter(std::string& out, Type type, std::uint32_t stream) : to_(out), start_(out.size()) {
    put(to_, 0, kLengthBytes);
    put(to_, type, 1);
    put(to_, stream, 4);
  }
  ~FrameWriter() {
    const auto length = std::uint32_t(to_.size() - start_ - kLengthBytes);
    for (std::size_t i = 0; i < kLengthBytes; ++i)
      to_[start_ + i] = char(length >> (8 * (kLengthBytes - 1 - i)) & 0xff);
  }
  FrameWriter(const FrameWriter&) = delete;
  FrameWriter& operator=(const FrameWriter&) = delete;

 private:
  std::string& to_;
  std::size_t start_;
};

}  // namespace

bool StreamIdTracker::take(std::uint32_t stream) {
  if (stream <= all_up_to_ || !later_.insert(stream).second) return false;
  while (!later_.empty() && (*later_.begin() == all_up_to_ + 1 || later_.size() > kMaxApart)) {
    all_up_to_ = *later_.begin();
    later_.erase(later_.begin());
  }
  return true;
}

void FrameDecoder::add(std::string_view bytes) {
  const auto skipped = std::min(skip_, bytes.size());
  skip_ -= skipped;
  bytes.remove_prefix(skipped);
  if (at_ >= kCompactFrom) {
    buffer_.erase(0, at_);
    at_ = 0;
  }
  buffer_ += bytes;
}

// Guards against connections that hold for good the room their last request took.
void FrameDecoder::release() {
  if (at_ < buffer_.size()) return;
  std::string().swap(buffer_);
  at_ = 0;
}

std::optional<Message> FrameDecoder::next() {
  if (broken_) return std::nullopt;
  const auto left = std::string_view(buffer_).substr(at_);
  if (left.empty()) release();
  if (left.size() < kLengthBytes) return std::nullopt;
  const std::size_t length = big_endian(left.substr(0, kLengthBytes));
  if (length < kHeadBytes || length > kMaxFrame) {
    broken_ = true;
    return ProtocolError{"frame of " + std::to_string(length) + " bytes"};
  }
  if (left.size() < kLengthBytes + kHeadBytes) return std::nullopt;
  const auto type = std::uint8_t(left[kLengthBytes]);
  const auto stream = big_endian(left.substr(kLengthBytes + 1, 4));
  const auto whole = kLengthBytes + length;
  if (whole > kMaxKept) {
    const auto here = std::min(whole, left.size());
    skip_ = whole - here;
    at_ += here;
    if (type == kRequest && stream != 0) return MalformedRequest{stream, "request too large"};
    broken_ = true;
    return ProtocolError{"oversize frame of type " + std::to_string(type)};
  }
  if (left.size() < whole) return std::nullopt;
  at_ += whole;
  auto message = decode(type, stream, left.substr(kLengthBytes + kHeadBytes, length - kHeadBytes));
  broken_ = std::holds_alternative<ProtocolError>(message);
  return message;
}

Message FrameDecoder::decode(std::uint8_t type, std::uint32_t stream, std::string_view payload) const {
  if (type == kRequest)
    return stream ? decode_request(stream, payload) : Message(ProtocolError{"request on stream 0"});
  if (type != kCheck) return ProtocolError{"frame of unknown type " + std::to_string(type)};
  edge::HealthCheck check{{peer_, stream}, false};
  const bool whole = read_fields(payload, [&](std::string_view name, std::string_view value) {
    if (name == "full") check.full = value == "1";
  });
  if (!whole) return ProtocolError{"health check with broken fields"};
  return check;
}

Message FrameDecoder::decode_request(std::uint32_t stream, std::string_view payload) const {
  edge::Request r;
  r.from = {peer_, stream};
  r.tenant = catalog_->find_tenant({});
  std::optional<ClassId> cls;
  bool has_time = false, has_memory = false;
  const char* bad = nullptr;
  const auto need = [&](bool good, const char* name) {
    if (!good) bad = name;
  };
  const bool whole = read_fields(payload, [&](std::string_view name, std::string_view value) {
    if (name == "method") {
      cls = catalog_->find_class(value);
      need(cls.has_value(), "method");
    } else if (name == "rid") {
      need(value.size() == 16 && to_number<std::uint64_t>(value, 16), "rid");
      r.rid = value;
    } else if (name == "t0") {
      const auto ms = to_number<std::int64_t>(value, 10);
      need(plain_digits(value) && ms && *ms < (std::int64_t(1) << 50), "t0");
      has_time = true;
      if (!bad) r.reached = edge::UnixTime(std::chrono::milliseconds(*ms));
    } else if (name == "peer") {
      const auto number = to_number<std::uint32_t>(value, 10);
      need(plain_digits(value) && number, "peer");
      r.caller = CallerId(number.value_or(0));
    } else if (name == "acct") {
      // Guards against serving what is no tenant's; a site without tenants names none.
      r.tenant = catalog_->find_tenant(value);
      need(catalog_->tenants.empty() || std::size_t(r.tenant) < catalog_->tenants.size(), "acct");
    } else if (name == "est") {
      const auto ms = to_real(value);
      need(ms && *ms < kMaxCostMs, "est");
      if (!bad && *ms > 0) r.cost_hint = Duration(std::llround(*ms * 1000));
    } else if (name == "mem") {
      const auto kb = to_real(value);
      need(kb && *kb > 0 && *kb < kMaxMemoryKb, "mem");
      has_memory = true;
      if (!bad) r.memory = MemorySize(std::llround(*kb * 1000));
    } else if (name == "prio") {
      const auto rank = to_real(value);  // nothing here goes by it; one out of range spoils the request
      need(rank && *rank < 1, "prio");
    } else if (name == "token") {
      need(!value.empty() && value.size() <= kMaxToken, "token");
      r.token = value;
    } else if (name == "obj") {
      const auto object = to_number<std::uint64_t>(value, 16);
      need(object.has_value(), "obj");
      r.read = object.value_or(0);
    }
  });
  if (!whole) return MalformedRequest{stream, "broken fields"};
  if (!bad && !cls) bad = "method";
  if (!bad && r.rid.empty()) bad = "rid";
  if (!bad && !has_time) bad = "t0";
  if (!bad && !has_memory) bad = "mem";
  // Without a token nothing could tell its tries apart, so it could run twice.
  if (!bad && catalog_->is_keyed(*cls) && r.token.empty()) bad = "token";
  if (bad) return MalformedRequest{stream, std::string("missing or unusable field ") + bad};
  if (payload.size() > kMaxBodyBytes) return MalformedRequest{stream, "body too large"};
  r.cls = *cls;
  if (!catalog_->is_keyed(r.cls)) r.token.clear();
  r.body = payload;
  return r;
}

void encode(const edge::Answer& answer, std::string& to) {
  FrameWriter frame(to, kAnswer, answer.to.stream);
  put(to, std::uint32_t(answer.outcome), 1);
  FieldWriter fields(to);
  if (answer.hint) fields.add("hint", number_text(*answer.hint));
  if (answer.outcome == edge::Outcome::refused) {
    const auto backoff = std::chrono::ceil<std::chrono::milliseconds>(answer.backoff).count();
    if (backoff > 0) fields.add("backoff", std::to_string(backoff));
    if (answer.last) fields.add("final", "1");
  }
  if (answer.outcome != edge::Outcome::served || !answer.result) return;
  if (!answer.result->parts.empty()) fields.add("parts", answer.result->parts);
  if (!answer.result->missing.empty()) fields.add("missing", answer.result->missing);
  to += answer.result->bytes;
}

void encode(const edge::HealthAnswer& answer, std::string& to) {
  FrameWriter frame(to, kCheckAnswer, answer.to.stream);
  put(to, answer.good ? 0 : 1, 1);
  FieldWriter fields(to);
  if (answer.hint) fields.add("hint", number_text(*answer.hint));
}

void encode_error(std::string_view why, std::string& to) {
  FrameWriter frame(to, kAnswer, 0);
  put(to, std::uint32_t(edge::Outcome::failed), 1);
  FieldWriter fields(to);
  to += why;
}

void encode_goaway(std::string& to) { FrameWriter frame(to, kGoAway, 0); }

}  // namespace granitegap::frames
