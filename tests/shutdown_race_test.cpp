// What is still owed in the instant in which something ends, between real processes: each crossing is forced
// by stopping the process (SIGSTOP), by halves of a message, or by two signals at once. Answers and the runs
// that the kernel counts decide, never times.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <list>
#include <thread>

#include "fleet/process_fleet.h"
#include "standin/client.h"

namespace granitegap::fleet {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::udp;
using standin::Client;
using standin::Request;

constexpr auto kLong = 60s;
const Request kTile{"tile", "x", {}, {}, 20};

ProcessFleetOptions options() {
  ProcessFleetOptions o;
  o.program = PROGRAM;
  o.size = 1;
  o.with_membership = o.with_operator_file = false;  // as on the platform
  return o;
}

struct Trial : ProcessFleet {
  explicit Trial(ProcessFleetOptions o = options()) : ProcessFleet(std::move(o)) {}
  void up() {
    start("n0");
    ASSERT_TRUE(wait_until([&] { return port("n0") != 0 && served(Client(port("n0")).call(kTile)); }, kLong))
        << log("n0");
  }
  static bool served(const std::optional<standin::Response>& a) {
    return a && a->code == standin::ResponseCode::served;
  }
  void signal(int number) { ::kill(pid("n0"), number); }
  bool says(const std::string& line) { return log("n0").find(line) != std::string::npos; }
  void left_in_order() {
    ASSERT_TRUE(wait_until([&] { return has_exited("n0"); }, kLong)) << log("n0");
    EXPECT_EQ(exit_status("n0"), 0);
    EXPECT_TRUE(says("left: all answered")) << log("n0");
  }
};

TEST(ShutdownRace, ANoticeBetweenTheAcceptAndTheFirstByteLeavesTheAnswerOwed) {
  Trial f;
  f.up();
  Client c(f.port("n0"));
  f.signal(SIGTERM);
  ASSERT_TRUE(f.wait_until([&] { return f.says("notice to leave"); }, kLong));
  EXPECT_TRUE(c.call(kTile)) << f.log("n0");
  f.left_in_order();
}

TEST(ShutdownRace, ARequestInTheBacklogAtTheNoticeIsAnswered) {
  Trial f;
  f.up();
  f.pause("n0");
  Client c(f.port("n0"));
  c.send(kTile);
  f.signal(SIGTERM);
  f.resume("n0");
  EXPECT_TRUE(c.receive()) << f.log("n0");
  f.left_in_order();
}

TEST(ShutdownRace, HalfALineAtTheNoticeAndTheRestAfterItIsOneRequest) {
  Trial f;
  f.up();
  Client c(f.port("n0"));
  c.send_prefix(kTile, 20);
  f.signal(SIGTERM);
  ASSERT_TRUE(f.wait_until([&] { return f.says("notice to leave"); }, kLong));
  c.send_remainder();
  EXPECT_TRUE(c.receive()) << f.log("n0");
  f.left_in_order();
}

TEST(ShutdownRace, ANoticeDirectlyAfterAReloadEndsInOrderWithWhatRuns) {
  auto o = options();
  o.run_cost = 300ms;
  Trial f(o);
  f.up();
  Client c(f.port("n0"));
  c.send({"trail-report", "report", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", {}, 300});
  ASSERT_TRUE(f.wait_until([&] { return f.kernel_runs("n0").contains({"trail-report", "report"}); }, kLong));
  f.pause("n0");  // so that both wait for it together
  f.signal(SIGHUP);
  f.signal(SIGTERM);
  f.resume("n0");
  EXPECT_TRUE(Trial::served(c.receive())) << f.log("n0");
  f.left_in_order();
  EXPECT_EQ((f.kernel_runs("n0").at({"trail-report", "report"})), 1);
}

// A notice in the first instants: whatever has been built by then, it is heeded and nothing is cut off.
TEST(ShutdownRace, ANoticeAsSoonAsTheDoorIsOpenIsHeeded) {
  Trial f;
  f.start("n0");
  ASSERT_TRUE(f.wait_until([&] { return f.says("listening on"); }, kLong));
  f.signal(SIGTERM);
  f.left_in_order();
}

TEST(ShutdownRace, IdleClientsFillTheDescriptorsWhileTheListIsAway) {
  boost::asio::io_context io;
  udp::socket list(io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const auto at = list.local_endpoint();
  list.close();
  auto o = options();
  o.max_sockets = 64;
  o.load_report_port = at.port();
  Trial f(o);
  f.up();
  std::list<Client> idle;
  for (int i = 0; i < 100; ++i) idle.emplace_back(f.port("n0")).check_health();
  EXPECT_TRUE(f.wait_until([&] { return Trial::served(Client(f.port("n0")).call(kTile)); }, kLong))
      << f.log("n0");
  // The list is back, late: it hears that this one serves, though all descriptors are taken.
  list.open(udp::v4());
  list.bind(at);
  char report[64];
  const auto size = list.receive(boost::asio::buffer(report));
  EXPECT_EQ(std::string(report, size), "announce n0 true");
  f.signal(SIGTERM);
  std::string last;
  while (last != "announce n0 false") last.assign(report, list.receive(boost::asio::buffer(report)));
  f.left_in_order();
}

}  // namespace
}  // namespace granitegap::fleet
