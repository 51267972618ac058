// Tests of HTTP calls to stand-in dependencies on loopback, each with one kind of fault.
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

// Bounds each run_until(), so that a missing event fails the test.
constexpr auto kMaxWait = std::chrono::seconds(20);

// A client and a stand-in dependency with one fault, driven by one io_context.
struct Fixture {
  explicit Fixture(FaultKind fault, std::size_t connections = 8)
      : dependency(io, script(fault), 1, {0}, standin::Dependency::Clock::now()),
        client(io.get_executor(), connections,
               [this](deps::CallCompletion completion) { completions.push_back(std::move(completion)); }) {}
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
            io_timeout,
            std::chrono::seconds(5),
            4};
  }
  deps::CallCompletion call_and_wait(std::uint64_t id = 1) {
    const auto before = completions.size();
    client.start(call(id));
    run_until([&] { return completions.size() > before; });
    REQUIRE(completions.size() == before + 1);
    return completions.back();
  }
  template <class Done>
  void run_until(Done done) {
    const auto end = std::chrono::steady_clock::now() + kMaxWait;
    while (!done() && std::chrono::steady_clock::now() < end) io.run_one_for(milliseconds(100));
  }
  asio::io_context io;
  Duration io_timeout = milliseconds(300);
  standin::Dependency dependency;
  std::vector<deps::CallCompletion> completions;
  DependencyClient client;
};

TEST_CASE("a successful call returns the body and its connection is reused") {
  Fixture fixture(FaultKind::none);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    const auto completion = fixture.call_and_wait(id);
    CHECK(completion.outcome == CallOutcome::ok);
    REQUIRE(completion.body);
    CHECK(*completion.body == std::string(100, 'e'));
    CHECK(fixture.client.connections() == 1);
  }
  CHECK(fixture.client.open_calls() == 0);
}

TEST_CASE("each fault is reported with its outcome and its connection is closed") {
  const std::pair<FaultKind, CallOutcome> expected[] = {{FaultKind::reset, CallOutcome::connection_lost},
                                                        {FaultKind::hang, CallOutcome::limit_exceeded},
                                                        {FaultKind::hang_body, CallOutcome::limit_exceeded},
                                                        {FaultKind::too_long, CallOutcome::limit_exceeded},
                                                        {FaultKind::garbage, CallOutcome::error}};
  for (const auto& [kind, outcome] : expected) {
    const auto fault = kind;  // clang before 16 can't capture a structured binding
    CAPTURE(int(fault));
    Fixture fixture(fault);
    CHECK(fixture.call_and_wait().outcome == outcome);
    CHECK(fixture.client.connections() == 0);
  }
}

TEST_CASE("a connection is kept after a complete response other than 200") {
  const std::pair<FaultKind, CallOutcome> expected[] = {{FaultKind::error, CallOutcome::error},
                                                        {FaultKind::no_data, CallOutcome::not_found},
                                                        {FaultKind::busy, CallOutcome::overloaded}};
  for (const auto& [kind, outcome] : expected) {
    const auto fault = kind;  // clang before 16 can't capture a structured binding
    CAPTURE(int(fault));
    Fixture fixture(fault);
    const auto completion = fixture.call_and_wait();
    CHECK(completion.outcome == outcome);
    CHECK(completion.retry_after == (outcome == CallOutcome::overloaded
                                         ? std::optional<Duration>(std::chrono::seconds(7))
                                         : std::nullopt));
    CHECK(fixture.client.connections() == 1);
  }
}

TEST_CASE("a connection that the server closed while idle is replaced and the call succeeds") {
  Fixture fixture(FaultKind::close);
  for (std::uint64_t id = 1; id <= 5; ++id) CHECK(fixture.call_and_wait(id).outcome == CallOutcome::ok);
  CHECK(fixture.dependency.counters().arrivals.size() == 5);
}

TEST_CASE("a call is unreachable when the connection limit is reached or nothing listens") {
  Fixture fixture(FaultKind::hang, 1);
  fixture.io_timeout = std::chrono::seconds(10);
  fixture.client.start(fixture.call(1));
  fixture.run_until([&] { return fixture.dependency.counters().open == 1; });
  // The only permitted connection is in use.
  CHECK(fixture.call_and_wait(2).outcome == CallOutcome::unreachable);
  fixture.client.cancel(deps::CallId{1});
  std::uint16_t unused_port = 0;
  {
    asio::ip::tcp::acceptor acceptor(fixture.io, {asio::ip::address_v4::loopback(), 0});
    unused_port = acceptor.local_endpoint().port();
  }
  auto call = fixture.call(3);
  call.endpoint.port = unused_port;
  fixture.client.start(call);
  fixture.run_until([&] { return fixture.completions.size() == 2; });
  CHECK(fixture.completions.back().outcome == CallOutcome::unreachable);
  CHECK(fixture.client.connections() == 0);
}

TEST_CASE("a cancelled call closes its connection and is not reported") {
  Fixture fixture(FaultKind::hang);
  fixture.io_timeout = std::chrono::seconds(10);
  fixture.client.start(fixture.call(1));
  fixture.run_until([&] { return fixture.dependency.counters().open == 1; });
  fixture.client.cancel(deps::CallId{1});
  CHECK(fixture.client.open_calls() == 0);
  CHECK(fixture.client.connections() == 0);
  // The dependency detects the close.
  fixture.run_until([&] { return fixture.dependency.counters().open == 0; });
  CHECK(fixture.dependency.counters().open == 0);
  fixture.client.start(fixture.call(2));
  fixture.client.cancel(deps::CallId{2});  // before its coroutine has started
  fixture.client.start(fixture.call(3));
  fixture.client.close_all();
  fixture.run_until([&] { return fixture.dependency.counters().open == 0; });
  fixture.io.poll();
  CHECK(fixture.completions.empty());
  fixture.client.start(fixture.call(4));
  CHECK(fixture.client.open_calls() == 0);
}

TEST_CASE("parts that exceed the bound are dropped and the result is kept") {
  using deps::PartStatus;
  const auto body = [](std::size_t n) { return std::make_shared<const std::string>(n, 'x'); };
  std::vector<edge::GatheredPart> parts{{"small", PartStatus::fresh, milliseconds(5), body(100)},
                                        {"large", PartStatus::stale, milliseconds(9), body(5000)},
                                        {"gone", PartStatus::absent, {}, nullptr}};
  const auto complete = granitegap::partial_response::compose("result", parts, 100000);
  CHECK(complete.present_parts == "small,large");
  CHECK(complete.missing_parts == "gone");
  CHECK(complete.bytes.size() > 5100);
  const auto truncated = granitegap::partial_response::compose("result", parts, 1000);
  CHECK(truncated.present_parts == "small");
  CHECK(truncated.missing_parts == "large,gone");
  CHECK(truncated.bytes.size() < 1000);
  const auto result_only = granitegap::partial_response::compose("result", parts, 1);
  CHECK(result_only.present_parts.empty());
  CHECK(result_only.bytes.find("result") != std::string::npos);
}

TEST_CASE("a stand-in's script is applied by phase, endpoint and share") {
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
