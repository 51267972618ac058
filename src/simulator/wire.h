// The simulator's wire format: decodes batches of events and encodes replies with actions. Frames are binary,
// little-endian and packed. Decoding keeps no state and can run on any thread. A malformed batch
// throws MalformedBatch, because the start of the next batch on the stream is unknown after it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::wire {

/// Starts an instance, or restarts it if it is running.
struct PowerOn {
  std::uint64_t seed = 0;
  std::string profile;  ///< settings of the instance as key=value lines
};
/// Ends an instance.
struct Halt {};
/// Reports that a timer fired, with the gauge values in the order of the instance's `gauges` setting.
struct TimerWithGauges {
  TimerToken token{};
  std::vector<float> gauges;
};
/// Decoded content of a record.
using Body = std::variant<PowerOn, Halt, TimerWithGauges, Event>;
/// One event for one instance.
struct Record {
  std::uint16_t instance = 0;
  Body body;
};
/// All events that occur at the same time.
struct Batch {
  std::uint32_t number = 0;
  TimePoint clock;
  std::vector<Record> records;
};
/// Header of a batch.
struct Header {
  std::uint32_t number = 0;
  std::uint32_t length = 0;  ///< in bytes, without the header
  std::uint32_t records = 0;
  double clock_ms = 0;
};
inline constexpr std::size_t kHeaderBytes = 20;
inline constexpr const char* kHeaderExpected = "a batch header of 20 bytes";

/// Thrown for input that is not a valid batch. what() is one line with the batch number, the offset and what
/// was expected there.
class MalformedBatch : public std::runtime_error {
 public:
  MalformedBatch(std::optional<std::uint32_t> batch, std::size_t offset, std::string expected);
  [[nodiscard]] std::optional<std::uint32_t> batch() const { return batch_; }  ///< absent if not yet read
  [[nodiscard]] std::size_t offset() const { return offset_; }  ///< in bytes, from the start of the batch
  [[nodiscard]] const std::string& expected() const { return expected_; }

 private:
  std::optional<std::uint32_t> batch_;
  std::size_t offset_;
  std::string expected_;
};

/// Decodes the first kHeaderBytes of a batch. Throws MalformedBatch.
[[nodiscard]] Header decode_header(std::string_view bytes);
/// Decodes the `header.length` bytes after the header. Skips records with unknown event codes. Throws
/// MalformedBatch.
[[nodiscard]] Batch decode_body(const Header& header, std::string_view body);

/// Encodes the reply to one batch.
class Reply {
 public:
  explicit Reply(std::uint32_t number) : number_(number) {}
  /// Appends an action of an instance.
  void add(std::uint16_t instance, const Action& action);
  /// Returns the encoded frame: a header followed by the actions in the order in which they were added.
  [[nodiscard]] std::string finish() const;

 private:
  std::uint32_t number_;
  std::uint32_t count_ = 0;
  std::string body_;
};

}  // namespace granitegap::wire
