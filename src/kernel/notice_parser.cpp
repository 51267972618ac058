#include "kernel/notice_parser.h"

#include <charconv>
#include <chrono>
#include <cmath>
#include <span>
#include <system_error>
#include <utility>
#include <vector>

namespace granitegap::kernel {
namespace {

constexpr std::size_t kMaxPayloadBytes = 262144;  // far above the protocol's limit of 4 KiB
constexpr std::size_t kMaxWords = 40;
constexpr double kMaxMilliseconds = 1e12;

using Words = std::span<const std::string_view>;

std::vector<std::string_view> split_words(std::string_view line) {
  std::vector<std::string_view> words;
  while (!line.empty() && words.size() < kMaxWords) {
    const auto end = line.find(' ');
    if (end != 0) words.push_back(line.substr(0, end));
    line = end == std::string_view::npos ? std::string_view{} : line.substr(end + 1);
  }
  return words;
}

// Parses all of `text` as a number; absent if it is not one or is out of range.
template <class T>
std::optional<T> parse_number(std::string_view text) {
  T value{};
  const auto* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc{} || end != text_end) return std::nullopt;
  return value;
}

std::optional<double> parse_milliseconds(std::string_view text) {
  const auto value = parse_number<double>(text);
  if (!value || !std::isfinite(*value) || *value < 0 || *value > kMaxMilliseconds) return std::nullopt;
  return value;
}

std::optional<std::size_t> parse_payload_bytes(std::string_view text) {
  const auto bytes = parse_number<std::size_t>(text);
  if (!bytes || *bytes > kMaxPayloadBytes) return std::nullopt;
  return bytes;
}

std::optional<edge::RunOutcome> parse_run_outcome(std::string_view word) {
  if (word == "OK") return edge::RunOutcome::ok;
  if (word == "ERROR") return edge::RunOutcome::error;
  if (word == "STOPPED") return edge::RunOutcome::stopped;
  if (word == "MOOT") return edge::RunOutcome::never_ran;
  return std::nullopt;
}

edge::CommandKind parse_command_kind(std::string_view word) {
  if (word == "SCHED") return edge::CommandKind::start;
  if (word == "RESCHED") return edge::CommandKind::resume;
  if (word == "PREEMPT") return edge::CommandKind::stop;
  return edge::CommandKind::other;
}

// REAP SEQUENCE RID OUTCOME MILLISECONDS BYTES, followed by the run's result of BYTES bytes.
std::optional<ParsedLine> parse_reap(Words words) {
  if (words.size() != 6) return std::nullopt;
  const auto sequence = parse_number<std::uint64_t>(words[1]);
  const auto outcome = parse_run_outcome(words[3]);
  const auto milliseconds = parse_milliseconds(words[4]);
  const auto bytes = parse_payload_bytes(words[5]);
  if (!sequence || !outcome || !milliseconds || !bytes) return std::nullopt;
  edge::RunReport report{std::string(words[2]), *outcome, Duration(std::llround(*milliseconds * 1000)),
                         std::string{}};
  return ParsedLine{{*sequence, std::move(report)}, bytes};
}

// IOREQ SEQUENCE RID BYTES, followed by a payload of BYTES bytes.
//
// Missing from the protocol's description, but sent if the settings name a downstream. It must be accepted:
// if the connection failed on it, the next one would be replayed the same notice and fail again.
std::optional<ParsedLine> parse_ioreq(Words words) {
  if (words.size() != 4) return std::nullopt;
  const auto sequence = parse_number<std::uint64_t>(words[1]);
  const auto bytes = parse_payload_bytes(words[3]);
  if (!sequence || !bytes) return std::nullopt;
  return ParsedLine{{*sequence, edge::DependencyCallRequested{std::string(words[2])}}, bytes};
}

// INFO TAG GAUGE..., the answer to a SYSINFO request.
std::optional<ParsedLine> parse_info(Words words) {
  if (words.size() < 2) return std::nullopt;
  SystemInfo info{std::string(words[1]), {}};
  for (const auto word : words.subspan(2)) {
    const auto value = parse_number<float>(word);
    if (!value) return std::nullopt;
    info.gauges.values.push_back(*value);
  }
  return ParsedLine{{0, std::move(info)}, std::nullopt};
}

// DMESG SEQUENCE ..., a remark of which only the sequence number is used.
std::optional<ParsedLine> parse_dmesg(Words words) {
  if (words.size() < 2) return std::nullopt;
  const auto sequence = parse_number<std::uint64_t>(words[1]);
  if (!sequence) return std::nullopt;
  return ParsedLine{{*sequence, IgnoredNotice{}}, std::nullopt};
}

// EINVAL COMMAND [RID] ..., the rejection of a command.
std::optional<ParsedLine> parse_einval(Words words) {
  if (words.size() < 2) return std::nullopt;
  const auto rid = words.size() > 2 ? std::string(words[2]) : std::string{};
  return ParsedLine{{0, edge::CommandRejected{parse_command_kind(words[1]), rid}}, std::nullopt};
}

// POSTED TAG RESULT, the result of a deep health check.
std::optional<ParsedLine> parse_posted(Words words) {
  if (words.size() != 3) return std::nullopt;
  const auto tag = parse_number<std::uint64_t>(words[1]);
  if (!tag) return std::nullopt;
  return ParsedLine{{0, edge::DeepHealthCheckResult{*tag, words[2] == "OK"}}, std::nullopt};
}

// BOOTED COLD|WARM MILLISECONDS, the state of the caches and the time since the kernel started.
std::optional<ParsedLine> parse_booted(Words words) {
  if (words.size() != 3) return std::nullopt;
  const bool cold = words[1] == "COLD";
  const auto uptime = parse_milliseconds(words[2]);
  if (!uptime || (!cold && words[1] != "WARM")) return std::nullopt;
  return ParsedLine{{0, edge::KernelStarted{cold, std::chrono::milliseconds(std::llround(*uptime))}},
                    std::nullopt};
}

struct VerbParser {
  std::string_view verb;
  std::optional<ParsedLine> (*parse)(Words words);
};
constexpr VerbParser kVerbs[] = {
    {"REAP", parse_reap},     {"IOREQ", parse_ioreq},   {"INFO", parse_info},     {"DMESG", parse_dmesg},
    {"EINVAL", parse_einval}, {"POSTED", parse_posted}, {"BOOTED", parse_booted},
};

}  // namespace

std::optional<ParsedLine> parse_line(std::string_view line) {
  const auto words = split_words(line);
  if (words.empty()) return std::nullopt;
  for (const auto& candidate : kVerbs)
    if (candidate.verb == words.front()) return candidate.parse(words);
  return std::nullopt;
}

}  // namespace granitegap::kernel
