// An open-loop load generator: client proxies with several retry behaviors send requests to a fleet of
// servers. All random choices are drawn from one seed. Arrivals follow a Poisson process and do not wait for
// responses, and a latency counts from the scheduled arrival, so that a stalled server is not measured too
// well (coordinated omission).
//
// Ownership: the generator owns its connections, its records and one thread; the callbacks run on that
// thread. Errors: a lost connection or a server that is gone counts as a failed attempt; nothing is thrown
// once it runs.
#pragma once
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::fleet {

// What a client does after a failed attempt.
enum class RetryBehavior : std::uint8_t {
  // Waits for Retry-After, prefers the server with the better load hint, three attempts at most.
  honors_retry_after,
  // Tries another server at once, until the request's deadline.
  retries_immediately,
  // Always uses the same server for a key and tries it again after a pause.
  sticky,
};
inline constexpr std::size_t kRetryBehaviors = 3;

// A class of requests.
struct LoadClass {
  std::string name;
  double share = 1;            // of all requests
  double priority_weight = 1;  // of a request served within the latency objective
  double late_weight = 0;      // factor on it for one served later, within the deadline
  Duration latency_objective{}, deadline{};
  bool idempotent = false;          // requests carry an idempotency key
  std::uint64_t distinct_keys = 0;  // bodies, low numbers most often; 0: all bodies are the same
};

struct LoadOptions {
  std::uint64_t seed = 1;
  double requests_per_s = 100;  // first attempts, all clients together
  std::size_t proxies = 12;
  std::vector<LoadClass> classes;
  std::array<double, kRetryBehaviors> behavior_weights{1, 1, 1};
  Duration attempt_timeout = std::chrono::milliseconds(1200);
  int estimated_cost_ms = 20;  // core time that each request declares
  // Counts what is wrong with a response body to the request body `sent`, whose attempt took
  // `attempt_latency`.
  std::function<std::uint16_t(const LoadClass&, const std::string& sent, const std::string& body,
                              Duration attempt_latency)>
      validate;
};

// One request over all its attempts.
struct RequestRecord {
  Duration scheduled_at{};  // since the generator's start
  Duration latency{};       // from there to its final response
  std::uint8_t class_index = 0;
  RetryBehavior behavior = RetryBehavior::honors_retry_after;
  std::uint16_t server = 0;  // that served it
  std::uint16_t attempts = 0, rejections = 0;
  std::uint16_t validation_errors = 0;  // see LoadOptions::validate
  bool served = false, finished = false;
  std::string idempotency_key;
};

class LoadGenerator {
 public:
  // Returns the port on which server n serves now; 0: none.
  using Port = std::function<std::uint16_t(std::size_t server)>;
  // Starts at once.
  LoadGenerator(LoadOptions options, std::size_t servers, Port port);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;
  // Sends no new requests; returns once every request has finished, or its deadline has passed.
  void stop();
  Duration elapsed() const;
  // Copies of the records scheduled in [from, to), as they stand now.
  std::vector<RequestRecord> records(Duration from, Duration to) const;

 private:
  struct Work;
  LoadOptions options_;
  std::unique_ptr<Work> work_;
  std::thread thread_;
};

// The priority weight that a request earned: all of it within the latency objective, its late share up to the
// deadline, else none.
double earned_weight(const RequestRecord& record, const LoadClass& cls);

}  // namespace granitegap::fleet
