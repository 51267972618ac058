// The simulator's wire: decodes batches of events and encodes replies with actions. Frames are binary,
// little-endian and packed. Translation only; no state, any thread. A malformed batch is thrown as
// MalformedBatch, since nothing on the stream can be read after it.
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

/// An instance starts.
struct PowerOn {
  std::uint64_t seed = 0;
  std::string profile;  ///< its settings as key=value lines
};
/// An instance ends.
struct Halt {};
/// A timer fired; its gauge values are still in wire order.
struct TimerWithGauges {
  TimerToken token{};
  std::vector<float> gauges;
};
using Body = std::variant<PowerOn, Halt, TimerWithGauges, Event>;
struct Record {
  std::uint16_t instance = 0;
  Body body;
};
/// All events of one moment.
struct Batch {
  std::uint32_t number = 0;
  TimePoint clock;
  std::vector<Record> records;
};
struct Header {
  std::uint32_t number = 0;
  std::uint32_t length = 0;  ///< bytes after the header
  std::uint32_t records = 0;
  double clock_ms = 0;
};
inline constexpr std::size_t kHeaderBytes = 20;
inline constexpr const char* kHeaderExpected = "a batch header of 20 bytes";

/// Input that is no batch. what() is one line with all three fields.
class MalformedBatch : public std::runtime_error {
 public:
  MalformedBatch(std::optional<std::uint32_t> batch, std::size_t offset, std::string expected);
  [[nodiscard]] std::optional<std::uint32_t> batch() const { return batch_; }  ///< absent: not yet read
  [[nodiscard]] std::size_t offset() const { return offset_; }  ///< in bytes, from the start of the batch
  [[nodiscard]] const std::string& expected() const { return expected_; }

 private:
  std::optional<std::uint32_t> batch_;
  std::size_t offset_;
  std::string expected_;
};

/// Reads the first kHeaderBytes of a batch. Throws MalformedBatch.
[[nodiscard]] Header decode_header(std::string_view bytes);
/// Reads the `header.length` bytes after the header. Unknown event codes are skipped. Throws MalformedBatch.
[[nodiscard]] Batch decode_body(const Header& header, std::string_view body);

/// Collects the actions in answer to one batch.
class Reply {
 public:
  explicit Reply(std::uint32_t number) : number_(number) {}
  void add(std::uint16_t instance, const Action& action);
  /// The frame to send.
  [[nodiscard]] std::string finish() const;

 private:
  std::uint32_t number_;
  std::uint32_t count_ = 0;
  std::string body_;
};

}  // namespace granitegap::wire
