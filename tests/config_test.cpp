// Tests of the reader of the platform's configuration file.
#include "config/config.h"

#include <doctest/doctest.h>

namespace granitegap {
namespace {

using namespace std::chrono_literals;

constexpr auto kConfig =
    R"({"name":"n1","listen":"127.0.0.1:7001","kernel":"127.0.0.1:1","announce":"127.0.0.1:2",
  "seed":"ff","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{
  "classes":[{"name":"a, b","aim_ms":100.5,"effect":"dedup"}],"orgs":[{"name":"x y"}],
  "specifics":{"cpus":6,"gauges":["core_use","links"],"class_calls":[false]}}})";

TEST_CASE("config: nested settings are read and names are kept as they are") {
  const auto parsed = config::parse(kConfig);
  REQUIRE(std::holds_alternative<config::Config>(parsed));
  const auto& c = std::get<config::Config>(parsed);
  CHECK(c.seed == 255);
  CHECK(c.stop == 3200ms);
  CHECK(c.catalog.classes == std::vector<std::string>{"a, b"});
  CHECK(c.catalog.tenants == std::vector<std::string>{"x y"});
  CHECK(c.catalog.key_required == std::vector<bool>{true});
  CHECK(c.parsed.settings.cores == 6.0);
  CHECK(c.parsed.settings.classes.at(0).latency_objective == Duration(100500));
  CHECK(c.parsed.settings.classes.at(0).makes_calls == false);
  CHECK(c.parsed.gauges == std::vector<std::string>{"core_use", "links"});
}

TEST_CASE("config: every problem is reported in one line") {
  const auto problem = [](std::string json, const std::string& old, const std::string& instead) {
    json.replace(json.find(old), old.size(), instead);
    const auto parsed = config::parse(json);
    REQUIRE(std::holds_alternative<config::ConfigError>(parsed));
    return std::get<config::ConfigError>(parsed).message();
  };
  CHECK(problem(kConfig, "127.0.0.1:7001", "nowhere") ==
        "listen: expected HOST:PORT with a port from 0 to 65535, found \"nowhere\"");
  CHECK(problem(kConfig, "\"ff\"", "7") == "seed: expected a non-empty string, found 7");
  CHECK(problem(kConfig, "\"stop_ms\":3200,", "") == "required field stop_ms is missing");
  CHECK(problem(kConfig, "3200", "-1") == "stop_ms: expected a number from 0 to 1000000000, found -1");
  CHECK(problem(kConfig, "\"classes\"", "\"c\"") ==
        "settings.classes: expected an array of at least one class, found no such field");
  const auto invalid_json = problem(kConfig, "{\"name\"", "{name");
  CHECK(invalid_json.starts_with("invalid JSON: "));
  CHECK(invalid_json.find('\n') == std::string::npos);
  // Settings with which the guarantees of a class could not be met.
  CHECK(problem(kConfig, "dedup", "often") ==
        "class \"a, b\": effect: expected one of retryable, dedup, fragile, found \"often\"");
  CHECK(problem(kConfig, "\"aim_ms\"", "\"deadline_ms\":0,\"aim_ms\"") ==
        "class \"a, b\": deadline_ms: expected milliseconds above 0 and at most 1e12, found 0 us");
  CHECK(problem(kConfig, "\"aim_ms\"", "\"deadline_ms\":-5,\"aim_ms\"") ==
        "class \"a, b\": deadline_ms: expected milliseconds above 0 and at most 1e12, found \"-5\"");
  CHECK(problem(kConfig, "\"aim_ms\"", "\"repeat_window_ms\":0.0,\"aim_ms\"") ==
        "class \"a, b\": repeat_window_ms: expected milliseconds above 0 and at most 1e12, found 0 us");
  CHECK(problem(kConfig, "\"dedup\"}", "\"dedup\"},{\"name\":\"a, b\"}") ==
        "class \"a, b\": duplicate name; expected a different name for each class");
  // Values found are escaped and cut to a bounded length.
  CHECK(problem(kConfig, "127.0.0.1:7001", "a\\n" + std::string(1000, 'b')) ==
        "listen: expected HOST:PORT with a port from 0 to 65535, found \"a\\n" + std::string(56, 'b') +
            "...");
}

}  // namespace
}  // namespace granitegap
