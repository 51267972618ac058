// Callers of one fleet. Each keeps a connection to one member open, sends one request after another until it
// is stopped, and counts the outcomes of its requests.
//
// Ownership: owns its threads. Threads: one other thread may call the methods while the callers run.
// Errors: a connection that fails or is lost is retried.
#pragma once
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>
#include <vector>

namespace granitegap::soak {

struct CallerOptions {
  std::size_t members = 4;
  std::size_t callers_per_member = 8;
  std::string cls;                             // class of all requests
  std::chrono::milliseconds answer_timeout{};  // after it a request counts as unanswered
};

// Runs `callers_per_member` callers for each member, each in its own thread.
class CallerPool {
 public:
  explicit CallerPool(CallerOptions options);
  ~CallerPool() { stop(); }
  CallerPool(const CallerPool&) = delete;
  CallerPool& operator=(const CallerPool&) = delete;

  // Sets the port on which the member accepts requests now; 0 if there is none.
  void set_port(std::size_t member, std::uint16_t port) { members_[member].port = port; }
  // Counts requests to the member that get no answer as interrupted instead of unanswered, as its process may
  // end at any moment, until expect_responses() is called.
  void expect_termination(std::size_t member) {
    ++members_[member].terminations;
    members_[member].may_terminate = true;
  }
  // Counts requests to the member that get no answer as unanswered again.
  void expect_responses(std::size_t member) { members_[member].may_terminate = false; }
  // Waits for the requests in progress and joins the threads.
  void stop();

  // Counts of requests. An interrupted request got no answer from a member whose process was being ended; an
  // unanswered one got none from a member whose process was to keep running.
  struct Figures {
    std::uint64_t answered = 0, served = 0;
    std::uint64_t complete = 0;  // served without missing parts
    std::uint64_t unanswered = 0, interrupted = 0;
  };
  Figures figures() const;

 private:
  struct Member {
    std::atomic<std::uint16_t> port{0};
    std::atomic<bool> may_terminate{false};
    std::atomic<std::uint32_t> terminations{0};
  };
  void run(std::size_t member, std::size_t caller);

  CallerOptions options_;
  std::deque<Member> members_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> answered_{0}, served_{0}, complete_{0}, unanswered_{0}, interrupted_{0};
  std::vector<std::thread> threads_;
};

}  // namespace granitegap::soak
