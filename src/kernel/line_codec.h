// The kernel's lines: bytes to typed notices and commands to bytes. No sockets.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "edge/types.h"

namespace granitegap::kernel {

struct IgnoredNotice {};  // carries no meaning beyond its number
struct SystemInfo {
  std::string tag;
  edge::Gauges gauges;
};
struct DecodeError {
  std::string why;
};
struct Notice {
  std::uint64_t number = 0;  // 0: not numbered
  std::variant<edge::KernelStarted, edge::RunReport, edge::DependencyCallRequested, edge::CommandRejected,
               SystemInfo, edge::DeepCheckDone, IgnoredNotice, DecodeError>
      what;
};

class NoticeDecoder {
 public:
  void add(std::string_view bytes);
  std::optional<Notice> next();

 private:
  Notice decode(std::string_view line);
  std::string buffer_;
  std::size_t at_ = 0;
  std::optional<Notice> waits_;  // one whose bytes after the line have not all come
  std::size_t result_bytes_ = 0;
  bool broken_ = false;
};

void encode_open(std::uint64_t last_sequence, std::string& to);
void encode_sysinfo_request(std::string_view tag, std::string& to);
void encode(const edge::Command& command, const edge::NameRegistry& catalog, std::string& to);

}  // namespace granitegap::kernel
