#include "typed_config/units.h"

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <system_error>

namespace granitegap::typed_config {
namespace {

constexpr double kMaxAmount = 1e15;  // microseconds or bytes
constexpr std::uint64_t kKibibyte = 1 << 10;
constexpr std::uint64_t kMebibyte = 1 << 20;
constexpr std::uint64_t kGibibyte = 1 << 30;

// A unit and its size in the smallest unit.
struct Unit {
  std::string_view name;
  double factor;
};

// Parses a number with one of `units`. Returns the amount in the smallest unit, rounded.
std::optional<std::int64_t> parse_amount(std::string_view text, std::initializer_list<Unit> units) {
  const auto number_length = text.find_first_not_of("0123456789.");
  if (number_length == 0 || number_length == std::string_view::npos) return std::nullopt;
  const auto* number_end = text.data() + number_length;
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), number_end, number);
  if (error != std::errc{} || end != number_end) return std::nullopt;
  const auto unit_name = text.substr(number_length);
  for (const auto& unit : units) {
    if (unit_name != unit.name) continue;
    const auto amount = number * unit.factor;
    if (amount <= kMaxAmount) return std::llround(amount);
  }
  return std::nullopt;
}

}  // namespace

std::optional<Duration> parse_duration(std::string_view text) {
  const auto microseconds =
      parse_amount(text, {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}});
  if (!microseconds) return std::nullopt;
  return Duration(*microseconds);
}

std::optional<ByteSize> parse_byte_size(std::string_view text) {
  const auto bytes = parse_amount(
      text, {{"B", 1}, {"KiB", double(kKibibyte)}, {"MiB", double(kMebibyte)}, {"GiB", double(kGibibyte)}});
  if (!bytes) return std::nullopt;
  return ByteSize(*bytes);
}

std::string format_duration(Duration duration) {
  constexpr std::int64_t kPerMillisecond = 1000;
  constexpr std::int64_t kPerSecond = 1'000'000;
  const auto microseconds = duration.count();
  if (microseconds % kPerSecond == 0) return std::to_string(microseconds / kPerSecond) + "s";
  if (microseconds % kPerMillisecond == 0) return std::to_string(microseconds / kPerMillisecond) + "ms";
  return std::to_string(microseconds) + "us";
}

std::string format_byte_size(ByteSize size) {
  const auto bytes = std::uint64_t(size);
  if (bytes && bytes % kMebibyte == 0) return std::to_string(bytes / kMebibyte) + "MiB";
  if (bytes && bytes % kKibibyte == 0) return std::to_string(bytes / kKibibyte) + "KiB";
  return std::to_string(bytes) + "B";
}

}  // namespace granitegap::typed_config
