// A crowd of client proxies before a fleet of real processes: open loop, by a seed, with habits of several
// kinds. What was asked, when it was first wanted, and what became of it is kept for whoever measures.
//
// Habits: `heeding` stays away for as long as it is told and goes where the free value is higher, three tries
// at the most; `tireless` tries another at once, until its request is due; `sticky` sends a key always to the
// same server and comes back to it after a pause.
//
// Threads: one of its own. A server that is gone is a lost connection; the crowd learns of nothing by other
// ways.
#pragma once
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::fleet {

enum class RetryBehavior : std::uint8_t { heeding, tireless, sticky };
inline constexpr std::size_t kRetryBehaviors = 3;

struct LoadClass {
  std::string name;
  double share = 1, worth = 1, late_worth = 0;
  Duration aim{}, deadline{};
  bool keyed = false;
  // What it asks about: one of so many things, the first ones most often; 0: always the same.
  std::uint64_t things = 0;
};

struct LoadOptions {
  std::uint64_t seed = 1;
  double rate = 100;  // first tries a second, all together
  std::size_t proxies = 12;
  std::vector<LoadClass> classes;
  std::array<double, kRetryBehaviors> habits{1, 1, 1};  // weights
  Duration patience = std::chrono::milliseconds(1200);  // of one try
  int est_ms = 20;                                      // core time, as each request tells it
  // Counts what is wrong with a served answer to `asked`, which was under way for `took`; on the crowd's
  // thread.
  std::function<std::uint16_t(const LoadClass&, const std::string& asked, const std::string& body,
                              Duration took)>
      check;
};

// One first try and what became of it.
struct RequestRecord {
  Duration wanted{};  // since the crowd's start
  Duration took{};    // until its final answer
  std::uint8_t cls = 0, habit = 0;
  std::uint16_t server = 0;  // that served it
  std::uint16_t tries = 0, refused = 0;
  std::uint16_t wrong = 0;  // as the options' check counts
  bool served = false, over = false;
  std::string token;
};

class LoadGenerator {
 public:
  // `port` tells where server n serves now; 0: nowhere. Called on the crowd's thread.
  using Port = std::function<std::uint16_t(std::size_t server)>;
  LoadGenerator(LoadOptions options, std::size_t servers, Port port);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;
  // No more first tries; returns once every request is over, or its deadline past.
  void stop();
  Duration elapsed() const;
  // Those wanted in [from, to), as they stand now.
  std::vector<RequestRecord> fates(Duration from, Duration to) const;

 private:
  struct Work;
  LoadOptions options_;
  std::unique_ptr<Work> work_;
  std::thread thread_;
};

// What a fate was worth: whole within the aim, late_worth of it up to the deadline.
double worth_of(const RequestRecord& fate, const LoadClass& cls);

}  // namespace granitegap::fleet
