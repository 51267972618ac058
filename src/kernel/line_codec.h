// The kernel's line protocol: bytes to typed notices, and commands to bytes. No I/O.
//
// Lines end in CR LF; words are separated by spaces. Some notices are followed by as many bytes of payload as
// their last word says, and another CR LF. Notices that matter after a reconnect carry a sequence number.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "edge/types.h"

namespace granitegap::kernel {

// A notice that carries no meaning beyond its sequence number.
struct IgnoredNotice {};

// The answer to a SYSINFO request.
struct SystemInfo {
  std::string tag;  // the request's
  edge::Gauges gauges;
};

enum class DecodeErrorCode : std::uint8_t {
  unterminated_line,     // no line end within the longest line there is
  unterminated_payload,  // no line end after a notice's payload
  malformed_notice,      // an unknown verb, or words that don't fit it
};

// Bytes that are no notice. Nothing after them can be trusted.
struct DecodeError {
  DecodeErrorCode code{};
  std::string line;  // for malformed_notice: the line's first 120 bytes

  // For people, in one line.
  std::string reason() const;
};

struct Notice {
  std::uint64_t sequence = 0;  // from 1; 0: not numbered
  std::variant<edge::KernelStarted, edge::RunReport, edge::DependencyCallRequested, edge::CommandRejected,
               SystemInfo, edge::DeepHealthCheckResult, IgnoredNotice, DecodeError>
      content;
};

// Takes bytes as they come on one connection and gives complete notices.
class NoticeDecoder {
 public:
  void add(std::string_view bytes);
  // The next complete notice; absent until more bytes are added, and for good after a DecodeError.
  [[nodiscard]] std::optional<Notice> next();

 private:
  std::optional<Notice> next_line();
  std::optional<Notice> finish_payload();
  std::string_view pending() const { return std::string_view(buffer_).substr(position_); }
  Notice fail(DecodeErrorCode code, std::string line = {});

  std::string buffer_;
  std::size_t position_ = 0;                // in the buffer: what lies before it is decoded
  std::optional<Notice> awaiting_payload_;  // a notice whose payload has not all come
  std::size_t payload_bytes_ = 0;
  bool failed_ = false;
};

// The first line on a connection: asks for the notices after `last_sequence` to be replayed.
void encode_open(std::uint64_t last_sequence, std::string& out);

// Asks for the gauges; the answer repeats `tag`.
void encode_sysinfo_request(std::string_view tag, std::string& out);

// `names`: for the classes of runs.
void encode(const edge::Command& command, const edge::NameRegistry& names, std::string& out);

}  // namespace granitegap::kernel
