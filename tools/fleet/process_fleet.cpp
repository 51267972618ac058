#include "fleet/process_fleet.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <future>
#include <sstream>
#include <stdexcept>

#include "fleet/loopback_address.h"
#include "fleet/process_config.h"
#include "membership_udp/actor.h"

namespace granitegap::fleet {

namespace asio = boost::asio;
using asio::ip::udp;
using membership::Status;
using namespace std::chrono_literals;

namespace {

constexpr auto kPollInterval = 20ms;  // between two looks at a condition
constexpr std::size_t kDescribedLogBytes = 1000;
constexpr std::size_t kAddressesPerFleet = 16, kConcurrentFleets = 15;
constexpr std::uint64_t kSeedStride = 1000003;

void write_file(const std::filesystem::path& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error("can't write " + path.string());
}

// The number in a process's name; 0 where it has none.
std::size_t number_in(const std::string& name) {
  const auto digits = name.find_first_of("0123456789");
  return digits == std::string::npos ? 0 : std::stoul(name.substr(digits));
}

// Fleets of one program that run at the same time have addresses of their own.
std::size_t next_first_number() {
  static std::atomic<std::size_t> fleets{0};
  return kAddressesPerFleet * (fleets++ % kConcurrentFleets);
}

struct PipeCloser {
  void operator()(std::FILE* pipe) const { ::pclose(pipe); }
};

}  // namespace

// Runs `f` on the thread of the network and the kernels, and waits for its result.
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
      first_number_(next_first_number()),
      work_(asio::make_work_guard(io_)),
      load_reports_(io_, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
      network_(std::make_unique<standin::Network>(io_, options_.seed)) {
  for (std::size_t n = 0; n < options_.size; ++n) {
    const auto name = "n" + std::to_string(n);
    add_process(name, name, n);
  }
  thread_ = std::thread([this] { io_.run(); });
}

ProcessFleet::~ProcessFleet() {
  for (auto& [alias, process] : processes_)
    if (process.child) process.child->signal(SIGKILL);
  for (auto& [alias, process] : processes_) process.child.reset();
  work_.reset();
  io_.stop();
  thread_.join();
}

ProcessFleet::Process& ProcessFleet::at(const std::string& name) {
  const auto it = processes_.find(name);
  if (it == processes_.end()) throw std::runtime_error("no process " + name);
  return it->second;
}

const ProcessFleet::Process& ProcessFleet::at(const std::string& name) const {
  return const_cast<ProcessFleet*>(this)->at(name);
}

void ProcessFleet::add_process(const std::string& alias, const std::string& name, std::size_t number) {
  Process process;
  process.name = name;
  process.alias = alias;
  const auto address_number = first_number_ + number;
  const auto address = options_.ipv6 ? asio::ip::address_v6::loopback() : loopback_address(address_number);
  // Kept until the network has its own port, so that both can't get the same.
  auto reserved = reserve_port(io_, address, address_number);
  process.bound = reserved.local_endpoint();
  process.advertised = options_.ipv6 ? process.bound : network_->add(alias, process.bound);
  reserved.close();
  if (options_.secondary_paths)
    process.secondary = reserve_port(io_, asio::ip::address_v6::loopback(), address_number).local_endpoint();
  const auto cost = options_.run_cost;
  process.kernel =
      std::make_unique<standin::Kernel>(io_, options_.cores, [cost](auto&, auto&) { return cost; });
  process.folder = folder_.path() / alias;
  std::filesystem::create_directory(process.folder);
  if (seeds_.size() < options_.seeds) seeds_.push_back(text_of(process.advertised));
  processes_[alias] = std::move(process);
}

void ProcessFleet::write_platform_config(const Process& process) {
  PlatformConfig config;
  config.name = process.name;
  config.kernel_port = process.kernel->port();
  config.load_report_port = options_.load_report_port;
  if (config.load_report_port == 0) config.load_report_port = load_reports_.local_endpoint().port();
  std::ostringstream seed;
  seed << std::hex
       << (options_.seed * kSeedStride + std::hash<std::string>()(process.alias) + processes_.size());
  config.seed = seed.str();
  write_file(process.folder / "config.json", platform_config_text(options_, config));
}

void ProcessFleet::write_operator_file(const Process& process, const std::vector<std::string>& seeds,
                                       const std::string& membership_fields) {
  MembershipConfig config;
  config.bound = process.bound;
  config.advertised = process.advertised;
  config.secondary = process.secondary;
  config.seeds = seeds;
  config.zone = number_in(process.name);
  config.more_fields = membership_fields;
  write_file(process.folder / "operator.cue", operator_file_text(options_, config, process.folder / "state"));
}

void ProcessFleet::reload_operator_file(const std::string& name, const Names& seeds,
                                        const std::string& membership_fields) {
  auto& process = at(name);
  std::vector<std::string> addresses;
  for (const auto& seed : seeds) addresses.push_back(text_of(at(seed).advertised));
  write_operator_file(process, addresses,
                      membership_fields.empty() ? options_.membership_fields : membership_fields);
  if (process.child) process.child->signal(SIGHUP);
}

std::filesystem::path ProcessFleet::shared_folder(const Process& process) const {
  return folder_.path() / ("shared-" + process.name);
}

// The descriptor of the listening socket that all processes with this name inherit.
int ProcessFleet::inherited_listener(const Process& process) {
  const asio::ip::tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);
  return listeners_.try_emplace(process.name, io_, any_port).first->second.native_handle();
}

standin::ChildProcessOptions ProcessFleet::child_options(const Process& process) {
  standin::ChildProcessOptions child;
  child.log = process.folder / "log";
  child.arguments = {options_.program, "serve"};
  if (options_.with_operator_file) {
    child.arguments.push_back("--operator");
    child.arguments.push_back((process.folder / "operator.cue").string());
  }
  if (options_.plain_membership) child.arguments.push_back("--plain-membership");
  std::vector<std::string> replaced{"EDGE_"};
  if (options_.inherited_listener) replaced.push_back("TMPDIR=");
  child.environment = standin::environment_without(replaced);
  child.environment.push_back("EDGE_CONFIG=" + (process.folder / "config.json").string());
  if (process.clock_shift.count() != 0) {
    if (options_.clock_shift_library.empty()) throw std::runtime_error("no library to shift a clock with");
    child.environment.push_back("LD_PRELOAD=" + options_.clock_shift_library);
    child.environment.push_back("CLOCK_SHIFT_MS=" + std::to_string(process.clock_shift.count()));
    // A sanitizer's runtime wants to be the first library; that it is not is harmless here.
    child.environment.push_back("ASAN_OPTIONS=verify_asan_link_order=0");
  }
  if (options_.admin_listener) child.environment.push_back("EDGE_ADMIN_ADDR=127.0.0.1:0");
  if (options_.inherited_listener) {
    child.inherited_descriptor = inherited_listener(process);
    child.environment.push_back("EDGE_FD=" + std::to_string(standin::kInheritedDescriptor));
    child.environment.push_back("TMPDIR=" + shared_folder(process).string());
  }
  return child;
}

void ProcessFleet::launch(Process& process) {
  write_platform_config(process);
  write_operator_file(process, seeds_, options_.membership_fields);
  if (options_.inherited_listener && options_.create_shared_folder)
    std::filesystem::create_directory(shared_folder(process));
  process.child.emplace(child_options(process));
  ++process.starts;
}

void ProcessFleet::start(const std::string& name) {
  auto& process = at(name);
  if (process.running()) throw std::runtime_error(name + " runs already");
  launch(process);
}

void ProcessFleet::start_all() {
  for (auto& [alias, process] : processes_)
    if (!process.running()) launch(process);
}

void ProcessFleet::kill(const std::string& name) {
  if (auto& child = at(name).child) child->kill();
}

void ProcessFleet::wipe_state(const std::string& name) {
  std::error_code ignored;
  std::filesystem::remove_all(state_folder(name), ignored);
}

void ProcessFleet::terminate(const std::string& name) {
  if (auto& child = at(name).child) child->signal(SIGTERM);
}

bool ProcessFleet::has_exited(const std::string& name) {
  auto& child = at(name).child;
  return !child || child->poll();
}

std::optional<int> ProcessFleet::exit_status(const std::string& name) const {
  const auto& child = at(name).child;
  return child ? child->exit_status() : std::nullopt;
}

void ProcessFleet::pause(const std::string& name) {
  if (auto& child = at(name).child) child->pause();
}

void ProcessFleet::resume(const std::string& name) {
  if (auto& child = at(name).child) child->resume();
}

std::string ProcessFleet::start_duplicate(const std::string& name, bool kernel_boots) {
  auto alias = name + "'";
  on_io([&] {
    add_process(alias, name, processes_.size());
    at(alias).kernel->hold_boot(!kernel_boots);
  });
  launch(at(alias));
  return alias;
}

std::uint16_t ProcessFleet::admin_port(const std::string& name) const {
  return logged_port(name, "admin listener at 127.0.0.1:");
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
  standin::Rule rule;
  rule.from = std::move(from);
  rule.to = std::move(to);
  rule.both = both;
  rule.blocked = true;
  return add_rule(std::move(rule));
}

void ProcessFleet::heal(RuleId rule) {
  on_io([&] { network_->fault_injector().remove(rule); });
}

void ProcessFleet::heal_all() {
  on_io([&] { network_->fault_injector().clear(); });
}

void ProcessFleet::inject(const std::string& from, const std::string& to, const std::string& bytes) {
  on_io([&] { network_->inject(from, to, bytes); });
}

standin::FaultInjector::Counters ProcessFleet::network_counters() const {
  return on_io([&] { return network_->fault_injector().counters(); });
}

std::optional<membership_udp::StatusReply> ProcessFleet::view(const std::string& name,
                                                              std::chrono::milliseconds timeout) const {
  const auto& process = at(name);
  if (!process.running() || process.child->paused()) return std::nullopt;
  return membership_udp::query_status(membership_udp::address_of(process.bound), timeout);
}

std::optional<Status> ProcessFleet::status_of(const std::string& observer, const std::string& member) const {
  const auto reply = view(observer);
  if (!reply) return std::nullopt;
  for (const auto& reported : reply->members)
    if (reported.name == member) return reported.status;
  return std::nullopt;
}

std::string ProcessFleet::describe(const std::string& alias, const Process& process) const {
  const bool exited = process.child && process.child->has_exited();
  const bool paused = process.child && process.child->paused();
  std::string text = alias;
  if (exited)
    text += " (ended)";
  else if (paused)
    text += " (paused)";
  text += ":";
  if (const auto reply = exited ? std::nullopt : view(alias)) {
    for (const auto& member : reply->members) {
      text += " " + member.name + "/" + std::to_string(member.incarnation) + " ";
      text += std::string(membership::text_of(member.status)) + ",";
    }
  }
  auto end_of_log = log(alias);
  if (end_of_log.size() > kDescribedLogBytes) end_of_log.erase(0, end_of_log.size() - kDescribedLogBytes);
  return text + "\n" + end_of_log + "\n";
}

std::string ProcessFleet::describe() const {
  std::string text;
  for (const auto& [alias, process] : processes_) text += describe(alias, process);
  return text;
}

ProcessFleet::Names ProcessFleet::names() const {
  Names all;
  for (const auto& [alias, process] : processes_) all.insert(alias);
  return all;
}

ProcessFleet::Names ProcessFleet::running() const {
  Names running;
  for (const auto& [alias, process] : processes_)
    if (process.running() && !process.child->paused()) running.insert(alias);
  return running;
}

bool ProcessFleet::has_converged() const {
  Names living;  // a paused process lives too
  for (const auto& [alias, process] : processes_)
    if (process.running()) living.insert(process.name);
  for (const auto& observer : running()) {
    const auto reply = view(observer);
    if (!reply) return false;
    Names alive;
    for (const auto& member : reply->members)
      if (member.status == Status::alive) alive.insert(member.name);
    if (alive != living) return false;
  }
  return true;
}

bool ProcessFleet::all_report(const std::string& member, Status status) const {
  for (const auto& observer : running())
    if (at(observer).name != member && status_of(observer, member) != status) return false;
  return true;
}

bool ProcessFleet::wait_until(const std::function<bool()>& condition,
                              std::chrono::milliseconds timeout) const {
  const auto deadline = Clock::now() + timeout;
  for (;;) {
    if (condition()) return true;
    if (Clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::string ProcessFleet::log(const std::string& name) const {
  std::ifstream in(at(name).folder / "log", std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::size_t ProcessFleet::count_in_log(const std::string& name, const std::string& text) const {
  const auto all = log(name);
  std::size_t count = 0;
  for (auto found = all.find(text); found != std::string::npos; found = all.find(text, found + 1)) ++count;
  return count;
}

CommandResult ProcessFleet::run_command(const std::string& arguments) const {
  const auto command = options_.program + " " + arguments + " 2>&1";
  std::unique_ptr<std::FILE, PipeCloser> pipe(::popen(command.c_str(), "r"));
  if (!pipe) throw std::runtime_error("can't run " + options_.program);
  CommandResult result;
  char buffer[512];
  while (const auto size = std::fread(buffer, 1, sizeof buffer, pipe.get()))
    result.output.append(buffer, size);
  const int status = ::pclose(pipe.release());
  result.exit_status = WEXITSTATUS(status);
  return result;
}

int ProcessFleet::pid(const std::string& name) const {
  const auto& child = at(name).child;
  return child ? child->pid() : 0;
}

standin::Kernel::RunCounts ProcessFleet::kernel_runs(const std::string& name) const {
  return on_io([&] { return at(name).kernel->runs(); });
}

void ProcessFleet::set_speed(const std::string& name, standin::Kernel::Speed speed) {
  on_io([&] { at(name).kernel->set_speed(speed); });
}

void ProcessFleet::hold_kernel_boot(const std::string& name, bool hold) {
  on_io([&] { at(name).kernel->hold_boot(hold); });
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

// The port after the text in the log; 0 if the newest start has not logged it yet.
std::uint16_t ProcessFleet::logged_port(const std::string& name, const std::string& text) const {
  const auto starts = at(name).starts;
  if (starts == 0 || count_in_log(name, text) < starts) return 0;
  const auto all = log(name);
  return std::uint16_t(std::stoul(all.substr(all.rfind(text) + text.size())));
}

std::uint16_t ProcessFleet::port(const std::string& name) const {
  return logged_port(name, "listening on 127.0.0.1:");
}

}  // namespace granitegap::fleet
