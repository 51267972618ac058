// Codec of the kernel's line protocol: decodes bytes into typed notices and encodes commands. No I/O.
//
// Lines end in CR LF; words are separated by spaces. Some notices are followed by a payload and another CR
// LF; their last word is the payload's length in bytes. Notices that matter after a reconnect carry a
// sequence number.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "edge/types.h"

namespace granitegap::kernel {

// A notice of which only the sequence number is used.
struct IgnoredNotice {};

// The answer to a SYSINFO request.
struct SystemInfo {
  std::string tag;  // repeated from the request
  edge::Gauges gauges;
};

enum class DecodeErrorCode : std::uint8_t {
  unterminated_line,     // no line end within the maximum line length
  unterminated_payload,  // no line end after a notice's payload
  malformed_notice,      // an unknown verb, or missing or invalid arguments
};

// Bytes that are not a valid notice. Bytes after them are not decoded, as their framing is unknown.
struct DecodeError {
  DecodeErrorCode code{};
  std::string line;  // for malformed_notice: the first 120 bytes of the line

  // Returns a one-line message for the log.
  std::string reason() const;
};

// A message from the kernel.
struct Notice {
  std::uint64_t sequence = 0;  // counted from 1; 0 if the notice has no number
  std::variant<edge::KernelStarted, edge::RunReport, edge::DependencyCallRequested, edge::CommandRejected,
               SystemInfo, edge::DeepHealthCheckResult, IgnoredNotice, DecodeError>
      content;
};

// Decodes the byte stream of one connection into notices.
class NoticeDecoder {
 public:
  // Appends received bytes, in pieces of any size.
  void add(std::string_view bytes);
  // Returns the next complete notice. Absent until more bytes are added, and always after a DecodeError.
  [[nodiscard]] std::optional<Notice> next();

 private:
  std::optional<Notice> next_line();
  std::optional<Notice> finish_payload();
  std::string_view pending() const { return std::string_view(buffer_).substr(position_); }
  Notice fail(DecodeErrorCode code, std::string line = {});

  std::string buffer_;
  std::size_t position_ = 0;                // offset in the buffer of the first byte not yet decoded
  std::optional<Notice> awaiting_payload_;  // a notice whose payload is incomplete
  std::size_t payload_bytes_ = 0;
  bool failed_ = false;
};

// Appends the first line of a connection, which requests a replay of the notices after `last_sequence`.
void encode_open(std::uint64_t last_sequence, std::string& out);

// Appends a request for the gauges. The answer repeats `tag`.
void encode_sysinfo_request(std::string_view tag, std::string& out);

// Appends a command. `names` supplies the class names of runs.
void encode(const edge::Command& command, const edge::NameRegistry& names, std::string& out);

}  // namespace granitegap::kernel
