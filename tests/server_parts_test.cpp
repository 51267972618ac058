// The program's parts without sockets or real time.
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "config/config.h"
#include "edge/edge.h"
#include "edge/idempotency_table.h"
#include "frames/frames.h"
#include "kernel/link.h"

namespace granitegap {
namespace {

using namespace std::chrono_literals;
using edge::IdempotencyTable;

constexpr auto kConfig =
    R"({"name":"n1","listen":"127.0.0.1:7001","kernel":"127.0.0.1:1","announce":"127.0.0.1:2",
  "seed":"ff","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{
  "classes":[{"name":"a, b","aim_ms":100.5,"effect":"dedup"}],"orgs":[{"name":"x y"}],
  "specifics":{"cpus":6,"gauges":["core_use","links"],"class_calls":[false]}}})";

TEST_CASE("config: one settings reader serves nested JSON, and names stay as they are") {
  const auto parsed = config::parse(kConfig);
  REQUIRE(std::holds_alternative<config::Config>(parsed));
  const auto& c = std::get<config::Config>(parsed);
  CHECK(c.seed == 255);
  CHECK(c.stop == 3200ms);
  CHECK(c.catalog.classes == std::vector<std::string>{"a, b"});
  CHECK(c.catalog.tenants == std::vector<std::string>{"x y"});
  CHECK(c.catalog.keyed == std::vector<bool>{true});
  CHECK(c.parsed.settings.cores == 6.0);
  CHECK(c.parsed.settings.classes.at(0).latency_objective == Duration(100500));
  CHECK(c.parsed.settings.classes.at(0).makes_calls == false);
  CHECK(c.parsed.gauges == std::vector<std::string>{"core_use", "links"});
}

TEST_CASE("config: what is wrong is told in one line") {
  const auto problem = [](std::string json, const std::string& old, const std::string& instead) {
    json.replace(json.find(old), old.size(), instead);
    const auto parsed = config::parse(json);
    REQUIRE(std::holds_alternative<config::ConfigError>(parsed));
    return std::get<config::ConfigError>(parsed).message();
  };
  CHECK(problem(kConfig, "127.0.0.1:7001", "nowhere") == "listen is no address with a port: nowhere");
  CHECK(problem(kConfig, "\"ff\"", "7") == "seed is not a text");
  CHECK(problem(kConfig, "\"stop_ms\":3200,", "") == "no stop_ms");
  CHECK(problem(kConfig, "3200", "-1") == "stop_ms is no usable number");
  CHECK(problem(kConfig, "\"classes\"", "\"c\"") == "\"settings\" names no class");
  CHECK(problem(kConfig, "{\"name\"", "{name").find('\n') == std::string::npos);
  // What would break promises: nothing is served under it.
  CHECK(problem(kConfig, "dedup", "often") == "class a, b: effect is none of retryable, dedup, fragile");
  CHECK(problem(kConfig, "\"aim_ms\"", "\"deadline_ms\":0,\"aim_ms\"") ==
        "class a, b: deadline_ms is not above 0");
  CHECK(problem(kConfig, "\"aim_ms\"", "\"deadline_ms\":-5,\"aim_ms\"") ==
        "class a, b: deadline_ms is not above 0");
  CHECK(problem(kConfig, "\"aim_ms\"", "\"repeat_window_ms\":0.0,\"aim_ms\"") ==
        "class a, b: repeat_window_ms is not above 0");
  CHECK(problem(kConfig, "\"dedup\"}", "\"dedup\"},{\"name\":\"a, b\"}") == "class a, b: is named twice");
}

edge::Request keyed(std::string rid, Duration reached, std::string body = "b") {
  edge::Request r;
  r.rid = std::move(rid);
  r.token = "t";
  r.reached = edge::UnixTime(reached);
  r.memory = MemorySize(20000);
  r.body = std::move(body);
  return r;
}

// Guards against running a write twice: the window counts from the arrival of the try that ran.
TEST_CASE("keys: a run covers what reached the machine within its window, however late it is read") {
  IdempotencyTable keys({{8949ms, 3s}});
  const auto first = keyed("1", 10s);
  CHECK_FALSE(keys.arrive(first, RequestId{1}, 1));
  CHECK_FALSE(keys.covering_run(first));
  keys.started(first, RequestId{1});
  keys.ended(first, RequestId{1}, IdempotencyTable::RunState::bad, nullptr);
  keys.sweep(edge::UnixTime(20s));
  CHECK(keys.covering_run(keyed("2", 10s + 8949ms + 50ms)));
  CHECK_FALSE(keys.covering_run(keyed("3", 10s + 8949ms + 1001ms)));
  keys.sweep(edge::UnixTime(30s));
  CHECK(keys.size() == 0);
}

TEST_CASE("keys: repeats are linked to what is kept, or to what is held and came in the same batch") {
  IdempotencyTable keys({{8949ms, 3s}});
  const auto one = keyed("1", 0s), two = keyed("2", 1ms), three = keyed("3", 2ms), four = keyed("4", 12s);
  CHECK_FALSE(keys.arrive(one, RequestId{1}, 1));
  CHECK(keys.arrive(two, RequestId{2}, 1) == RequestId{1});
  CHECK_FALSE(keys.arrive(three, RequestId{3}, 2));
  keys.keep(one, RequestId{1}, edge::UnixTime(9s));
  CHECK(keys.arrive(three, RequestId{3}, 3) == RequestId{1});
  CHECK_FALSE(keys.arrive(four, RequestId{4}, 4));
  keys.forget(one, RequestId{1});
  for (unsigned id = 1; id <= 4; ++id) keys.leave_hold(one, RequestId{id});
  CHECK(keys.size() == 0);
}

TEST_CASE("ledger: only what no notice showed as over is asked again, stops after their runs") {
  kernel::CommandLog command_log;
  command_log.record(edge::StartRun{"b", ClassId{0}, ""});
  command_log.record(edge::StartRun{"a", ClassId{0}, ""});
  command_log.record(edge::StopRun{"b"});
  command_log.record(edge::StopRun{"never started"});
  CHECK(command_log.accept({1, edge::RunReport{"a", edge::RunEnd::ok, {}, ""}}));
  CHECK_FALSE(command_log.accept({1, edge::RunReport{"b", edge::RunEnd::ok, {}, ""}}));
  const auto again = command_log.commands_to_resend();
  REQUIRE(again.size() == 2);
  CHECK(std::get<edge::StartRun>(again[0]).rid == "b");
  CHECK(std::get<edge::StopRun>(again[1]).rid == "b");
  CHECK(command_log.last_sequence() == 1);
}

// A kernel outlives the program: guards against a link that takes an earlier life's number for its own, and
// then reads its next notices as replays.
TEST_CASE("ledger: notices of an earlier life make it neither deaf nor inventive") {
  kernel::CommandLog command_log;
  command_log.connection_opened();
  CHECK_FALSE(command_log.accept({57, edge::RunReport{"old", edge::RunEnd::ok, {}, "x"}}));
  CHECK_FALSE(
      command_log.accept({1, kernel::IgnoredNotice{}}));  // before BOOTED: of no number that was asked for
  CHECK(command_log.accept({0, edge::KernelStarted{}}));
  CHECK_FALSE(command_log.accept({58, edge::RunReport{"older", edge::RunEnd::ok, {}, "x"}}));
  CHECK(command_log.last_sequence() == 0);
  command_log.record(edge::StartRun{"a", ClassId{0}, ""});
  CHECK(command_log.accept({1, kernel::IgnoredNotice{}}));
  CHECK(command_log.accept({2, edge::RunReport{"a", edge::RunEnd::ok, {}, "x"}}));
  // Notices that the kernel no longer keeps leave a gap, past which an own run's end counts.
  command_log.record(edge::StartRun{"b", ClassId{0}, ""});
  CHECK(command_log.accept({9, edge::RunReport{"b", edge::RunEnd::ok, {}, "x"}}));
  CHECK(command_log.last_sequence() == 9);
}

TEST_CASE("kernel lines: a result may hold line ends and come in pieces") {
  const std::string bytes =
      "REAP 7 aa OK 1.5 4\r\n\r\nx\n\r\nINFO t 0.5 2\r\nBOOTED COLD 12\r\nWHAT\r\nINFO t\r\n";
  for (const std::size_t piece : {std::size_t(1), std::size_t(3), bytes.size()}) {
    kernel::NoticeDecoder reader;
    std::vector<kernel::Notice> got;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      reader.add(std::string_view(bytes).substr(at, piece));
      while (auto notice = reader.next()) got.push_back(std::move(*notice));
    }
    REQUIRE(got.size() == 4);  // nothing is read past a line that makes no sense
    CHECK(got[0].number == 7);
    CHECK(std::get<edge::RunReport>(got[0].what).result == "\r\nx\n");
    CHECK(std::get<edge::RunReport>(got[0].what).took == 1500us);
    CHECK(std::get<kernel::SystemInfo>(got[1].what).gauges.values == std::vector<float>{0.5F, 2});
    CHECK(std::get<edge::KernelStarted>(got[2].what).ago == 12ms);
    CHECK(std::holds_alternative<kernel::DecodeError>(got[3].what));
  }
}

// Guards against a link that breaks in the middle of a notice: wherever that is, each end is told once, and
// what the next link asks again is just what has no end yet.
TEST_CASE("link: a break at any byte loses no notice and doubles none") {
  const std::string notices =
      "REAP 1 a OK 1.5 4\r\n\r\nx\n\r\nDMESG 2 a remark\r\nREAP 3 b STOPPED 2 0\r\n\r\nREAP 4 c OK 9 "
      "2\r\nok\r\n";
  for (std::size_t cut = 0; cut <= notices.size(); ++cut) {
    INFO("broken after ", cut, " bytes");
    kernel::CommandLog command_log;
    for (const char* rid : {"a", "b", "c", "d"}) command_log.record(edge::StartRun{rid, ClassId{0}, ""});
    command_log.record(edge::StopRun{"b"});
    std::string ended;
    const auto read = [&](std::string_view bytes) {
      kernel::NoticeDecoder reader;  // each link has its own
      reader.add(bytes);
      while (const auto notice = reader.next())
        if (command_log.accept(*notice))
          if (const auto* report = std::get_if<edge::RunReport>(&notice->what)) ended += report->rid;
    };
    read(std::string_view(notices).substr(0, cut));
    const auto known = command_log.last_sequence();
    // The kernel replays what came after that; all of it here, as doubles must change nothing.
    read("BOOTED WARM 60000\r\n" + notices);
    CHECK(known <= 4);
    CHECK(ended == "abc");
    CHECK(command_log.last_sequence() == 4);
    const auto again = command_log.commands_to_resend();
    REQUIRE(again.size() == 1);
    CHECK(std::get<edge::StartRun>(again[0]).rid == "d");
  }
}

// Guards against a set that grows with a connection's life, and against an answer that fits two requests.
TEST_CASE("frames: a stream is new once, in whatever order its neighbours come") {
  frames::StreamIdTracker used;
  for (const std::uint32_t stream : {1, 3, 2, 7}) CHECK(used.take(stream));
  for (const std::uint32_t stream : {1, 2, 3, 7, 0}) CHECK_FALSE(used.take(stream));
  for (std::uint32_t stream = 1001; stream < 3000; stream += 2) CHECK(used.take(stream));
  CHECK(used.take(2998));
  CHECK_FALSE(used.take(1000));  // too far behind to tell
  CHECK_FALSE(used.take(2999));
}

// Guards against a flood that leaves no room for the news that matters.
TEST_CASE("mailbox: control mail gets in where other mail does not, in order") {
  boost::asio::io_context io;
  Mailbox<int> mailbox(io.get_executor(), 1);
  CHECK(mailbox.post(1));
  CHECK_FALSE(mailbox.post(2));
  mailbox.post_control(3);
  boost::asio::co_spawn(
      io,
      [&]() -> boost::asio::awaitable<void> {
        const auto all = co_await mailbox.take();
        CHECK(all == std::vector<int>{1, 3});
      },
      boost::asio::detached);
  io.run();
}

// Guards against connections that ask once and stay, each with the room its request took.
TEST_CASE("frames: a reader with nothing unread holds no buffer") {
  edge::NameRegistry catalog{{"tile"}, {}, {false}};
  frames::FrameDecoder reader(catalog, edge::PeerId{1});
  const std::string check("\x00\x00\x00\x06\x06\x00\x00\x00\x02\x00", 10);
  for (int i = 0; i < 100; ++i) reader.add(check);
  int read = 0;
  while (reader.next()) ++read;
  CHECK(read == 100);
  CHECK(reader.buffer_capacity() == std::string().capacity());
}

// Guards against buffers that grow with what is sent.
TEST_CASE("frames: an oversize request is turned away and skipped, and the next one is read") {
  edge::NameRegistry catalog{{"tile"}, {}, {false}};
  frames::FrameDecoder reader(catalog, edge::PeerId{1});
  reader.add(std::string_view("\x00\x03\x00\x00\x00\x00\x00\x00\x05", 9));
  const auto bad = reader.next();
  REQUIRE(bad);
  CHECK(std::get<frames::MalformedRequest>(*bad).stream == 5);
  const std::string filler(4096, 'x');
  std::size_t left = 0x30000 - 5;
  for (; left > filler.size(); left -= filler.size()) {
    reader.add(filler);
    CHECK_FALSE(reader.next());
  }
  reader.add(filler.substr(0, left));
  CHECK_FALSE(reader.in_frame());
  reader.add(std::string_view("\x00\x00\x00\x06\x06\x00\x00\x00\x02\x00", 10));
  const auto check = reader.next();
  REQUIRE(check);
  CHECK(std::get<edge::HealthCheck>(*check).from.stream == 2);
}

}  // namespace
}  // namespace granitegap
