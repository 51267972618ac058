// A child process that cannot outlive its owner: the system kills it when this process dies, and the
// destructor kills and reaps it.
//
// Ownership: an object owns its child. Threads: one at a time. Errors: the constructor throws
// std::runtime_error if no process can be started; a program that can't be executed is a child with exit
// status 127.
#pragma once
#include <filesystem>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace granitegap::standin {

// The descriptor under which a child finds what it inherits.
inline constexpr int kInheritedDescriptor = 3;

struct ChildProcessOptions {
  std::vector<std::string> arguments;    // the program's path first
  std::vector<std::string> environment;  // all of it, as NAME=value
  std::filesystem::path log;             // stdout and stderr are appended here
  int inherited_descriptor = -1;         // becomes kInheritedDescriptor in the child; -1: none
};

class ChildProcess {
 public:
  explicit ChildProcess(const ChildProcessOptions& options);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  int pid() const { return pid_; }
  // Sends a signal; nothing once the child is reaped.
  void signal(int number);
  // Stops the child with SIGSTOP and waits until it has stopped.
  void pause();
  void resume();
  bool paused() const { return paused_; }
  // Kills the child with SIGKILL and reaps it.
  void kill();
  // Reaps the child if it has exited, and returns whether it has.
  bool poll();
  // Waits until the child exits, and reaps it.
  void wait();
  // Whether the child has been reaped.
  bool exited() const { return wait_status_.has_value(); }
  // Whether the child has exited, be it reaped or not; changes nothing.
  bool has_exited() const;
  // The exit status once reaped, or the negative number of the signal that ended it.
  std::optional<int> exit_status() const;
  // The status as waitpid(2) gave it; absent until reaped.
  std::optional<int> wait_status() const { return wait_status_; }

 private:
  bool reap(int flags);

  int pid_ = 0;
  bool paused_ = false;
  std::optional<int> wait_status_;
};

// This process's environment without the variables whose names begin with one of the prefixes.
std::vector<std::string> environment_without(const std::vector<std::string>& prefixes);

}  // namespace granitegap::standin
