#include "fleet/process_fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <future>
#include <sstream>
#include <stdexcept>

#include "membership_udp/actor.h"

namespace granitegap::fleet {

namespace asio = boost::asio;
using asio::ip::udp;
using membership::Status;
using namespace std::chrono_literals;

namespace {

constexpr char kPlatform[] = R"json({"name":"@NAME","listen":"127.0.0.1:0","kernel":"127.0.0.1:@KERNEL",
 "announce":"127.0.0.1:@LIST","seed":"@SEED","stop_ms":3200,
 "limits":{"cores":1.0,"memory_mb":64,"sockets":@SOCKETS},
 "settings":{"classes":[
   {"name":"tile","aim_ms":1900.0,"deadline_ms":4900.0,"effect":"retryable","late_worth":0.2,"worth":1.0},
   {"name":"route-profile","aim_ms":1900.0,"deadline_ms":4900.0,"effect":"retryable","late_worth":0.0,"worth":2.0},
   {"name":"trail-report","aim_ms":1200.0,"deadline_ms":3000.0,"effect":"dedup","late_worth":0.2,
    "repeat_window_ms":@WINDOW,"worth":5.0}],
  "orgs":[{"name":"turistaterkep","allowance_per_s":54.0,"share":1.0}],
  "limits":{"max_retry_after_ms":@BACKOFF,"retry_after":true},
  "rules":{"answer_slack_ms":100.0,"cold_from":0.2,"cold_ms":@COLD,"drain_grace_ms":2000.0,
           "fall_ms":1500.0,"overload_factor":8.0},
  "servers":1,"tick_ms":2.0,"worth_by":"work",
  "specifics":{"cpus":@CORES,"upstreams":3,"run_factor":8.0,"memory_kb":49134.0,"key_kb":205.58,"halt":"pause",
   "say":"tokens","deep_checks":true,"heeded_ms":1000.0,"downstream":"none","passes_deadline":false,
   "tells_gone":false,"cold":false,"gauges":["core_use","on_cores","heap_share","links"]}}})json";

std::string with(std::string text, const std::string& what, const std::string& is) {
  for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += is.size())
    text.replace(at, what.size(), is);
  return text;
}

std::string text_of(const udp::endpoint& e) {
  const auto host = e.address().to_string();
  return (e.address().is_v6() ? "[" + host + "]" : host) + ":" + std::to_string(e.port());
}

// A socket on a port that is free, and stays so until the process that it is for takes it: below the range
// from which the system gives ports to whoever asks for any, as a socket on all addresses would take it away
// on each.
udp::socket hold_port(asio::io_context& io, const asio::ip::address& ip, std::size_t number) {
  constexpr unsigned kFirst = 12000, kCount = 18000, kTries = 200;
  const auto start = unsigned(::getpid()) * 61u + unsigned(number);
  for (unsigned k = 0;; ++k) {
    udp::socket socket(io, ip.is_v6() ? udp::v6() : udp::v4());
    boost::system::error_code error;
    socket.bind({ip, std::uint16_t(kFirst + (start + k * 251) % kCount)}, error);
    if (!error) return socket;
    if (k >= kTries) throw std::runtime_error("no free port for the fleet: " + error.message());
  }
}

// This process's own loopback address, so that no other fleet asks for it.
asio::ip::address own_address(std::size_t number) {
  const auto pid = std::uint32_t(::getpid());
  return asio::ip::address_v4(
      {127, std::uint8_t(64 + pid % 128), std::uint8_t(pid / 128), std::uint8_t(1 + number % 250)});
}

void write_file(const std::filesystem::path& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error("can't write " + path.string());
}

}  // namespace

// The network and the kernels live on one thread of their own; what others ask of them is run there.
template <class F>
auto ProcessFleet::on_io(F f) const {
  std::promise<decltype(f())> done;
  auto result = done.get_future();
  asio::post(io_, [&] {
    if constexpr (std::is_void_v<decltype(f())>) {
      f();
      done.set_value();
    } else {
      done.set_value(f());
    }
  });
  return result.get();
}

ProcessFleet::ProcessFleet(ProcessFleetOptions options)
    : options_(std::move(options)),
      work_(asio::make_work_guard(io_)),
      list_(io_, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
      network_(std::make_unique<standin::Network>(io_, options_.seed)) {
  auto pattern = (std::filesystem::temp_directory_path() / "granitegap_fleet_XXXXXX").string();
  if (!::mkdtemp(pattern.data())) throw std::runtime_error("can't make a folder for the fleet");
  folder_ = pattern;
  for (std::size_t n = 0; n < options_.size; ++n) {
    const auto name = "n" + std::to_string(n);
    prepare(name, name, n);
  }
  thread_ = std::thread([this] { io_.run(); });
}

ProcessFleet::~ProcessFleet() {
  for (auto& [name, p] : processes_)
    if (p.pid && !p.status) ::kill(p.pid, SIGKILL);
  for (auto& [name, p] : processes_)
    if (p.pid && !p.status) reap(p, true);
  work_.reset();
  io_.stop();
  thread_.join();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

ProcessFleet::Process& ProcessFleet::at(const std::string& name) {
  const auto it = processes_.find(name);
  if (it == processes_.end()) throw std::runtime_error("no process " + name);
  return it->second;
}
const ProcessFleet::Process& ProcessFleet::at(const std::string& name) const {
  return const_cast<ProcessFleet*>(this)->at(name);
}

void ProcessFleet::prepare(const std::string& alias, const std::string& name, std::size_t number) {
  Process p;
  p.name = name;
  p.alias = alias;
  // Held until the network has its own port: guards against both getting the same.
  auto held = hold_port(io_, options_.ipv6 ? asio::ip::address_v6::loopback() : own_address(number), number);
  p.bound = held.local_endpoint();
  p.advertised = options_.ipv6 ? p.bound : network_->add(alias, p.bound);
  held.close();
  if (options_.secondary_paths) {
    p.second = hold_port(io_, asio::ip::address_v6::loopback(), number).local_endpoint();
  }
  const auto cost = options_.run_cost;
  p.kernel = std::make_unique<standin::Kernel>(io_, options_.cores, [cost](auto&, auto&) { return cost; });
  p.folder = folder_ / alias;
  std::filesystem::create_directory(p.folder);
  if (seeds_.size() < options_.seeds) seeds_.push_back(text_of(p.advertised));
  processes_[alias] = std::move(p);
}

void ProcessFleet::declare(const Process& p, const std::vector<std::string>& from,
                           const std::string& membership) {
  const auto digits = p.name.find_first_of("0123456789");
  const auto index = digits == std::string::npos ? 0 : std::stoul(p.name.substr(digits));
  std::string seeds;
  const auto second = p.second.port() ? "second: {bind: \"" + text_of(p.second) + "\"}\n\t" : std::string();
  for (const auto& s : from) seeds += "\"" + s + "\", ";
  const auto rest = "version: 1\n" + with(options_.operator_file, "@FOLDER", (p.folder / "state").string());
  if (!options_.with_membership) return write_file(p.folder / "operator.cue", rest);
  write_file(p.folder / "operator.cue", rest + "membership: {\n\tcluster: \"trial\"\n\tbind: \"" +
                                            text_of(p.bound) + "\"\n\tadvertise: \"" + text_of(p.advertised) +
                                            "\"\n\tseeds: [" + seeds + "]\n\tzone: \"z" +
                                            std::to_string(index % std::max<std::size_t>(options_.zones, 1)) +
                                            "\"\n\t" + second + membership + "\n}\n");
}

void ProcessFleet::reload_operator_file(const std::string& name, const Names& seeds,
                                        const std::string& membership) {
  auto& p = at(name);
  std::vector<std::string> addresses;
  for (const auto& s : seeds) addresses.push_back(text_of(at(s).advertised));
  declare(p, addresses, membership.empty() ? options_.membership_fields : membership);
  if (p.pid && !p.status) ::kill(p.pid, SIGHUP);
}

void ProcessFleet::launch(Process& p) {
  const auto number = processes_.size();
  auto platform = with(kPlatform, "@NAME", p.name);
  platform = with(platform, "@KERNEL", std::to_string(p.kernel->port()));
  platform = with(
      platform, "@LIST",
      std::to_string(options_.load_report_port ? options_.load_report_port : list_.local_endpoint().port()));
  platform = with(platform, "@SOCKETS", std::to_string(options_.max_sockets));
  platform = with(platform, "@COLD", std::to_string(options_.warm_up_ms));
  platform = with(platform, "@BACKOFF", std::to_string(options_.max_retry_after_ms));
  platform = with(platform, "@CORES", std::to_string(options_.cores));
  platform = with(platform, "@WINDOW", std::to_string(options_.idempotency_window.count() / 1000) + ".0");
  std::ostringstream seed;  // new with each start, as the platform's is
  seed << std::hex << (options_.seed * 1000003 + std::hash<std::string>()(p.alias) + std::uint64_t(number));
  platform = with(platform, "@SEED", seed.str());
  write_file(p.folder / "config.json", platform);
  declare(p, seeds_, options_.membership_fields);
  const auto config = "EDGE_CONFIG=" + (p.folder / "config.json").string();
  const auto declared = (p.folder / "operator.cue").string();
  const auto log = (p.folder / "log").string();
  std::vector<std::string> words{options_.program, "serve"};
  if (options_.with_operator_file) words.insert(words.end(), {"--operator", declared});
  if (options_.plain_membership) words.push_back("--plain-membership");
  std::vector<char*> argv;
  for (auto& w : words) argv.push_back(w.data());
  argv.push_back(nullptr);
  std::vector<char*> env;
  std::string config_text = config;
  for (char** e = environ; *e; ++e)
    if (std::strncmp(*e, "EDGE_", 5) != 0) env.push_back(*e);
  env.push_back(config_text.data());
  std::string preload = "LD_PRELOAD=" + options_.clock_shift_library;
  std::string shift = "CLOCK_SHIFT_MS=" + std::to_string(p.clock_shift.count());
  // A sanitizer's runtime wants to be the first library; that it is not is harmless here.
  std::string order = "ASAN_OPTIONS=verify_asan_link_order=0";
  if (p.clock_shift.count() != 0) {
    if (options_.clock_shift_library.empty()) throw std::runtime_error("no library to shift a clock with");
    for (auto* text : {&preload, &shift, &order}) env.push_back(text->data());
  }
  std::string fd = "EDGE_FD=3", shared = "TMPDIR=" + (folder_ / ("shared-" + p.name)).string();
  std::string door_of_operators = "EDGE_ADMIN_ADDR=127.0.0.1:0";
  int door = -1;
  if (options_.admin_listener) env.push_back(door_of_operators.data());
  if (options_.inherited_listener) {
    auto& kept = doors_.try_emplace(p.name, io_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
                     .first->second;
    door = kept.native_handle();
    if (options_.create_shared_folder) std::filesystem::create_directory(folder_ / ("shared-" + p.name));
    std::erase_if(env, [](const char* e) { return std::strncmp(e, "TMPDIR=", 7) == 0; });
    for (auto* text : {&fd, &shared}) env.push_back(text->data());
  }
  env.push_back(nullptr);
  const auto parent = ::getpid();
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  p.pid = ::fork();
  if (p.pid == 0) {  // only calls that are safe between fork and exec
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::dup2(out, 2);
    ::dup2(out, 1);
    if (door == 3) ::fcntl(3, F_SETFD, 0);
    if (door >= 0 && door != 3) ::dup2(door, 3);
    ::execve(argv[0], argv.data(), env.data());
    ::_exit(127);
  }
  ::close(out);
  if (p.pid < 0) throw std::runtime_error("can't start " + p.alias);
  p.status.reset();
  p.paused = false;
  ++p.lives;
}

void ProcessFleet::start(const std::string& name) {
  auto& p = at(name);
  if (p.pid && !p.status) throw std::runtime_error(name + " runs already");
  launch(p);
}

void ProcessFleet::start_all() {
  for (auto& [name, p] : processes_)
    if (!p.pid || p.status) launch(p);
}

bool ProcessFleet::reap(Process& p, bool wait) {
  if (!p.pid || p.status) return true;
  int status = 0;
  const auto got = ::waitpid(p.pid, &status, wait ? 0 : WNOHANG);
  if (got != p.pid) return false;
  p.status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

void ProcessFleet::kill(const std::string& name) {
  auto& p = at(name);
  if (!p.pid || p.status) return;
  ::kill(p.pid, SIGKILL);
  reap(p, true);
}
void ProcessFleet::wipe_state(const std::string& name) {
  std::error_code ignored;
  std::filesystem::remove_all(state_folder(name), ignored);
}
void ProcessFleet::terminate(const std::string& name) {
  if (auto& p = at(name); p.pid && !p.status) ::kill(p.pid, SIGTERM);
}
bool ProcessFleet::has_exited(const std::string& name) { return reap(at(name), false); }
std::optional<int> ProcessFleet::exit_status(const std::string& name) const { return at(name).status; }
void ProcessFleet::pause(const std::string& name) {
  auto& p = at(name);
  ::kill(p.pid, SIGSTOP);
  int status = 0;
  ::waitpid(p.pid, &status, WUNTRACED);  // until it has stopped
  p.paused = true;
}
void ProcessFleet::resume(const std::string& name) {
  auto& p = at(name);
  ::kill(p.pid, SIGCONT);
  p.paused = false;
}

std::string ProcessFleet::start_duplicate(const std::string& name, bool boots) {
  const auto alias = name + "'";
  on_io([&] {
    prepare(alias, name, processes_.size());
    at(alias).kernel->hold_boot(!boots);
  });
  launch(at(alias));
  return alias;
}

std::uint16_t ProcessFleet::admin_port(const std::string& name) const {
  return port_after(name, "operators' door at 127.0.0.1:");
}

std::string ProcessFleet::admin_command(const std::string& name, const std::string& line) const {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({asio::ip::address_v4::loopback(), admin_port(name)}, error);
  if (error) return {};
  asio::write(socket, asio::buffer(line + "\n"), error);
  std::string answer;
  asio::read_until(socket, asio::dynamic_buffer(answer), '\n', error);
  return answer.substr(0, answer.find('\n'));
}

ProcessFleet::RuleId ProcessFleet::add_rule(standin::Rule rule) {
  return on_io([&] { return network_->fault_injector().add(std::move(rule)); });
}
ProcessFleet::RuleId ProcessFleet::partition(Names from, Names to, bool both) {
  standin::Rule r;
  r.from = std::move(from);
  r.to = std::move(to);
  r.both = both;
  r.blocked = true;
  return add_rule(std::move(r));
}
void ProcessFleet::heal(RuleId rule) {
  on_io([&] { network_->fault_injector().remove(rule); });
}
void ProcessFleet::heal_all() {
  on_io([&] { network_->fault_injector().clear(); });
}
void ProcessFleet::inject(const std::string& from, const std::string& to, std::string bytes) {
  on_io([&] { network_->inject(from, to, std::move(bytes)); });
}
standin::FaultInjector::Counters ProcessFleet::network_counters() const {
  return on_io([&] { return network_->fault_injector().counters(); });
}

std::optional<membership_udp::StatusReply> ProcessFleet::view(const std::string& name,
                                                              std::chrono::milliseconds within) const {
  const auto& p = at(name);
  if (!p.pid || p.status || p.paused) return std::nullopt;
  return membership_udp::query_status(membership_udp::address_of(p.bound), within);
}

std::optional<Status> ProcessFleet::status_of(const std::string& who, const std::string& of) const {
  const auto v = view(who);
  if (!v) return std::nullopt;
  for (const auto& l : v->members)
    if (l.name == of) return l.status;
  return std::nullopt;
}

std::string ProcessFleet::describe() const {
  std::string all;
  for (const auto& [name, p] : processes_) {
    auto text = log(name);
    if (text.size() > 1000) text.erase(0, text.size() - 1000);
    siginfo_t ended{};
    const bool gone = p.pid && !p.status &&
                      ::waitid(P_PID, id_t(p.pid), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 &&
                      ended.si_pid == p.pid;
    all += name + (p.status || gone ? " (ended)" : p.paused ? " (paused)" : "") + ":";
    if (const auto v = gone ? std::nullopt : view(name))
      for (const auto& l : v->members)
        all += " " + l.name + "/" + std::to_string(l.incarnation) + " " + membership::text_of(l.status) + ",";
    all += "\n" + text + "\n";
  }
  return all;
}

ProcessFleet::Names ProcessFleet::names() const {
  Names all;
  for (const auto& [name, p] : processes_) all.insert(name);
  return all;
}
ProcessFleet::Names ProcessFleet::running() const {
  Names all;
  for (const auto& [name, p] : processes_)
    if (p.pid && !p.status && !p.paused) all.insert(name);
  return all;
}

bool ProcessFleet::has_converged() const {
  Names living;  // a paused one lives too
  for (const auto& [name, p] : processes_)
    if (p.pid && !p.status) living.insert(p.name);
  for (const auto& name : running()) {
    const auto v = view(name);
    if (!v) return false;
    Names alive;
    for (const auto& l : v->members)
      if (l.status == Status::alive) alive.insert(l.name);
    if (alive != living) return false;
  }
  return true;
}

bool ProcessFleet::all_report(const std::string& of, Status status) const {
  for (const auto& name : running())
    if (at(name).name != of && status_of(name, of) != status) return false;
  return true;
}

bool ProcessFleet::wait_until(const std::function<bool()>& condition, std::chrono::milliseconds most) const {
  const auto end = Clock::now() + most;
  for (;;) {
    if (condition()) return true;
    if (Clock::now() >= end) return false;
    std::this_thread::sleep_for(20ms);  // between two looks at a condition
  }
}

std::string ProcessFleet::log(const std::string& name) const {
  std::ifstream in(at(name).folder / "log", std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
std::size_t ProcessFleet::count_in_log(const std::string& name, const std::string& line) const {
  const auto text = log(name);
  std::size_t n = 0;
  for (std::size_t at = 0; (at = text.find(line, at)) != std::string::npos; ++at) ++n;
  return n;
}
CommandResult ProcessFleet::run_command(const std::string& arguments) const {
  std::string out;
  auto* pipe = ::popen((options_.program + " " + arguments + " 2>&1").c_str(), "r");
  if (!pipe) throw std::runtime_error("can't run " + options_.program);
  char buffer[512];
  while (const auto n = std::fread(buffer, 1, sizeof buffer, pipe)) out.append(buffer, n);
  return {WEXITSTATUS(::pclose(pipe)), out};
}
int ProcessFleet::pid(const std::string& name) const { return at(name).pid; }
standin::Kernel::RunCounts ProcessFleet::kernel_runs(const std::string& name) const {
  return on_io([&] { return at(name).kernel->runs(); });
}
void ProcessFleet::set_speed(const std::string& name, standin::Kernel::Speed speed) {
  on_io([&] { at(name).kernel->set_speed(speed); });
}
void ProcessFleet::reboot_kernel(const std::string& name) {
  on_io([&] { at(name).kernel->reboot(); });
}
void ProcessFleet::replay_stale_notices(const std::string& name) {
  on_io([&] { at(name).kernel->replay_stale_notices(); });
}
membership::Address ProcessFleet::bound(const std::string& name) const {
  return membership_udp::address_of(at(name).bound);
}
membership::Address ProcessFleet::advertised(const std::string& name) const {
  return membership_udp::address_of(at(name).advertised);
}

// The number after the words, as this life said it.
std::uint16_t ProcessFleet::port_after(const std::string& name, const std::string& words) const {
  const auto text = log(name);
  std::size_t said = 0, found = std::string::npos;
  for (std::size_t i = 0; (i = text.find(words, i)) != std::string::npos; ++i) found = i, ++said;
  return said < at(name).lives ? 0 : std::uint16_t(std::stoul(text.substr(found + words.size())));
}

std::uint16_t ProcessFleet::port(const std::string& name) const {
  return port_after(name, "listening on 127.0.0.1:");
}

}  // namespace granitegap::fleet
