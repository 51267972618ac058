// What a dependency sees of a fleet that recovers, and which of its responses outlive a process.
#include "recovery_process_fixture.h"

namespace granitegap::fleet {
namespace {

// Two endpoints that nobody serves, and a class that gathers from them.
std::string with_dependency(std::string file) {
  const std::string none = "dependencies: []\ngathers: []\n";
  return file.replace(
      file.find(none), none.size(),
      "dependencies: [{name: \"e.example.org\", endpoints: [\"127.0.0.1:9\", \"127.0.0.1:10\"], eject_for: "
      "20s}]\n"
      "gathers: [{class: \"route-profile\", parts: [{name: \"e\", from: \"e.example.org\", path: "
      "\"/e?r={body}\"}]}]\n");
}

// A service below that counts what it is asked.
class Service {
 public:
  // `capacity`: answers in the making at once; 0: any number.
  explicit Service(std::uint32_t capacity = 0)
      : service_(io_, script(capacity), 1, {0}, standin::Dependency::Clock::now()) {
    service_.prefix_bodies_with_arrival();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Service() {
    io_.stop();
    thread_.join();
  }
  // One endpoint and no second tries, so that calls are counted and nothing else; the rest of it in `fields`.
  std::string declared(const std::string& fields) const {
    return "dependencies: [{name: \"e.example.org\", endpoints: [\"127.0.0.1:" +
           std::to_string(service_.port(0)) + "\"], hedge_after: 0, most_tries: 1, " + fields +
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
    boost::asio::post(io_, [&] { result.set_value(service_.counters()); });
    return result.get_future().get();
  }
  boost::asio::io_context io_;
  standin::Dependency service_;
  std::thread thread_;
};
ProcessFleetOptions over(const Service& service, const std::string& fields, std::size_t size) {
  auto o = Ways::made(size, "");
  const std::string none = "dependencies: []\ngathers: []\n";
  o.operator_file.replace(o.operator_file.find(none), none.size(), service.declared(fields));
  return o;
}
struct Profiles : Ways {
  using Ways::Ways;
  // Served with its part.
  bool whole(const std::string& name, const std::string& route) {
    const auto a = standin::Client(port(name)).call({"route-profile", route, {}, {}, 5});
    return a && a->code == standin::ResponseCode::served &&
           a->body.find(" /e?r=" + route + "\n") != std::string::npos;
  }
};

// What others found out of a service below the newcomer need not find out again: whom they hold out, it does
// not choose. Alone in its knowledge it would have.
TEST(RecoveryProcess, ANewcomerLearnsOfEndpointsFromOthers) {
  auto o = Ways::made(4, "");
  o.operator_file = with_dependency(o.operator_file);
  Ways f(4, o);
  f.form();
  for (const auto& name : f.names())
    for (int k = 0; k < 40; ++k)
      standin::Client(f.port(name)).call({"route-profile", "r" + std::to_string(k), {}, {}, 5});
  f.kill("n2");
  f.start("n2");
  EXPECT_TRUE(
      f.wait_until([&] { return f.says("endpoints from ", "n2") && f.says("other members", "n2"); }, kLong))
      << f.log("n2");
  EXPECT_TRUE(f.says("restored the health of 1 endpoints", "n2") ||
              f.says("restored the health of 2 endpoints", "n2"))
      << f.log("n2");
}

// Of what all ask for one member asks below, and tells the others; also while that one stands still.
TEST(RecoveryProcess, OneMemberAsksBelowForAll) {
  Service service;
  Profiles f(4, over(service, "fleet_fill: true", 4));
  f.form();
  ASSERT_TRUE(f.all_in_service());
  // Until each knows of the others' doors: then a route that is new to all costs one call.
  int n = 0;
  const auto one_call = [&] {
    const auto before = service.calls();
    const auto route = "new" + std::to_string(++n);
    for (const auto& name : f.names())
      if (!f.whole(name, route)) return false;
    return service.calls() == before + 1;
  };
  ASSERT_TRUE(f.wait_until(one_call, kLong)) << f.describe();
  const auto before = service.calls();
  std::vector<std::thread> asks;
  std::atomic<int> good = 0;
  for (const auto& name : f.names())
    asks.emplace_back([&, name] {
      for (int k = 0; k < 20; ++k) good += f.whole(name, "r" + std::to_string(k));
    });
  for (auto& a : asks) a.join();
  EXPECT_EQ(good, 80);
  // A stall of this machine may cost one a question to its owner: far fewer than the eighty of each for
  // itself.
  EXPECT_GE(service.calls(), before + 20);
  EXPECT_LT(service.calls(), before + 40);
  f.pause("n1");  // it fills a quarter of them
  for (int k = 0; k < 12; ++k) EXPECT_TRUE(f.whole(k % 2 ? "n0" : "n2", "paused" + std::to_string(k)));
  f.resume("n1");
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
}

// What was kept outlives its process, by its snapshot, and the fleet's by those that are asked.
TEST(RecoveryProcess, KeptAnswersOutliveTheirProcess) {
  for (const bool alone : {true, false}) {
    Service service;
    auto o = over(service, "", alone ? 1 : 3);
    if (alone)
      o.operator_file.replace(o.operator_file.find("recovery: {"), 11, "recovery: {folder: \"@FOLDER\", ");
    Profiles f(alone ? 1 : 3, o);
    f.form();
    ASSERT_TRUE(f.all_in_service());
    for (const auto& name : f.names())
      for (int k = 0; k < 10; ++k) ASSERT_TRUE(f.whole(name, "r" + std::to_string(k)));
    const auto before = service.calls();
    if (alone) {
      f.terminate("n0");  // in order: the last snapshot is written
      ASSERT_TRUE(f.wait_until([&] { return f.has_exited("n0"); }, kLong));
    } else {
      f.kill("n0");
    }
    f.start("n0");
    ASSERT_TRUE(f.wait_until(
        [&] { return f.says("cached responses from", "n0") && f.port("n0") && f.answers("n0"); }, kLong))
        << f.log("n0");
    for (int k = 0; k < 10; ++k) EXPECT_TRUE(f.whole("n0", "r" + std::to_string(k)));
    EXPECT_EQ(service.calls(), before);
  }
}

// A service that can do just so much, when all come back at once and want it: everybody is answered, and few
// calls are open there. While a member sees only one other its share is half of the fleet's four, so that
// four of them may have eight; each for itself would have all of its eight callers' open.
TEST(RecoveryProcess, AServiceAtItsLimitIsNotFallenUpon) {
  Service service(2);
  auto o = over(service, "fleet_open: 4", 4);
  Profiles f(4, o);
  f.form();
  ASSERT_TRUE(f.all_in_service());
  for (const auto& name : f.names()) f.kill(name);
  for (const auto& name : f.names()) f.start(name);
  std::atomic<int> answered = 0;
  std::vector<std::thread> asks;
  for (const auto& name : f.names()) {
    ASSERT_TRUE(f.wait_until([&] { return f.port(name) != 0; }, kLong));
    for (int t = 0; t < 8; ++t)
      asks.emplace_back([&, name, t] {
        for (int k = 0; k < 10; ++k) {
          const auto route = "r" + std::to_string(t) + "." + std::to_string(k) + name;
          const auto a = standin::Client(f.port(name)).call({"route-profile", route, {}, {}, 5});
          answered += a.has_value();
        }
      });
  }
  for (auto& a : asks) a.join();
  EXPECT_EQ(answered, 320);
  EXPECT_LE(service.max_open(), 8u);
  ASSERT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  EXPECT_TRUE(f.all_in_service());
}

}  // namespace
}  // namespace granitegap::fleet
