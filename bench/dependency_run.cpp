#include "dependency_run.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <csignal>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <thread>

#include "dependency_config.h"
#include "standin/async_client.h"
#include "standin/child_process.h"
#include "standin/dependency.h"
#include "standin/kernel.h"
#include "standin/temporary_directory.h"

namespace granitegap::bench {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr auto kStartDelay = milliseconds(500);         // for the server to start
constexpr auto kLastAnswers = std::chrono::seconds(7);  // after the last arrival: past every deadline
constexpr auto kAnswerPollInterval = milliseconds(20);
constexpr int kMaxConnectAttempts = 500;
constexpr auto kConnectInterval = milliseconds(10);
constexpr Duration kUnknownClassCost = milliseconds(1);

asio::ip::address loopback() { return asio::ip::address_v4::loopback(); }

// The same for the same request in every run: between half and one and a half of its class's.
Duration cost_of(const std::string& cls, const std::string& body) {
  const double factor = 0.5 + double(std::hash<std::string>{}(body) % 1024) / 1024;
  for (const auto& known : kClasses)
    if (cls == known.name) return Duration(std::llround(double(known.cost.count()) * factor));
  return kUnknownClassCost;
}

standin::Script first_phase_without_faults(standin::Script script) {
  script.phases.resize(1);
  script.phases[0].faults.clear();
  script.phases[0].from = {};
  script.repeat = {};
  return script;
}

std::uint16_t free_port(asio::io_context& io) {
  return tcp::acceptor(io, tcp::endpoint(loopback(), 0)).local_endpoint().port();
}

double peak_rss_mb(int pid) {
  constexpr std::string_view kField = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(kField)) return std::stod(line.substr(kField.size())) / 1024;
  return 0;
}

class Run {
 public:
  Run(const standin::Scenario& scenario, Policy policy, const std::vector<Arrival>& arrivals,
      const RunOptions& options);
  RunResult execute();

 private:
  standin::ChildProcess start_server(const standin::Scenario& scenario, Policy policy,
                                     const std::string& program);
  void connect_clients();
  tcp::socket connect_to_server();
  asio::awaitable<void> send_arrivals();
  void send(std::size_t number);
  bool all_answered() const;
  void collect();

  const std::vector<Arrival>& arrivals_;
  RunResult result_;
  asio::io_context io_{1};
  asio::ip::udp::socket load_reports_{io_, {loopback(), 0}};  // nobody reads them
  Clock::time_point start_ = Clock::now() + kStartDelay;
  standin::Kernel kernel_;
  standin::Dependency elevation_, names_;
  std::uint16_t server_port_;
  standin::TemporaryDirectory directory_{"granitegap-bench-"};
  standin::ChildProcess server_;
  std::vector<std::shared_ptr<standin::AsyncClient>> clients_;
};

Run::Run(const standin::Scenario& scenario, Policy policy, const std::vector<Arrival>& arrivals,
         const RunOptions& options)
    : arrivals_(arrivals),
      kernel_(io_, scenario.cores, cost_of),
      elevation_(
          io_,
          policy == Policy::fault_free ? first_phase_without_faults(scenario.elevation) : scenario.elevation,
          options.seed + 1, std::vector<std::uint16_t>(std::size_t(scenario.endpoints), 0), start_),
      names_(io_, policy == Policy::fault_free ? first_phase_without_faults(scenario.names) : scenario.names,
             options.seed + 2, std::vector<std::uint16_t>(std::size_t(scenario.endpoints), 0), start_),
      server_port_(free_port(io_)),
      server_(start_server(scenario, policy, options.program)) {
  result_.answers.resize(arrivals.size());
}

standin::ChildProcess Run::start_server(const standin::Scenario& scenario, Policy policy,
                                        const std::string& program) {
  const auto config = (directory_.path() / "config.json").string();
  const auto operator_file = (directory_.path() / "operator.cue").string();
  ServerPorts ports;
  ports.listen = server_port_;
  ports.kernel = kernel_.port();
  ports.load_reports = load_reports_.local_endpoint().port();
  std::ofstream(config) << platform_config_text(scenario, ports);
  std::ofstream(operator_file) << operator_file_text(scenario, elevation_, names_);
  standin::ChildProcessOptions child;
  child.arguments = {program, "serve", "--operator", operator_file};
  if (policy == Policy::plain) child.arguments.push_back("--plain-calls");
  child.environment = standin::environment_without({"EDGE_"});
  child.environment.push_back("EDGE_CONFIG=" + config);
  child.log = directory_.path() / "log";
  return standin::ChildProcess(child);
}

tcp::socket Run::connect_to_server() {
  boost::system::error_code error;
  for (int attempt = 0; attempt < kMaxConnectAttempts; ++attempt) {
    tcp::socket socket(io_);
    socket.connect({loopback(), server_port_}, error);
    if (!error) return socket;
    std::this_thread::sleep_for(kConnectInterval);
  }
  throw std::runtime_error("the program does not listen: " + error.message());
}

void Run::connect_clients() {
  for (int proxy = 0; proxy < kProxies; ++proxy) {
    clients_.push_back(std::make_shared<standin::AsyncClient>(io_));
    clients_.back()->attach(connect_to_server());
  }
}

void Run::send(std::size_t number) {
  using namespace std::chrono;
  const auto& arrival = arrivals_[number];
  const auto& cls = kClasses[arrival.class_index];
  standin::Request request;
  request.cls = cls.name;
  request.body = arrival.body;
  request.idempotency_key = arrival.idempotency_key;
  request.estimated_cost_ms = int(duration_cast<milliseconds>(cls.cost).count());
  standin::RequestEnvelope envelope;
  envelope.proxy = arrival.proxy;
  envelope.request_id = arrival.request_id;
  envelope.t0_ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  envelope.organization = kOrganization;
  const auto sent_at = Clock::now();
  const auto on_response = [this, number, sent_at](std::optional<standin::Response> response) {
    if (!response) return;
    auto& answer = result_.answers[number];
    answer.received = true;
    answer.served = response->code == standin::ResponseCode::served;
    answer.rejected = response->code == standin::ResponseCode::rejected;
    answer.failed = response->code == standin::ResponseCode::failed;
    answer.latency = duration_cast<Duration>(Clock::now() - sent_at);
    answer.has_parts = response->has_parts;
    answer.has_missing_parts = response->has_missing_parts;
  };
  clients_[std::size_t(arrival.proxy)]->send(request, envelope, on_response);
}

bool Run::all_answered() const {
  return std::all_of(result_.answers.begin(), result_.answers.end(),
                     [](const Answer& answer) { return answer.received; });
}

asio::awaitable<void> Run::send_arrivals() {
  asio::steady_timer timer(io_);
  for (std::size_t number = 0; number < arrivals_.size(); ++number) {
    timer.expires_at(start_ + arrivals_[number].at);
    co_await timer.async_wait(asio::use_awaitable);
    send(number);
  }
  const auto deadline = Clock::now() + kLastAnswers;
  while (Clock::now() < deadline && !all_answered()) {
    timer.expires_after(kAnswerPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  io_.stop();
}

void Run::collect() {
  for (const auto& [key, count] : kernel_.runs())
    if (key.cls == "trail-report") result_.double_runs += count - 1;
  for (const auto* dependency : {&elevation_, &names_}) {
    const auto& counters = dependency->counters();
    result_.max_open_calls = std::max(result_.max_open_calls, counters.max_open);
    result_.calls.insert(result_.calls.end(), counters.arrivals.begin(), counters.arrivals.end());
  }
}

RunResult Run::execute() {
  connect_clients();
  asio::co_spawn(io_, send_arrivals(), asio::detached);
  io_.run();
  result_.peak_rss_mb = peak_rss_mb(server_.pid());
  server_.signal(SIGTERM);
  server_.wait();
  result_.wait_status = server_.wait_status().value_or(-1);
  collect();
  return std::move(result_);
}

}  // namespace

RunResult run_workload(const standin::Scenario& scenario, Policy policy, const std::vector<Arrival>& arrivals,
                       const RunOptions& options) {
  return Run(scenario, policy, arrivals, options).execute();
}

}  // namespace granitegap::bench
