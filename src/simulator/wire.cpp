#include "simulator/wire.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <type_traits>

namespace granitegap::wire {
namespace {

static_assert(std::endian::native == std::endian::little, "fields are copied without byte-order conversion");

// Codes of the events in a batch.
enum EventCode : std::uint8_t {
  kPowerOn = 1,
  kIngress,
  kSettled,
  kNeeds,
  kDownstream,
  kLameDuck,
  kGone,
  kDeadlineHit,
  kHalt
};
// Codes of the actions in a reply.
enum ActionCode : std::uint8_t {
  kBegin = 1,
  kShed,
  kGiveUp,
  kSuspend,
  kGoCall,
  kOmit,
  kKeep,
  kErase,
  kEcho,
  kReadiness,
  kSay,
  kIdle,
  kSetTimer,
  kPrint
};
constexpr std::size_t kRecordHeaderBytes = 5;
constexpr std::size_t kMaxLogBytes = 65535;
constexpr double kMaxMilliseconds = 1e12;
constexpr Duration kMaxTimer = std::chrono::minutes(71);

// Codes for the outcome of a run or a call.
constexpr std::uint16_t kOk = 10;
constexpr std::uint16_t kRejected = 30;
constexpr std::uint16_t kTimedOut = 40;
constexpr std::uint16_t kUnreachable = 50;
constexpr std::uint16_t kCancelled = 70;
constexpr std::uint16_t kMoot = 80;
constexpr std::uint16_t kError = 20;

// Bits in the bitmap of an arrival.
constexpr unsigned kCostHintValid = 1;
constexpr unsigned kIsRetry = 2;

constexpr double kMaxMemoryKb = 1e9;
constexpr double kUnitsPerThousand = 1000.0;  // microseconds per millisecond; MemorySize units per kilobyte

// Formats a number with six significant digits, so that the text has a bounded length.
std::string short_text(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", value);
  return text;
}
std::string describe(std::optional<std::uint32_t> batch, std::size_t offset, const std::string& expected) {
  return "batch " + (batch ? std::to_string(*batch) : std::string("unknown")) + ", offset " +
         std::to_string(offset) + ": expected " + expected;
}

// Reads the fields of one record, or the records of one batch, in order. `base` is the offset of `bytes` in
// the batch. Throws MalformedBatch where the bytes end too early.
class Cursor {
 public:
  Cursor(std::uint32_t batch, std::string_view bytes, std::size_t base)
      : batch_(batch), bytes_(bytes), base_(base) {}
  std::size_t left() const { return bytes_.size() - at_; }
  std::size_t offset() const { return base_ + at_; }
  template <class T>
  T get(const char* what) {
    T value;
    std::memcpy(&value, take(sizeof(T), what).data(), sizeof(T));
    return value;
  }
  std::string_view take(std::size_t n, const char* what) {
    if (n > left()) throw MalformedBatch(batch_, offset(), what);
    at_ += n;
    return bytes_.substr(at_ - n, n);
  }
  // Returns zero for NaN, infinite and negative numbers, which count as absent; so does number().
  Duration duration(const char* what) {
    const double ms = get<double>(what);
    return std::isfinite(ms) && ms > 0
               ? Duration(std::llround(std::min(ms, kMaxMilliseconds) * kUnitsPerThousand))
               : Duration{};
  }
  double number(const char* what) {
    const float value = get<float>(what);
    return std::isfinite(value) && value > 0 ? double(value) : 0.0;
  }
  RequestId id() { return RequestId(get<std::uint32_t>("a request id (4 bytes)")); }

 private:
  std::uint32_t batch_;
  std::string_view bytes_;
  std::size_t base_, at_ = 0;
};

// Returns no value for a zero duration.
std::optional<Duration> nonzero(Duration d) { return d.count() > 0 ? std::optional(d) : std::nullopt; }

RunResult run_result(std::uint16_t code) {
  switch (code) {
    case kOk:
      return RunResult::ok;
    case kCancelled:
      return RunResult::cancelled;
    case kMoot:
      return RunResult::moot;
    default:
      return RunResult::error;
  }
}
// Maps an unknown outcome to connection_lost, because the call may have taken effect.
CallResult call_result(std::uint16_t code) {
  switch (code) {
    case kOk:
      return CallResult::ok;
    case kError:
      return CallResult::error;
    case kRejected:
      return CallResult::rejected;
    case kTimedOut:
      return CallResult::timed_out;
    case kUnreachable:
      return CallResult::unreachable;
    default:
      return CallResult::connection_lost;
  }
}

RequestArrived decode_arrival(Cursor& in) {
  RequestArrived arrival;
  arrival.id = in.id();
  arrival.class_id = ClassId(in.get<std::uint8_t>("a class (1 byte)"));
  arrival.tenant = TenantId(in.get<std::uint16_t>("a tenant (2 bytes)"));
  arrival.key = in.get<std::uint64_t>("an idempotency key (8 bytes)");
  arrival.caller_timeout = nonzero(in.duration("grace_ms"));
  const auto cost_hint = in.duration("hint_ms");
  arrival.memory = MemorySize(std::llround(std::min(in.number("kb"), kMaxMemoryKb) * kUnitsPerThousand));
  in.number("prio");  // the priority is not used
  const auto bits = in.get<std::uint8_t>("bitmap");
  if (bits & kCostHintValid) arrival.cost_hint = nonzero(cost_hint);
  arrival.is_retry = bits & kIsRetry;
  arrival.caller = CallerId(in.get<std::uint32_t>("who"));
  arrival.unread_wait = in.duration("queued_for_ms");
  if (const auto duplicate_of = in.get<std::uint32_t>("same_as"))
    arrival.duplicate_of = RequestId(duplicate_of);
  return arrival;
}

std::optional<Body> decode(std::uint8_t code, Cursor& in) {
  switch (code) {
    case kPowerOn: {
      PowerOn on{in.get<std::uint64_t>("a seed (8 bytes)"), {}};
      on.profile = in.take(in.get<std::uint32_t>("the size of the settings (4 bytes)"),
                           "as many bytes of settings as their size field gives");
      return on;
    }
    case kHalt:
      return Halt{};
    case kIngress:
      return Event(decode_arrival(in));
    case kSettled: {
      const auto id = in.id();
      const auto result = run_result(in.get<std::uint16_t>("an outcome (2 bytes)"));
      return Event(RunEnded{id, result, in.duration("a duration (8 bytes)")});
    }
    case kNeeds:
      return Event(CallNeeded{in.id()});
    case kDownstream: {
      const auto id = in.id();
      const auto result = call_result(in.get<std::uint16_t>("an outcome (2 bytes)"));
      return Event(CallEnded{id, result, in.duration("a duration (8 bytes)")});
    }
    case kLameDuck:
      return Event(DrainStarted{in.duration("a drain grace period (8 bytes)")});
    case kGone:
      return Event(RequestAbandoned{in.id()});
    case kDeadlineHit: {
      TimerWithGauges timer{TimerToken(in.get<std::uint32_t>("a timer token (4 bytes)")), {}};
      const std::size_t n = in.get<std::uint8_t>("a gauge count (1 byte)");
      for (std::size_t i = 0; i < n; ++i) timer.gauges.push_back(in.get<float>("a gauge value (4 bytes)"));
      return timer;
    }
    default:
      return std::nullopt;  // the caller skips unknown events by their size
  }
}

// Appends a value in native byte order, which is little-endian.
template <class T>
void put(std::string& out, T value) {
  const auto at = out.size();
  out.resize(at + sizeof(T));
  std::memcpy(out.data() + at, &value, sizeof(T));
}
// Appends a duration in milliseconds; negative durations become 0.
void put_ms(std::string& out, Duration d) {
  put(out, double(std::max<Duration::rep>(d.count(), 0)) / kUnitsPerThousand);
}

// Appends the fields of an action to `fields` and returns its code.
struct Encoder {
  std::string fields;
  std::uint8_t with_id(std::uint8_t code, RequestId id) {
    put(fields, std::uint32_t(id));
    return code;
  }
  std::uint8_t operator()(const Run& action) { return with_id(kBegin, action.id); }
  std::uint8_t operator()(const Reject& action) {
    with_id(kShed, action.id);
    put(fields, std::uint8_t(action.do_not_retry_elsewhere));
    put_ms(fields, action.retry_after);
    return kShed;
  }
  std::uint8_t operator()(const Fail& action) { return with_id(kGiveUp, action.id); }
  std::uint8_t operator()(const Suspend& action) { return with_id(kSuspend, action.id); }
  std::uint8_t operator()(const Call& action) {
    with_id(kGoCall, action.id);
    put_ms(fields, action.timeout);
    return kGoCall;
  }
  std::uint8_t operator()(const SkipCall& action) { return with_id(kOmit, action.id); }
  std::uint8_t operator()(const CacheResult& action) {
    with_id(kKeep, action.id);
    put_ms(fields, action.ttl);
    return kKeep;
  }
  std::uint8_t operator()(const EvictResult& action) { return with_id(kErase, action.id); }
  std::uint8_t operator()(const ReuseResult& action) { return with_id(kEcho, action.id); }
  std::uint8_t operator()(const SetHealth& action) {
    put(fields, std::uint8_t(action.answer_from_state));
    put(fields, std::uint8_t(action.healthy));
    return kReadiness;
  }
  std::uint8_t operator()(const AdvertiseCredit& action) {
    put(fields, std::isfinite(action.credit) && action.credit > 0 ? float(action.credit) : 0.0F);
    return kSay;
  }
  std::uint8_t operator()(const CloseIdleConnections& action) {
    put_ms(fields, action.idle_for);
    return kIdle;
  }
  std::uint8_t operator()(const SetTimer& action) {
    put_ms(fields, std::min(action.delay, kMaxTimer));
    put(fields, std::uint32_t(action.token));
    return kSetTimer;
  }
  std::uint8_t operator()(const Log& action) {
    const auto message = std::string_view(action.message).substr(0, kMaxLogBytes);
    put(fields, std::uint16_t(message.size()));
    fields += message;
    return kPrint;
  }
};

}  // namespace

MalformedBatch::MalformedBatch(std::optional<std::uint32_t> batch, std::size_t offset, std::string expected)
    : std::runtime_error(describe(batch, offset, expected)),
      batch_(batch),
      offset_(offset),
      expected_(std::move(expected)) {}

Header decode_header(std::string_view bytes) {
  Cursor in(0, bytes, 0);
  Header header;
  header.number = in.get<std::uint32_t>(kHeaderExpected);
  header.length = in.get<std::uint32_t>(kHeaderExpected);
  header.clock_ms = in.get<double>(kHeaderExpected);
  header.records = in.get<std::uint32_t>(kHeaderExpected);
  if (!std::isfinite(header.clock_ms) || header.clock_ms < 0 || header.clock_ms > kMaxMilliseconds)
    throw MalformedBatch(header.number, 8,
                         "a finite clock from 0 to 1e12 ms, got " + short_text(header.clock_ms));
  if (std::uint64_t(header.records) * kRecordHeaderBytes > header.length)
    throw MalformedBatch(header.number, 16,
                         "a record count that fits into " + std::to_string(header.length) +
                             " bytes at 5 bytes or more per record, got " + std::to_string(header.records));
  return header;
}

Batch decode_body(const Header& header, std::string_view body) {
  Batch batch{header.number, TimePoint(Duration(std::llround(header.clock_ms * kUnitsPerThousand))), {}};
  Cursor in(header.number, body, kHeaderBytes);
  for (std::uint32_t i = 0; i < header.records; ++i) {
    const auto code = in.get<std::uint8_t>("a record code (1 byte)");
    const auto size = in.get<std::uint32_t>("a record size (4 bytes)");
    const auto at = in.offset();
    Cursor fields(header.number, in.take(size, "as many bytes as the record size gives"), at);
    if (code < kPowerOn || code > kHalt) continue;
    const auto instance = fields.get<std::uint16_t>("an instance number (2 bytes)");
    if (auto decoded = decode(code, fields)) batch.records.push_back({instance, std::move(*decoded)});
  }
  if (in.left() != 0)
    throw MalformedBatch(header.number, in.offset(),
                         "the end of the batch after " + std::to_string(header.records) + " records, got " +
                             std::to_string(in.left()) + " more bytes");
  return batch;
}

void Reply::add(std::uint16_t instance, const Action& action) {
  Encoder encoder;
  const auto code = std::visit(encoder, action);
  put(body_, code);
  put(body_, std::uint32_t(encoder.fields.size() + sizeof instance));
  put(body_, instance);
  body_ += encoder.fields;
  ++count_;
}

std::string Reply::finish() const {
  std::string out;
  put(out, number_);
  put(out, count_);
  put(out, std::uint32_t(body_.size()));
  return out + body_;
}

}  // namespace granitegap::wire
