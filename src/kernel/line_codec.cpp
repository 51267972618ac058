#include "kernel/line_codec.h"

#include <charconv>
#include <cmath>
#include <span>
#include <utility>
#include <vector>

namespace granitegap::kernel {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kGaugesTag = "gauges";
constexpr std::size_t kMaxLine = 1024;
constexpr std::size_t kMaxResult = 262144;  // far over the protocol's 4 KiB
constexpr std::size_t kMaxWords = 40;
constexpr std::size_t kCompactFrom = 16384;
constexpr double kMaxMilliseconds = 1e12;

using Words = std::vector<std::string_view>;

Words split(std::string_view line) {
  Words words;
  while (!line.empty() && words.size() < kMaxWords) {
    const auto end = line.find(' ');
    if (end != 0) words.push_back(line.substr(0, end));
    line = end == std::string_view::npos ? std::string_view{} : line.substr(end + 1);
  }
  return words;
}

template <class T>
std::optional<T> to_number(std::string_view text) {
  T value{};
  const auto* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || at != end) return std::nullopt;
  return value;
}
std::optional<double> to_ms(std::string_view text) {
  const auto value = to_number<double>(text);
  if (!value || !std::isfinite(*value) || *value < 0 || *value > kMaxMilliseconds) return std::nullopt;
  return value;
}
std::optional<edge::RunEnd> to_end(std::string_view word) {
  if (word == "OK") return edge::RunEnd::ok;
  if (word == "ERROR") return edge::RunEnd::error;
  if (word == "STOPPED") return edge::RunEnd::stopped;
  if (word == "MOOT") return edge::RunEnd::moot;
  return std::nullopt;
}
edge::CommandKind to_kind(std::string_view word) {
  if (word == "SCHED") return edge::CommandKind::start;
  if (word == "RESCHED") return edge::CommandKind::resume;
  if (word == "PREEMPT") return edge::CommandKind::stop;
  return edge::CommandKind::other;
}

}  // namespace

void NoticeDecoder::add(std::string_view bytes) {
  if (at_ == buffer_.size()) {
    buffer_.clear();
    at_ = 0;
  } else if (at_ >= kCompactFrom) {
    buffer_.erase(0, at_);
    at_ = 0;
  }
  buffer_ += bytes;
}

std::optional<Notice> NoticeDecoder::next() {
  if (broken_) return std::nullopt;
  const auto fail = [&](std::string why) {
    broken_ = true;
    return Notice{0, DecodeError{std::move(why)}};
  };
  auto left = std::string_view(buffer_).substr(at_);
  if (waits_) {
    if (left.size() < result_bytes_ + kLineEnd.size()) return std::nullopt;
    if (left.substr(result_bytes_, kLineEnd.size()) != kLineEnd) return fail("result without a line end");
    if (auto* report = std::get_if<edge::RunReport>(&waits_->what))
      report->result = left.substr(0, result_bytes_);
    at_ += result_bytes_ + kLineEnd.size();
    return std::exchange(waits_, std::nullopt);
  }
  const auto end = left.find(kLineEnd);
  if (end == std::string_view::npos)
    return left.size() > kMaxLine ? std::optional(fail("line without an end")) : std::nullopt;
  const auto line = left.substr(0, end);
  at_ += end + kLineEnd.size();
  auto notice = decode(line);
  if (const auto* bad = std::get_if<DecodeError>(&notice.what)) return fail(bad->why);
  if (!std::holds_alternative<edge::RunReport>(notice.what) &&
      !std::holds_alternative<edge::DependencyCallRequested>(notice.what))
    return notice;
  waits_ = std::move(notice);
  return next();
}

Notice NoticeDecoder::decode(std::string_view line) {
  const auto words = split(line);
  const auto bad = [&] { return Notice{0, DecodeError{std::string(line.substr(0, 120))}}; };
  if (words.empty()) return bad();
  const auto verb = words[0];
  if (verb == "REAP" && words.size() == 6) {
    const auto number = to_number<std::uint64_t>(words[1]);
    const auto end = to_end(words[3]);
    const auto took = to_ms(words[4]);
    const auto length = to_number<std::size_t>(words[5]);
    if (!number || !end || !took || !length || *length > kMaxResult) return bad();
    result_bytes_ = *length;
    return {*number, edge::RunReport{std::string(words[2]), *end, Duration(std::llround(*took * 1000)),
                                     std::string{}}};
  }
  // Named by no page, but sent where settings name something below. Guards against a link that breaks on it,
  // and on each link after that, as notices are told again.
  if (verb == "IOREQ" && words.size() == 4) {
    const auto number = to_number<std::uint64_t>(words[1]);
    const auto length = to_number<std::size_t>(words[3]);
    if (!number || !length || *length > kMaxResult) return bad();
    result_bytes_ = *length;
    return {*number, edge::DependencyCallRequested{std::string(words[2])}};
  }
  if (verb == "INFO" && words.size() >= 2) {
    SystemInfo info{std::string(words[1]), {}};
    for (const auto word : std::span(words).subspan(2)) {
      const auto value = to_number<float>(word);
      if (!value) return bad();
      info.gauges.values.push_back(*value);
    }
    return {0, std::move(info)};
  }
  if (verb == "DMESG" && words.size() >= 2) {
    const auto number = to_number<std::uint64_t>(words[1]);
    return number ? Notice{*number, IgnoredNotice{}} : bad();
  }
  if (verb == "EINVAL" && words.size() >= 2)
    return {0, edge::CommandRejected{to_kind(words[1]),
                                     words.size() > 2 ? std::string(words[2]) : std::string{}}};
  if (verb == "POSTED" && words.size() == 3) {
    const auto tag = to_number<std::uint64_t>(words[1]);
    return tag ? Notice{0, edge::DeepCheckDone{*tag, words[2] == "OK"}} : bad();
  }
  if (verb == "BOOTED" && words.size() == 3) {
    const auto ago = to_ms(words[2]);
    if (!ago || (words[1] != "COLD" && words[1] != "WARM")) return bad();
    return {0, edge::KernelStarted{words[1] == "COLD", std::chrono::milliseconds(std::llround(*ago))}};
  }
  return bad();
}

void encode_open(std::uint64_t last_sequence, std::string& to) {
  to += "OPEN " + std::to_string(last_sequence) + "\r\n";
}

void encode_sysinfo_request(std::string_view tag, std::string& to) {
  to += "SYSINFO ";
  to += tag;
  to += kLineEnd;
}

void encode(const edge::Command& command, const edge::NameRegistry& catalog, std::string& to) {
  if (const auto* run = std::get_if<edge::StartRun>(&command)) {
    to += "SCHED " + run->rid + " " + catalog.classes.at(std::size_t(run->cls)) + " " +
          std::to_string(run->body.size()) + "\r\n";
    to += run->body;
    to += kLineEnd;
  } else if (const auto* stop = std::get_if<edge::StopRun>(&command)) {
    to += "PREEMPT " + stop->rid + "\r\n";
  } else if (const auto* resume = std::get_if<edge::ResumeRun>(&command)) {
    to += "RESCHED " + resume->rid + "\r\n";
  } else if (const auto* check = std::get_if<edge::DeepCheck>(&command)) {
    to += "POST " + std::to_string(check->tag) + "\r\n";
  } else {
    encode_sysinfo_request(kGaugesTag, to);
  }
}

}  // namespace granitegap::kernel
