#include "simulator/wire.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstring>
#include <type_traits>

namespace granitegap::wire {
namespace {

static_assert(std::endian::native == std::endian::little, "fields are copied as they lie");

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
constexpr std::size_t kMaxText = 65535;
constexpr double kMaxMilliseconds = 1e12;
constexpr Duration kMaxTimer = std::chrono::minutes(71);

[[noreturn]] void malformed(std::uint32_t batch, std::size_t offset, const std::string& expected) {
  throw Malformed("batch " + std::to_string(batch) + ", offset " + std::to_string(offset) + ": expected " +
                  expected);
}

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
    if (n > left()) malformed(batch_, offset(), what);
    at_ += n;
    return bytes_.substr(at_ - n, n);
  }
  // NaN, infinite and negative numbers count as absent.
  Duration time(const char* what) {
    const double ms = get<double>(what);
    return std::isfinite(ms) && ms > 0 ? Duration(std::llround(std::min(ms, kMaxMilliseconds) * 1000.0))
                                       : Duration{};
  }
  double number(const char* what) {
    const float value = get<float>(what);
    return std::isfinite(value) && value > 0 ? double(value) : 0.0;
  }
  RequestId id() { return RequestId(get<std::uint32_t>("a request id")); }

 private:
  std::uint32_t batch_;
  std::string_view bytes_;
  std::size_t base_, at_ = 0;
};

std::optional<Duration> present(Duration d) { return d.count() > 0 ? std::optional(d) : std::nullopt; }

RunResult run_result(std::uint16_t code) {
  switch (code) {
    case 10:
      return RunResult::ok;
    case 70:
      return RunResult::cancelled;
    case 80:
      return RunResult::moot;
    default:
      return RunResult::error;
  }
}
// An unknown outcome counts as one that may have had its effect.
CallResult call_result(std::uint16_t code) {
  switch (code) {
    case 10:
      return CallResult::ok;
    case 20:
      return CallResult::error;
    case 30:
      return CallResult::rejected;
    case 40:
      return CallResult::timed_out;
    case 50:
      return CallResult::unreachable;
    default:
      return CallResult::connection_lost;
  }
}

RequestArrived ingress(Cursor& in) {
  RequestArrived r;
  r.id = in.id();
  r.class_id = ClassId(in.get<std::uint8_t>("a class"));
  r.tenant = TenantId(in.get<std::uint16_t>("a tenant"));
  r.key = in.get<std::uint64_t>("a key");
  r.caller_timeout = present(in.time("grace_ms"));
  const auto hint = in.time("hint_ms");
  r.memory = MemorySize(std::llround(std::min(in.number("kb"), 1e9) * 1000.0));
  in.number("prio");
  const auto bits = in.get<std::uint8_t>("bitmap");
  if (bits & 1) r.cost_hint = present(hint);
  r.is_retry = bits & 2;
  r.caller = CallerId(in.get<std::uint32_t>("who"));
  r.unread_wait = in.time("queued_for_ms");
  if (const auto same = in.get<std::uint32_t>("same_as")) r.duplicate_of = RequestId(same);
  return r;
}

std::optional<Body> decode(std::uint8_t code, Cursor& in) {
  switch (code) {
    case kPowerOn: {
      PowerOn on{in.get<std::uint64_t>("a seed"), {}};
      on.profile = in.take(in.get<std::uint32_t>("the settings' size"), "the settings");
      return on;
    }
    case kHalt:
      return Halt{};
    case kIngress:
      return Event(ingress(in));
    case kSettled: {
      const auto id = in.id();
      const auto result = run_result(in.get<std::uint16_t>("an outcome"));
      return Event(RunEnded{id, result, in.time("a duration")});
    }
    case kNeeds:
      return Event(CallNeeded{in.id()});
    case kDownstream: {
      const auto id = in.id();
      const auto result = call_result(in.get<std::uint16_t>("an outcome"));
      return Event(CallEnded{id, result, in.time("a duration")});
    }
    case kLameDuck:
      return Event(DrainStarted{in.time("a time of grace")});
    case kGone:
      return Event(RequestAbandoned{in.id()});
    case kDeadlineHit: {
      Gauged timer{TimerToken(in.get<std::uint32_t>("a timer's value")), {}};
      const std::size_t n = in.get<std::uint8_t>("a count of gauges");
      for (std::size_t i = 0; i < n; ++i) timer.gauges.push_back(in.get<float>("a gauge"));
      return timer;
    }
    default:
      return std::nullopt;  // an unknown event is skipped by its length
  }
}

template <class T>
void put(std::string& out, T value) {
  const auto at = out.size();
  out.resize(at + sizeof(T));
  std::memcpy(out.data() + at, &value, sizeof(T));
}
void put_ms(std::string& out, Duration d) {
  put(out, double(std::max<Duration::rep>(d.count(), 0)) / 1000.0);
}

struct Encoder {
  std::uint16_t instance;
  std::string fields;
  std::uint8_t named(std::uint8_t code, RequestId id) {
    put(fields, std::uint32_t(id));
    return code;
  }
  std::uint8_t operator()(const Run& a) { return named(kBegin, a.id); }
  std::uint8_t operator()(const Reject& a) {
    named(kShed, a.id);
    put(fields, std::uint8_t(a.do_not_retry_elsewhere));
    put_ms(fields, a.retry_after);
    return kShed;
  }
  std::uint8_t operator()(const Fail& a) { return named(kGiveUp, a.id); }
  std::uint8_t operator()(const Suspend& a) { return named(kSuspend, a.id); }
  std::uint8_t operator()(const Call& a) {
    named(kGoCall, a.id);
    put_ms(fields, a.timeout);
    return kGoCall;
  }
  std::uint8_t operator()(const SkipCall& a) { return named(kOmit, a.id); }
  std::uint8_t operator()(const CacheResult& a) {
    named(kKeep, a.id);
    put_ms(fields, a.ttl);
    return kKeep;
  }
  std::uint8_t operator()(const EvictResult& a) { return named(kErase, a.id); }
  std::uint8_t operator()(const ReuseResult& a) { return named(kEcho, a.id); }
  std::uint8_t operator()(const SetHealth& a) {
    put(fields, std::uint8_t(a.answer_from_state));
    put(fields, std::uint8_t(a.healthy));
    return kReadiness;
  }
  std::uint8_t operator()(const AdvertiseCredit& a) {
    put(fields, std::isfinite(a.credit) && a.credit > 0 ? float(a.credit) : 0.0F);
    return kSay;
  }
  std::uint8_t operator()(const CloseIdleConnections& a) {
    put_ms(fields, a.idle_for);
    return kIdle;
  }
  std::uint8_t operator()(const SetTimer& a) {
    put_ms(fields, std::min(a.delay, kMaxTimer));
    put(fields, std::uint32_t(a.token));
    return kSetTimer;
  }
  std::uint8_t operator()(const Log& a) {
    const auto text = std::string_view(a.message).substr(0, kMaxText);
    put(fields, std::uint16_t(text.size()));
    fields += text;
    return kPrint;
  }
};

}  // namespace

Header decode_header(std::string_view bytes) {
  Cursor in(0, bytes, 0);
  Header h;
  h.number = in.get<std::uint32_t>("a batch header of 20 bytes");
  h.length = in.get<std::uint32_t>("a batch header of 20 bytes");
  h.clock_ms = in.get<double>("a batch header of 20 bytes");
  h.records = in.get<std::uint32_t>("a batch header of 20 bytes");
  if (!std::isfinite(h.clock_ms) || h.clock_ms < 0 || h.clock_ms > kMaxMilliseconds)
    malformed(h.number, 8, "a finite clock that is not negative");
  if (std::uint64_t(h.records) * kRecordHeaderBytes > h.length)
    malformed(h.number, 16, "a record count that fits the length");
  return h;
}

Batch decode_body(const Header& header, std::string_view body) {
  Batch batch{header.number, TimePoint(Duration(std::llround(header.clock_ms * 1000.0))), {}};
  Cursor in(header.number, body, kHeaderBytes);
  for (std::uint32_t i = 0; i < header.records; ++i) {
    const auto code = in.get<std::uint8_t>("a record");
    const auto size = in.get<std::uint32_t>("a record's size");
    const auto at = in.offset();
    Cursor fields(header.number, in.take(size, "as many bytes as the record's size says"), at);
    if (code < kPowerOn || code > kHalt) continue;
    const auto instance = fields.get<std::uint16_t>("an instance");
    if (auto decoded = decode(code, fields)) batch.records.push_back({instance, std::move(*decoded)});
  }
  if (in.left() != 0) malformed(header.number, in.offset(), "the end of the batch");
  return batch;
}

void Reply::add(std::uint16_t instance, const Action& action) {
  Encoder encoder{instance, {}};
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
