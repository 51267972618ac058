// Process tests of recovery with a dependency: the calls it receives from a recovering fleet, and the state
// of endpoints and the cached responses that are restored after a restart.
#include "recovery_process_fixture.h"

namespace granitegap::fleet {
namespace {

// Adds to an operator file a dependency with two endpoints where nothing listens, and a gather for it.
std::string with_unreachable_dependency(std::string file) {
  const std::string empty_fields = "dependencies: []\ngathers: []\n";
  return file.replace(
      file.find(empty_fields), empty_fields.size(),
      "dependencies: [{name: \"e.example.org\", endpoints: [\"127.0.0.1:9\", \"127.0.0.1:10\"], eject_for: "
      "20s}]\n"
      "gathers: [{class: \"route-profile\", parts: [{name: \"e\", from: \"e.example.org\", path: "
      "\"/e?r={body}\"}]}]\n");
}

// A stand-in for a dependency that counts the calls it receives.
class CountingDependency {
 public:
  // `capacity`: maximum number of concurrent calls, 0 for no limit.
  explicit CountingDependency(std::uint32_t capacity = 0)
      : dependency_(io_, script(capacity), 1, {0}, standin::Dependency::Clock::now()) {
    dependency_.prefix_bodies_with_arrival();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~CountingDependency() {
    io_.stop();
    thread_.join();
  }
  // Returns the `dependencies` and `gathers` of an operator file. The dependency has one endpoint, and
  // neither hedged requests nor retries, so that each gather causes one call. `fields` are its further
  // fields.
  std::string operator_fields(const std::string& fields) const {
    return "dependencies: [{name: \"e.example.org\", endpoints: [\"127.0.0.1:" +
           std::to_string(dependency_.port(0)) + "\"], hedge_after: 0, most_tries: 1, " + fields +
           "}]\ngathers: [{class: \"route-profile\", budget: 4s, parts: [{name: \"e\", from: "
           "\"e.example.org\", path: \"/e?r={body}\", fresh_for: 10m}]}]\n";
  }
  std::size_t calls() { return counters().arrivals.size(); }
  std::size_t max_open() { return counters().max_open; }

 private:
  static standin::Script script(std::uint32_t capacity) {
    standin::Phase phase;
    phase.capacity = capacity;
    phase.distribution = standin::LatencyDistribution::fixed;
    phase.latency = 20ms;
    return {{phase}, {}};
  }
  standin::Dependency::Counters counters() {
    std::promise<standin::Dependency::Counters> result;
    boost::asio::post(io_, [&] { result.set_value(dependency_.counters()); });
    return result.get_future().get();
  }
  boost::asio::io_context io_;
  standin::Dependency dependency_;
  std::thread thread_;
};

// Returns options of a slow-start fleet that calls `dependency`.
ProcessFleetOptions options_with_dependency(const CountingDependency& dependency, const std::string& fields,
                                            std::size_t size) {
  auto options = SlowStartFleet::slow_start_options(size, "");
  const std::string empty_fields = "dependencies: []\ngathers: []\n";
  options.operator_file.replace(options.operator_file.find(empty_fields), empty_fields.size(),
                                dependency.operator_fields(fields));
  return options;
}

// A fleet that serves gathers of the class route-profile.
struct ProfileFleet : SlowStartFleet {
  using SlowStartFleet::SlowStartFleet;
  // Whether the process serves the request with the part of the dependency.
  bool serves_with_part(const std::string& name, const std::string& route) {
    const auto response = standin::Client(port(name)).call({"route-profile", route, {}, {}, 5});
    return response && response->code == standin::ResponseCode::served &&
           response->body.find(" /e?r=" + route + "\n") != std::string::npos;
  }
};

// A recovering process receives the health of endpoints from donors, and does not choose endpoints that they
// have ejected. Without the transfer it would call them.
TEST(RecoveryProcess, ARecoveringProcessRestoresEndpointHealthFromDonors) {
  auto options = SlowStartFleet::slow_start_options(4, "");
  options.operator_file = with_unreachable_dependency(options.operator_file);
  SlowStartFleet fleet(4, options);
  fleet.start_converged();
  for (const auto& name : fleet.names())
    for (int k = 0; k < 40; ++k)
      standin::Client(fleet.port(name)).call({"route-profile", "r" + std::to_string(k), {}, {}, 5});
  fleet.kill("n2");
  fleet.start("n2");
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_logged("endpoints from ", "n2") && fleet.has_logged("other members", "n2"); },
      kConditionTimeout))
      << fleet.log("n2");
  EXPECT_TRUE(fleet.has_logged("restored the health of 1 endpoints", "n2") ||
              fleet.has_logged("restored the health of 2 endpoints", "n2"))
      << fleet.log("n2");
}

// For a resource that all members request, one member calls the dependency and sends the response to the
// others. Requests are also served while that member is paused.
TEST(RecoveryProcess, OneMemberCallsTheDependencyForAllMembers) {
  CountingDependency dependency;
  ProfileFleet fleet(4, options_with_dependency(dependency, "fleet_fill: true", 4));
  fleet.start_converged();
  ASSERT_TRUE(fleet.wait_until_all_in_full_service());
  // Waits until each member knows the cache fill servers of the others. From then on a new route costs one
  // call.
  int route_count = 0;
  const auto one_call = [&] {
    const auto before = dependency.calls();
    const auto route = "new" + std::to_string(++route_count);
    for (const auto& name : fleet.names())
      if (!fleet.serves_with_part(name, route)) return false;
    return dependency.calls() == before + 1;
  };
  ASSERT_TRUE(fleet.wait_until(one_call, kConditionTimeout)) << fleet.describe();
  const auto before = dependency.calls();
  std::vector<std::thread> callers;
  std::atomic<int> served = 0;
  for (const auto& name : fleet.names())
    callers.emplace_back([&, name] {
      for (int k = 0; k < 20; ++k) served += fleet.serves_with_part(name, "r" + std::to_string(k));
    });
  for (auto& caller : callers) caller.join();
  EXPECT_EQ(served, 80);
  // A stall of the machine may make a cache fill request to the key owner fail, which costs an extra call.
  // That is still far below the 80 calls without cache fill.
  EXPECT_GE(dependency.calls(), before + 20);
  EXPECT_LT(dependency.calls(), before + 40);
  fleet.pause("n1");  // the key owner of a quarter of the routes
  for (int k = 0; k < 12; ++k)
    EXPECT_TRUE(fleet.serves_with_part(k % 2 ? "n0" : "n2", "paused" + std::to_string(k)));
  fleet.resume("n1");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout));
}

// Cached responses are restored from the snapshot in a fleet of one, and from donors in a larger one.
TEST(RecoveryProcess, CachedResponsesAreRestoredAfterARestart) {
  for (const bool alone : {true, false}) {
    CountingDependency dependency;
    auto options = options_with_dependency(dependency, "", alone ? 1 : 3);
    if (alone)
      options.operator_file.replace(options.operator_file.find("recovery: {"), 11,
                                    "recovery: {folder: \"@FOLDER\", ");
    ProfileFleet fleet(alone ? 1 : 3, options);
    fleet.start_converged();
    ASSERT_TRUE(fleet.wait_until_all_in_full_service());
    for (const auto& name : fleet.names())
      for (int k = 0; k < 10; ++k) ASSERT_TRUE(fleet.serves_with_part(name, "r" + std::to_string(k)));
    const auto before = dependency.calls();
    if (alone) {
      fleet.terminate("n0");  // a graceful shutdown writes the last snapshot
      ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_exited("n0"); }, kConditionTimeout));
    } else {
      fleet.kill("n0");
    }
    fleet.start("n0");
    ASSERT_TRUE(fleet.wait_until(
        [&] {
          return fleet.has_logged("cached responses from", "n0") && fleet.port("n0") &&
                 fleet.serves_reads("n0");
        },
        kConditionTimeout))
        << fleet.log("n0");
    for (int k = 0; k < 10; ++k) EXPECT_TRUE(fleet.serves_with_part("n0", "r" + std::to_string(k)));
    EXPECT_EQ(dependency.calls(), before);
  }
}

// All members restart at once and call a dependency with a limited capacity: all requests are answered, and
// few calls are open at once. The limit of the fleet is four. While a member sees only one other, its share
// is half of that, so four members may have eight calls open. Without a shared limit each would have one for
// each of its eight callers.
TEST(RecoveryProcess, OpenCallsToADependencyAreLimitedWhenAllMembersRestart) {
  CountingDependency dependency(2);
  auto options = options_with_dependency(dependency, "fleet_open: 4", 4);
  ProfileFleet fleet(4, options);
  fleet.start_converged();
  ASSERT_TRUE(fleet.wait_until_all_in_full_service());
  for (const auto& name : fleet.names()) fleet.kill(name);
  for (const auto& name : fleet.names()) fleet.start(name);
  std::atomic<int> answered = 0;
  std::vector<std::thread> callers;
  for (const auto& name : fleet.names()) {
    ASSERT_TRUE(fleet.wait_until([&] { return fleet.port(name) != 0; }, kConditionTimeout));
    for (int t = 0; t < 8; ++t)
      callers.emplace_back([&, name, t] {
        for (int k = 0; k < 10; ++k) {
          const auto route = "r" + std::to_string(t) + "." + std::to_string(k) + name;
          const auto response = standin::Client(fleet.port(name)).call({"route-profile", route, {}, {}, 5});
          answered += response.has_value();
        }
      });
  }
  for (auto& caller : callers) caller.join();
  EXPECT_EQ(answered, 320);
  EXPECT_LE(dependency.max_open(), 8u);
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout));
  EXPECT_TRUE(fleet.wait_until_all_in_full_service());
}

}  // namespace
}  // namespace granitegap::fleet
