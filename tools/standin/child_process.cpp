#include "standin/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <string_view>

namespace granitegap::standin {
namespace {

constexpr int kExecFailed = 127;  // as shells report it
constexpr mode_t kLogMode = 0600;

// A descriptor that is closed on destruction.
class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() {
    if (number_ >= 0) ::close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int number() const { return number_; }

 private:
  int number_;
};

// Null-terminated, as execve(2) wants it; valid as long as the strings are.
std::vector<char*> pointers_to(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (auto& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// Runs in the child between fork and exec: only calls that are async-signal-safe.
[[noreturn]] void execute(char* const* arguments, char* const* environment, pid_t parent, int log,
                          int inherited) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(kExecFailed);  // the parent died before prctl
  ::dup2(log, STDERR_FILENO);
  ::dup2(log, STDOUT_FILENO);
  if (inherited == kInheritedDescriptor) ::fcntl(inherited, F_SETFD, 0);
  if (inherited >= 0 && inherited != kInheritedDescriptor) ::dup2(inherited, kInheritedDescriptor);
  ::execve(arguments[0], arguments, environment);
  ::_exit(kExecFailed);
}

}  // namespace

ChildProcess::ChildProcess(const ChildProcessOptions& options) {
  auto arguments = options.arguments;
  auto environment = options.environment;
  const auto argument_pointers = pointers_to(arguments);
  const auto environment_pointers = pointers_to(environment);
  const Descriptor log(::open(options.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode));
  const auto parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0)
    execute(argument_pointers.data(), environment_pointers.data(), parent, log.number(),
            options.inherited_descriptor);
  if (pid_ < 0) throw std::runtime_error("can't start " + options.arguments.front());
}

ChildProcess::~ChildProcess() { kill(); }

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), paused_(other.paused_), wait_status_(other.wait_status_) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this == &other) return *this;
  kill();
  pid_ = std::exchange(other.pid_, 0);
  paused_ = other.paused_;
  wait_status_ = other.wait_status_;
  return *this;
}

void ChildProcess::signal(int number) {
  if (pid_ > 0 && !exited()) ::kill(pid_, number);
}

void ChildProcess::pause() {
  signal(SIGSTOP);
  int status = 0;
  ::waitpid(pid_, &status, WUNTRACED);
  paused_ = true;
}

void ChildProcess::resume() {
  signal(SIGCONT);
  paused_ = false;
}

void ChildProcess::kill() {
  signal(SIGKILL);
  wait();
}

bool ChildProcess::reap(int flags) {
  if (pid_ <= 0 || exited()) return true;
  int status = 0;
  if (::waitpid(pid_, &status, flags) != pid_) return false;
  wait_status_ = status;
  return true;
}

bool ChildProcess::poll() { return reap(WNOHANG); }

void ChildProcess::wait() { reap(0); }

bool ChildProcess::has_exited() const {
  if (exited()) return true;
  siginfo_t info{};
  const auto result = ::waitid(P_PID, id_t(pid_), &info, WEXITED | WNOHANG | WNOWAIT);
  return result == 0 && info.si_pid == pid_;
}

std::optional<int> ChildProcess::exit_status() const {
  if (!wait_status_) return std::nullopt;
  return WIFEXITED(*wait_status_) ? WEXITSTATUS(*wait_status_) : -WTERMSIG(*wait_status_);
}

std::vector<std::string> environment_without(const std::vector<std::string>& prefixes) {
  std::vector<std::string> kept;
  for (char** variable = environ; *variable; ++variable) {
    const std::string_view text = *variable;
    const auto has_prefix = [&](const std::string& prefix) { return text.starts_with(prefix); };
    if (std::none_of(prefixes.begin(), prefixes.end(), has_prefix)) kept.emplace_back(text);
  }
  return kept;
}

}  // namespace granitegap::standin
