// Tests the simulator's wire format and the loop that serves it.
#include "simulator/wire.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <sstream>

#include "simulator/adapter.h"

namespace granitegap {
namespace {

// Converts hexadecimal digits to bytes. Skips other characters.
std::string hex(std::string_view text) {
  std::string out;
  int high = -1;
  for (const char c : text) {
    const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0) continue;
    if (high < 0) {
      high = digit;
      continue;
    }
    out.push_back(char(high * 16 + digit));
    high = -1;
  }
  return out;
}

TEST(Serve, AnswersAnEmptyBatchWithAnEmptyReply) {
  std::istringstream in(hex("0100000000000000 00000000206ec040 00000000"));
  std::ostringstream out, err;
  EXPECT_EQ(serve(in, out, err), 0);
  EXPECT_EQ(out.str(), hex("01000000 00000000 00000000"));
  EXPECT_EQ(err.str(), "");
}

TEST(Serve, ReportsATruncatedHeaderWithItsOffset) {
  std::istringstream in(hex("01000000"));
  std::ostringstream out, err;
  EXPECT_NE(serve(in, out, err), 0);
  EXPECT_EQ(out.str(), "");
  EXPECT_NE(err.str().find("offset 4"), std::string::npos);
}

// Exit status and output of serve().
struct ServeResult {
  int status;
  std::string out, err;
};
ServeResult serve_bytes(const std::string& bytes) {
  std::istringstream in(bytes);
  std::ostringstream out, err;
  const int status = serve(in, out, err);
  return {status, out.str(), err.str()};
}
template <class T>
void put(std::string& to, T v) {
  to.append(reinterpret_cast<const char*>(&v), sizeof v);
}
std::string record(std::uint8_t code, const std::string& fields) {
  std::string r(1, char(code));
  put(r, std::uint32_t(fields.size()));
  return r + fields;
}
std::string batch(std::uint32_t number, double ms, const std::string& records, std::uint32_t count) {
  std::string b;
  put(b, number);
  put(b, std::uint32_t(records.size()));
  put(b, ms);
  put(b, count);
  return b + records;
}
std::string power_on() {
  const std::string settings = "specifics.cpus=2\nspecifics.say=tokens\n";
  std::string f;
  put(f, std::uint16_t(3));
  put(f, std::uint64_t(42));
  put(f, std::uint32_t(settings.size()));
  return record(1, f + settings);
}

TEST(DecodeBody, ReadsEveryFieldOfAnArrival) {
  const auto bytes =
      hex("02 3a000000 0300 c4913a5d 00 0000 640ad2557c3bf091 0000000000006e40 0000000000002840 0000c441 "
          "0000203f 01 11000000 "
          "9a9999999999fd3f 192b6f0e");
  const wire::Header h{12, std::uint32_t(bytes.size()), 1, 1.0};
  const auto decoded = wire::decode_body(h, bytes);
  ASSERT_EQ(decoded.records.size(), 1U);
  EXPECT_EQ(decoded.records[0].instance, 3);
  const auto& r = std::get<RequestArrived>(std::get<Event>(decoded.records[0].body));
  EXPECT_EQ(r.id, RequestId(0x5d3a91c4));
  EXPECT_EQ(r.caller_timeout, Duration(240000));
  EXPECT_EQ(r.cost_hint, Duration(12000));
  EXPECT_EQ(r.memory, MemorySize(24500));
  EXPECT_EQ(r.unread_wait, Duration(1850));
  EXPECT_EQ(r.duplicate_of, RequestId(0x0e6f2b19));
  EXPECT_FALSE(r.is_retry);
}
TEST(Reply, EncodesActionsAsSpecified) {
  wire::Reply reply(12);
  reply.add(3, granitegap::Run{RequestId(0x5d3a91c4)});
  reply.add(3, SetTimer{TimerToken(0x4d), std::chrono::milliseconds(500)});
  reply.add(5, Log{"two servers known"});
  EXPECT_EQ(reply.finish(), hex("0c000000 03000000 38000000 01 06000000 0300 c4913a5d"
                                "0d 0e000000 0300 0000000000407f40 4d000000"
                                "0e 15000000 0500 1100 74776f2073657276657273206b6e6f776e"));
}
TEST(Serve, IgnoresUnknownEventsInstancesAndRequests) {
  const auto out =
      serve_bytes(batch(1, 1, record(99, "abc") + record(7, hex("0900 01000000")) + record(200, ""), 3));
  EXPECT_EQ(out.status, 0);
  EXPECT_EQ(out.out, hex("01000000 00000000 00000000"));
}
TEST(Serve, RestartsAnInstanceUnderTheSameNumber) {
  const auto out = serve_bytes(batch(1, 1, power_on() + record(9, hex("0300")) + power_on(), 3));
  EXPECT_EQ(out.status, 0);
  EXPECT_EQ(out.err, "");
}
TEST(Serve, RejectsANanClockAndReadsANanDurationAsAbsent) {
  std::string f;
  put(f, std::uint16_t(3));
  put(f, std::nan(""));
  EXPECT_EQ(serve_bytes(batch(1, 1, power_on() + record(6, f), 2)).status, 0);
  EXPECT_NE(serve_bytes(batch(1, std::nan(""), "", 0)).status, 0);
}
TEST(Serve, ReportsWrongCountsAndLengthsInOneLineWithoutAReply) {
  std::string huge;
  put(huge, 7U);
  put(huge, 0xfffffff0U);
  put(huge, 1.0);
  put(huge, 1U);
  for (const auto& bytes :
       {huge, batch(7, 1, "", 1000), batch(7, 1, record(3, "x"), 1), batch(7, 1, record(7, "x") + "y", 1)}) {
    const auto out = serve_bytes(bytes);
    EXPECT_NE(out.status, 0);
    EXPECT_EQ(out.out, "");
    EXPECT_EQ(out.err.rfind("granitegap_simulator: batch 7, offset ", 0), 0U) << out.err;
    EXPECT_EQ(std::count(out.err.begin(), out.err.end(), '\n'), 1);
  }
}
TEST(Serve, CorruptedFramesAreAnsweredOrReportedInOneLine) {
  const auto valid =
      batch(1, 1, power_on(), 1) + batch(2, 30, record(8, hex("0300 00000000 01 0000803f")), 1);
  std::uint32_t state = 1;
  for (int k = 0; k < 3000; ++k) {
    auto bytes = valid;
    state = state * 1664525U + 1013904223U;
    bytes[(state >> 8) % bytes.size()] = char(state >> 24);
    if (k % 3 == 0) bytes.resize((state >> 4) % bytes.size());
    const auto out = serve_bytes(bytes);
    EXPECT_EQ(out.status != 0, !out.err.empty());
    EXPECT_LE(std::count(out.err.begin(), out.err.end(), '\n'), 1);
  }
}

}  // namespace
}  // namespace granitegap
