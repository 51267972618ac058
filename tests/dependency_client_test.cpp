// Calls over HTTP against stand-in dependencies on loopback, one fault a case.
#include "deps_http/dependency_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "edge/edge.h"
#include "partial_response/compose.h"
#include "standin/dependency.h"

namespace granitegap::deps_http {
namespace {

namespace asio = boost::asio;
using deps::CallOutcome;
using standin::FaultKind;
using std::chrono::milliseconds;

constexpr auto kHang = std::chrono::seconds(20);  // ends a test that waits for what never comes

struct Bench {
  explicit Bench(FaultKind fault, std::size_t connections = 8)
      : dependency(io, script(fault), 1, {0}, standin::Dependency::Clock::now()),
        caller(io.get_executor(), connections,
               [this](deps::CallCompletion r) { reports.push_back(std::move(r)); }) {}
  static standin::Script script(FaultKind fault) {
    standin::Phase phase;
    phase.distribution = standin::LatencyDistribution::fixed;
    phase.body = 100;
    if (fault != FaultKind::none) phase.faults = {{fault, 1, std::chrono::seconds(7)}};
    return {{phase}, {}};
  }
  edge::DependencyCall call(std::uint64_t id) {
    return {deps::CallId{id},
            "/p",
            {"127.0.0.1", dependency.port(0)},
            "elevation.example.org",
            4096,
            1024,
            quiet,
            std::chrono::seconds(5),
            4};
  }
  deps::CallCompletion one(std::uint64_t id = 1) {
    const auto before = reports.size();
    caller.start(call(id));
    wait([&] { return reports.size() > before; });
    REQUIRE(reports.size() == before + 1);
    return reports.back();
  }
  template <class Done>
  void wait(Done done) {
    const auto end = std::chrono::steady_clock::now() + kHang;
    while (!done() && std::chrono::steady_clock::now() < end) io.run_one_for(milliseconds(100));
  }
  asio::io_context io;
  Duration quiet = milliseconds(300);
  standin::Dependency dependency;
  std::vector<deps::CallCompletion> reports;
  DependencyClient caller;
};

TEST_CASE("a whole answer comes back, and its connection carries the next call") {
  Bench b(FaultKind::none);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    const auto report = b.one(id);
    CHECK(report.outcome == CallOutcome::ok);
    REQUIRE(report.body);
    CHECK(*report.body == std::string(100, 'e'));
    CHECK(b.caller.connections() == 1);
  }
  CHECK(b.caller.open_calls() == 0);
}

TEST_CASE("each fault is told as what it is, and its connection is not kept") {
  const std::pair<FaultKind, CallOutcome> expected[] = {{FaultKind::reset, CallOutcome::connection_lost},
                                                        {FaultKind::hang, CallOutcome::limit_exceeded},
                                                        {FaultKind::hang_body, CallOutcome::limit_exceeded},
                                                        {FaultKind::too_long, CallOutcome::limit_exceeded},
                                                        {FaultKind::garbage, CallOutcome::error}};
  for (const auto& [kind, outcome] : expected) {
    const auto fault = kind;  // clang before 16 can't capture a structured binding
    CAPTURE(int(fault));
    Bench b(fault);
    CHECK(b.one().outcome == outcome);
    CHECK(b.caller.connections() == 0);
  }
}

TEST_CASE("an answer that is no success leaves its connection usable") {
  const std::pair<FaultKind, CallOutcome> expected[] = {{FaultKind::error, CallOutcome::error},
                                                        {FaultKind::no_data, CallOutcome::not_found},
                                                        {FaultKind::busy, CallOutcome::overloaded}};
  for (const auto& [kind, outcome] : expected) {
    const auto fault = kind;  // clang before 16 can't capture a structured binding
    CAPTURE(int(fault));
    Bench b(fault);
    const auto report = b.one();
    CHECK(report.outcome == outcome);
    CHECK(report.retry_after == (outcome == CallOutcome::overloaded
                                     ? std::optional<Duration>(std::chrono::seconds(7))
                                     : std::nullopt));
    CHECK(b.caller.connections() == 1);
  }
}

TEST_CASE("a connection closed while it was kept is replaced, and the call not lost") {
  Bench b(FaultKind::close);
  for (std::uint64_t id = 1; id <= 5; ++id) CHECK(b.one(id).outcome == CallOutcome::ok);
  CHECK(b.dependency.counters().arrivals.size() == 5);
}

TEST_CASE("nobody at the address is told as such, and so is a full house") {
  Bench b(FaultKind::hang, 1);
  b.quiet = std::chrono::seconds(10);
  b.caller.start(b.call(1));
  b.wait([&] { return b.dependency.counters().open == 1; });
  CHECK(b.one(2).outcome == CallOutcome::unreachable);  // the one connection there may be is in use
  b.caller.cancel(deps::CallId{1});
  std::uint16_t nobody = 0;
  {
    asio::ip::tcp::acceptor free(b.io, {asio::ip::address_v4::loopback(), 0});
    nobody = free.local_endpoint().port();
  }
  auto call = b.call(3);
  call.endpoint.port = nobody;
  b.caller.start(call);
  b.wait([&] { return b.reports.size() == 2; });
  CHECK(b.reports.back().outcome == CallOutcome::unreachable);
  CHECK(b.caller.connections() == 0);
}

TEST_CASE("an abandoned call is closed at once and never told of") {
  Bench b(FaultKind::hang);
  b.quiet = std::chrono::seconds(10);
  b.caller.start(b.call(1));
  b.wait([&] { return b.dependency.counters().open == 1; });
  b.caller.cancel(deps::CallId{1});
  CHECK(b.caller.open_calls() == 0);
  CHECK(b.caller.connections() == 0);
  b.wait([&] { return b.dependency.counters().open == 0; });  // the other side sees it closed
  CHECK(b.dependency.counters().open == 0);
  b.caller.start(b.call(2));
  b.caller.cancel(deps::CallId{2});  // before it began
  b.caller.start(b.call(3));
  b.caller.close_all();
  b.wait([&] { return b.dependency.counters().open == 0; });
  b.io.poll();
  CHECK(b.reports.empty());
  b.caller.start(b.call(4));
  CHECK(b.caller.open_calls() == 0);
}

TEST_CASE("a part over the bound is dropped, the answer never") {
  using deps::PartStatus;
  const auto body = [](std::size_t n) { return std::make_shared<const std::string>(n, 'x'); };
  std::vector<edge::GatheredPart> parts{{"small", PartStatus::fresh, milliseconds(5), body(100)},
                                        {"large", PartStatus::stale, milliseconds(9), body(5000)},
                                        {"gone", PartStatus::absent, {}, nullptr}};
  const auto whole = granitegap::partial_response::compose("result", parts, 100000);
  CHECK(whole.present_parts == "small,large");
  CHECK(whole.missing_parts == "gone");
  CHECK(whole.bytes.size() > 5100);
  const auto cut = granitegap::partial_response::compose("result", parts, 1000);
  CHECK(cut.present_parts == "small");
  CHECK(cut.missing_parts == "large,gone");
  CHECK(cut.bytes.size() < 1000);
  const auto bare = granitegap::partial_response::compose("result", parts, 1);
  CHECK(bare.present_parts.empty());
  CHECK(bare.bytes.find("result") != std::string::npos);
}

TEST_CASE("a script's phases, endpoints and shares") {
  const auto read = [](const char* text) {
    return std::get<standin::Script>(
        standin::read_script(std::get<typed_config::Document>(typed_config::parse(text, "s"))));
  };
  const auto script = read(R"(phases: [
	{shape: "fixed", latency: 10ms},
	{from: 1s, endpoint: 1, shape: "fixed", latency: 20ms, faults: [{kind: "error", share: 0.25}]},
	{from: 2s, shape: "fixed", latency: 10ms, ramp: 1s, ramp_from: 5},
]
repeat: 4s)");
  std::mt19937_64 random(1);
  const auto after = [&](int endpoint, int ms) {
    return standin::plan_response(script, endpoint, milliseconds(ms), random).after;
  };
  CHECK(after(0, 500) == milliseconds(10));
  CHECK(after(0, 1500) == milliseconds(10));
  CHECK(after(1, 1500) == milliseconds(20));
  CHECK(after(1, 2000) == milliseconds(50));
  CHECK(after(1, 2500) == milliseconds(30));
  CHECK(after(1, 3500) == milliseconds(10));
  CHECK(after(1, 5500) == milliseconds(20));
  int errors = 0;
  for (int i = 0; i < 4000; ++i)
    errors += standin::plan_response(script, 1, milliseconds(1500), random).fault == FaultKind::error;
  CHECK(errors > 900);
  CHECK(errors < 1100);
  CHECK(std::holds_alternative<standin::Errors>(
      standin::read_scenario(std::get<typed_config::Document>(typed_config::parse(
          "name: \"x\"\nfault_to: 20s\nelevation: {phases: [{}]}\nnames: {phases: [{}]}", "s")))));
}

}  // namespace
}  // namespace granitegap::deps_http
