// Decoding of the kernel's line protocol.
#include <doctest/doctest.h>

#include "kernel/line_codec.h"

namespace granitegap {
namespace {

using namespace std::chrono_literals;

TEST_CASE("kernel lines: results with line ends, split into pieces, are decoded up to a malformed line") {
  const std::string bytes =
      "REAP 7 aa OK 1.5 4\r\n\r\nx\n\r\nINFO t 0.5 2\r\nBOOTED COLD 12\r\nWHAT\r\nINFO t\r\n";
  for (const std::size_t piece : {std::size_t(1), std::size_t(3), bytes.size()}) {
    kernel::NoticeDecoder decoder;
    std::vector<kernel::Notice> notices;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      decoder.add(std::string_view(bytes).substr(at, piece));
      while (auto notice = decoder.next()) notices.push_back(std::move(*notice));
    }
    REQUIRE(notices.size() == 4);  // nothing is decoded after a malformed line
    CHECK(notices[0].sequence == 7);
    CHECK(std::get<edge::RunReport>(notices[0].content).body == "\r\nx\n");
    CHECK(std::get<edge::RunReport>(notices[0].content).duration == 1500us);
    CHECK(std::get<kernel::SystemInfo>(notices[1].content).gauges.values == std::vector<float>{0.5F, 2});
    CHECK(std::get<edge::KernelStarted>(notices[2].content).uptime == 12ms);
    const auto& error = std::get<kernel::DecodeError>(notices[3].content);
    CHECK(error.code == kernel::DecodeErrorCode::malformed_notice);
    CHECK(error.line == "WHAT");
  }
}

}  // namespace
}  // namespace granitegap
