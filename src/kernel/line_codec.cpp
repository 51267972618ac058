#include "kernel/line_codec.h"

#include <utility>

#include "kernel/notice_parser.h"

namespace granitegap::kernel {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kGaugesTag = "gauges";
constexpr std::size_t kMaxLineBytes = 1024;
constexpr std::size_t kMaxQuotedBytes = 120;  // of a malformed line, in its error message
constexpr std::size_t kCompactFromBytes = 16384;

class CommandEncoder {
 public:
  CommandEncoder(const edge::NameRegistry& names, std::string& out) : names_(names), out_(out) {}

  void operator()(const edge::StartRun& run) const {
    out_ += "SCHED ";
    out_ += run.rid;
    out_ += ' ';
    out_ += names_.classes.at(std::size_t(run.cls));
    out_ += ' ';
    out_ += std::to_string(run.body.size());
    out_ += kLineEnd;
    out_ += run.body;
    out_ += kLineEnd;
  }
  void operator()(const edge::StopRun& stop) const { append_line("PREEMPT ", stop.rid); }
  void operator()(const edge::ResumeRun& resume) const { append_line("RESCHED ", resume.rid); }
  void operator()(const edge::DeepHealthCheck& check) const {
    append_line("POST ", std::to_string(check.tag));
  }
  void operator()(const edge::PollGauges&) const { encode_sysinfo_request(kGaugesTag, out_); }

 private:
  void append_line(std::string_view verb, std::string_view argument) const {
    out_ += verb;
    out_ += argument;
    out_ += kLineEnd;
  }

  const edge::NameRegistry& names_;
  std::string& out_;
};

}  // namespace

std::string DecodeError::reason() const {
  switch (code) {
    case DecodeErrorCode::unterminated_line:
      return "no line end within " + std::to_string(kMaxLineBytes) + " bytes";
    case DecodeErrorCode::unterminated_payload:
      return "no line end after the payload of a notice";
    case DecodeErrorCode::malformed_notice:
      return "malformed notice: " + line;
  }
  return {};
}

void NoticeDecoder::add(std::string_view bytes) {
  if (position_ == buffer_.size()) {
    buffer_.clear();
    position_ = 0;
  } else if (position_ >= kCompactFromBytes) {
    buffer_.erase(0, position_);
    position_ = 0;
  }
  buffer_ += bytes;
}

Notice NoticeDecoder::fail(DecodeErrorCode code, std::string line) {
  failed_ = true;
  return Notice{0, DecodeError{code, std::move(line)}};
}

std::optional<Notice> NoticeDecoder::next() {
  if (failed_) return std::nullopt;
  return awaiting_payload_ ? finish_payload() : next_line();
}

std::optional<Notice> NoticeDecoder::next_line() {
  const auto bytes = pending();
  const auto line_length = bytes.find(kLineEnd);
  if (line_length == std::string_view::npos) {
    if (bytes.size() > kMaxLineBytes) return fail(DecodeErrorCode::unterminated_line);
    return std::nullopt;
  }
  const auto line = bytes.substr(0, line_length);
  position_ += line_length + kLineEnd.size();
  auto parsed = parse_line(line);
  if (!parsed) return fail(DecodeErrorCode::malformed_notice, std::string(line.substr(0, kMaxQuotedBytes)));
  if (!parsed->payload_bytes) return std::move(parsed->notice);
  payload_bytes_ = *parsed->payload_bytes;
  awaiting_payload_ = std::move(parsed->notice);
  return finish_payload();
}

std::optional<Notice> NoticeDecoder::finish_payload() {
  const auto bytes = pending();
  if (bytes.size() < payload_bytes_ + kLineEnd.size()) return std::nullopt;
  if (bytes.substr(payload_bytes_, kLineEnd.size()) != kLineEnd)
    return fail(DecodeErrorCode::unterminated_payload);
  if (auto* report = std::get_if<edge::RunReport>(&awaiting_payload_->content))
    report->body = bytes.substr(0, payload_bytes_);
  position_ += payload_bytes_ + kLineEnd.size();
  return std::exchange(awaiting_payload_, std::nullopt);
}

void encode_open(std::uint64_t last_sequence, std::string& out) {
  out += "OPEN ";
  out += std::to_string(last_sequence);
  out += kLineEnd;
}

void encode_sysinfo_request(std::string_view tag, std::string& out) {
  out += "SYSINFO ";
  out += tag;
  out += kLineEnd;
}

void encode(const edge::Command& command, const edge::NameRegistry& names, std::string& out) {
  std::visit(CommandEncoder(names, out), command);
}

}  // namespace granitegap::kernel
