// Tests of SIGHUP at a real process that is still starting. The configuration file is a pipe, so that the
// process waits for its content while the test sends the signal.
#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include "fleet/process_config.h"
#include "posix/unique_fd.h"
#include "server_process.h"
#include "standin/child_process.h"
#include "standin/temporary_directory.h"

namespace granitegap::fleet {
namespace {

using boost::asio::ip::tcp;
using posix::UniqueFd;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kReloadTimeout{20000};
constexpr milliseconds kPollInterval{2};
constexpr mode_t kPipeMode = 0600;

void make_pipe(const std::filesystem::path& path) { ASSERT_EQ(::mkfifo(path.c_str(), kPipeMode), 0); }

// Returns the writing end once a process reads the pipe; no descriptor if none does in time.
UniqueFd open_for_reader(const std::filesystem::path& path) {
  const auto deadline = Clock::now() + kReloadTimeout;
  while (Clock::now() < deadline) {
    const int fd = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (fd >= 0) return UniqueFd(fd);
    std::this_thread::sleep_for(kPollInterval);
  }
  return {};
}

void write_and_close(UniqueFd pipe, const std::string& text) {
  ASSERT_EQ(::write(pipe.get(), text.data(), text.size()), ssize_t(text.size()));
}

bool is_connected_to(tcp::acceptor& listener) {
  pollfd incoming{listener.native_handle(), POLLIN, 0};
  return ::poll(&incoming, 1, int(kReloadTimeout.count())) == 1;
}

std::string config_with_kernel(const tcp::acceptor& kernel) {
  PlatformConfig config;
  config.name = kServer;
  config.kernel_port = kernel.local_endpoint().port();
  config.load_report_port = kernel.local_endpoint().port();  // UDP: nobody receives the reports
  config.seed = "8c1f30d27a5be964";
  return platform_config_text(platform_options(), config);
}

// Guards against a process that keeps the addresses of a file that was replaced while it started.
TEST(EarlyReload, ASignalWhileTheConfigurationIsReadReloadsIt) {
  const standin::TemporaryDirectory folder("granitegap_early_reload_");
  const auto path = folder.path() / "config.json";
  const auto log = folder.path() / "log";
  make_pipe(path);
  boost::asio::io_context io;
  const tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);
  const tcp::acceptor old_kernel(io, any_port);
  tcp::acceptor new_kernel(io, any_port);
  standin::ChildProcessOptions options;
  options.arguments = {PROGRAM};
  options.environment = standin::environment_without({"EDGE_"});
  options.environment.push_back("EDGE_CONFIG=" + path.string());
  options.log = log;
  standin::ChildProcess process(options);

  auto first_read = open_for_reader(path);
  ASSERT_TRUE(first_read.valid());
  process.signal(SIGHUP);
  // The reload must open another pipe than the one that the process still reads.
  std::filesystem::remove(path);
  make_pipe(path);
  write_and_close(std::move(first_read), config_with_kernel(old_kernel));
  auto second_read = open_for_reader(path);
  ASSERT_TRUE(second_read.valid()) << "the process did not read its configuration again";
  write_and_close(std::move(second_read), config_with_kernel(new_kernel));
  EXPECT_TRUE(is_connected_to(new_kernel)) << std::ifstream(log).rdbuf();
  process.signal(SIGTERM);
  process.wait();
  EXPECT_EQ(process.exit_status(), 0) << std::ifstream(log).rdbuf();
}

}  // namespace
}  // namespace granitegap::fleet
