#include "fleet/load_generator.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <random>

#include "standin/caller.h"

namespace granitegap::fleet {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxOpen = 32;  // on one connection
constexpr auto kStickyPause = 150ms, kNobodyPause = 50ms;
constexpr auto kRoundTrip =
    20ms;  // a caller is no nearer than that: guards against a crowd that only burns this machine
constexpr int kHeedingTries = 3;

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

double worth_of(const RequestRecord& f, const LoadClass& c) {
  if (!f.served || f.took > c.deadline) return 0;
  return f.took <= c.aim ? c.worth : c.worth * c.late_worth;
}

struct LoadGenerator::Work {
  // A connection of one proxy to one server; opened when it is needed, and anew where the server has moved.
  struct Line {
    explicit Line(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::uint16_t port = 0;
    std::uint32_t stream = 0;
    bool up = false;
    std::string out;
    bool writing = false;
    std::map<std::uint32_t, std::function<void(std::optional<standin::Answered>)>> open;
  };
  struct Heard {  // by one proxy of one server
    double hint = 1;
    Clock::time_point away_until{};
  };
  struct Proxy {
    std::vector<std::shared_ptr<Line>> lines;
    std::vector<Heard> heard;
  };

  Work(const LoadOptions& o, std::size_t n, Port p)
      : options(o), servers(n), port(std::move(p)), random(o.seed), arrivals(io), began(Clock::now()) {
    proxies.resize(o.proxies);
    for (auto& proxy : proxies) {
      proxy.heard.resize(n);
      for (std::size_t s = 0; s < n; ++s) proxy.lines.push_back(std::make_shared<Line>(io));
    }
    asio::co_spawn(io, arrive(), asio::detached);
  }

  double roll() { return std::uniform_real_distribution<double>(0, 1)(random); }
  Duration now() const { return std::chrono::duration_cast<Duration>(Clock::now() - began); }

  // Arrivals are drawn ahead and don't wait for answers.
  asio::awaitable<void> arrive() {
    auto next = began;
    while (!stopping) {
      next += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(-std::log(1 - roll()) / options.rate));
      arrivals.expires_at(next);
      error_code error;
      co_await arrivals.async_wait(into(error));
      if (stopping) co_return;
      RequestRecord f;
      f.wanted = std::chrono::duration_cast<Duration>(next - began);
      double drawn = roll();
      for (const auto& c : options.classes) {
        if (drawn < c.share || &c == &options.classes.back()) break;
        drawn -= c.share;
        ++f.cls;
      }
      double all = 0;
      for (const double w : options.habits) all += w;
      double habit = roll() * all;
      while (f.habit + 1u < kRetryBehaviors && habit >= options.habits[f.habit])
        habit -= options.habits[f.habit++];
      if (options.classes[f.cls].keyed) {
        char token[33];
        std::snprintf(token, sizeof token, "%016llx%016llx", static_cast<unsigned long long>(random()),
                      static_cast<unsigned long long>(fates.size()));
        f.token = token;
      }
      std::size_t number = 0;
      {
        const std::lock_guard lock(mutex);
        number = fates.size();
        fates.push_back(f);
      }
      ++open;
      std::string body = "x";
      if (!f.token.empty()) body = "of " + f.token;
      if (const auto things = options.classes[f.cls].things)
        body = "r" + std::to_string(std::uint64_t(double(things) * std::pow(roll(), 4)));
      asio::co_spawn(io, pursue(number, f, std::size_t(random() % proxies.size()), random(), std::move(body)),
                     asio::detached);
    }
  }

  // One first try and all that its habit makes of it.
  asio::awaitable<void> pursue(std::size_t number, RequestRecord f, std::size_t who, std::uint64_t key,
                               std::string body) {
    const auto& cls = options.classes[f.cls];
    const auto due = began + std::chrono::duration_cast<Clock::duration>(f.wanted + cls.deadline);
    std::size_t last = servers;
    asio::steady_timer pause(io);
    while (!f.served && Clock::now() < due) {
      const auto server = choose(proxies[who], RetryBehavior(f.habit), key, last);
      if (server == servers) {  // nobody may be asked now
        pause.expires_after(kNobodyPause);
        error_code ignored;
        co_await pause.async_wait(into(ignored));
        continue;
      }
      last = server;
      ++f.tries;
      const auto asked_at = Clock::now();
      const auto answer =
          co_await ask(who, server, cls, f.token, body, std::min(due, asked_at + options.patience));
      auto& heard = proxies[who].heard[server];
      if (answer && !answer->hint.empty()) heard.hint = std::atof(answer->hint.c_str());
      if (answer && answer->code == 0) {
        f.served = true;
        f.server = std::uint16_t(server);
        if (options.check)
          f.wrong = options.check(cls, body, answer->body,
                                  std::chrono::duration_cast<Duration>(Clock::now() - asked_at));
        break;
      }
      if (answer && answer->code == 1) ++f.refused;
      if (!answer) heard.hint = 0;
      if (RetryBehavior(f.habit) == RetryBehavior::heeding) {
        heard.away_until =
            Clock::now() + std::max<std::chrono::milliseconds>(answer ? answer->backoff : 500ms, 20ms);
        if (f.tries >= kHeedingTries) break;
      }
      pause.expires_after(RetryBehavior(f.habit) == RetryBehavior::sticky ? kStickyPause : kRoundTrip);
      error_code ignored;
      co_await pause.async_wait(into(ignored));
    }
    f.took = now() - f.wanted;
    f.over = true;
    const std::lock_guard lock(mutex);
    fates[number] = f;
    --open;
  }

  std::size_t choose(const Proxy& proxy, RetryBehavior habit, std::uint64_t key, std::size_t last) {
    if (habit == RetryBehavior::sticky) return std::size_t(key % servers);
    if (habit == RetryBehavior::tireless) {
      const auto s = std::size_t(random() % servers);
      return s == last ? (s + 1) % servers : s;
    }
    // Of two that may be asked, the one with the higher free value.
    std::size_t best = servers;
    for (int k = 0, found = 0; k < 8 && found < 2; ++k) {
      const auto s = std::size_t(random() % servers);
      if (s == last || proxy.heard[s].away_until > Clock::now()) continue;
      ++found;
      if (best == servers || proxy.heard[s].hint > proxy.heard[best].hint) best = s;
    }
    return best;
  }

  asio::awaitable<std::optional<standin::Answered>> ask(std::size_t who, std::size_t server,
                                                        const LoadClass& cls, const std::string& token,
                                                        const std::string& body, Clock::time_point until) {
    auto line = proxies[who].lines[server];
    const auto there = port(server);
    if (there == 0) {
      asio::steady_timer wait(io, 5ms);
      error_code ignored;
      co_await wait.async_wait(into(ignored));
      co_return std::nullopt;
    }
    if (!line->up || line->port != there || line->open.size() >= kMaxOpen) {
      line = proxies[who].lines[server] = std::make_shared<Line>(io);
      line->port = there;
      error_code error;
      co_await line->socket.async_connect({asio::ip::address_v4::loopback(), there}, into(error));
      if (error) co_return std::nullopt;
      line->socket.set_option(tcp::no_delay(true), error);
      line->up = true;
      asio::co_spawn(io, read(line), asio::detached);
    }
    asio::steady_timer done(io, until);
    std::optional<standin::Answered> got;
    const auto stream = ++line->stream;
    line->open[stream] = [&](std::optional<standin::Answered> a) {
      got = std::move(a);
      done.cancel();
    };
    using namespace std::chrono;
    const auto t0 = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    standin::Asked asked;
    asked.cls = cls.name;
    asked.body = body;
    asked.token = token;
    asked.est_ms = options.est_ms;
    char rid[17];
    std::snprintf(rid, sizeof rid, "%016llx", static_cast<unsigned long long>(options.seed << 40 | ++rids));
    line->out += standin::request_frame(asked, stream, int(who), rid, t0);
    if (!std::exchange(line->writing, true)) asio::co_spawn(io, write(line), asio::detached);
    error_code ignored;
    co_await done.async_wait(into(ignored));
    line->open.erase(stream);
    // Another has taken its place: guards against connections that pile up until a server has none to give.
    if (line->open.empty() && line != proxies[who].lines[server]) line->socket.close(ignored);
    co_return got;
  }

  asio::awaitable<void> write(std::shared_ptr<Line> line) {
    error_code error;
    while (!line->out.empty() && !error) {
      const auto bytes = std::exchange(line->out, {});
      co_await asio::async_write(line->socket, asio::buffer(bytes), into(error));
    }
    line->writing = false;
  }

  asio::awaitable<void> read(std::shared_ptr<Line> line) {
    error_code error;
    for (;;) {
      std::string head(4, '\0');
      co_await asio::async_read(line->socket, asio::buffer(head), into(error));
      if (error) break;
      std::size_t size = 0;
      for (const char c : head) size = size << 8 | std::uint8_t(c);
      std::string payload(size, '\0');
      co_await asio::async_read(line->socket, asio::buffer(payload), into(error));
      if (error) break;
      std::uint32_t stream = 0;
      const auto answer = standin::read_answer(payload, stream);
      if (!answer) continue;  // goaway, or a check's
      if (const auto it = line->open.find(stream); it != line->open.end()) it->second(*answer);
    }
    line->up = false;
    for (auto& [stream, tell] : std::map(line->open)) tell(std::nullopt);
  }

  const LoadOptions& options;
  std::size_t servers;
  Port port;
  asio::io_context io;
  std::mt19937_64 random;
  asio::steady_timer arrivals;
  Clock::time_point began;
  std::vector<Proxy> proxies;
  std::uint64_t rids = 0;
  bool stopping = false;
  mutable std::mutex mutex;  // fates and open
  std::deque<RequestRecord> fates;
  std::size_t open = 0;
};

LoadGenerator::LoadGenerator(LoadOptions options, std::size_t servers, Port port)
    : options_(std::move(options)) {
  work_ = std::make_unique<Work>(options_, servers, std::move(port));
  thread_ = std::thread([this] {
    const auto guard = asio::make_work_guard(work_->io);
    work_->io.run();
  });
}

LoadGenerator::~LoadGenerator() {
  work_->io.stop();
  thread_.join();
}

void LoadGenerator::stop() {
  asio::post(work_->io, [this] {
    work_->stopping = true;
    work_->arrivals.cancel();
  });
  Duration longest{};
  for (const auto& c : options_.classes) longest = std::max(longest, c.deadline);
  const auto end = Clock::now() + longest + options_.patience + 1s;
  while (Clock::now() < end) {
    {
      const std::lock_guard lock(work_->mutex);
      if (work_->open == 0) return;
    }
    std::this_thread::sleep_for(10ms);
  }
}

Duration LoadGenerator::elapsed() const { return work_->now(); }

std::vector<RequestRecord> LoadGenerator::fates(Duration from, Duration to) const {
  const std::lock_guard lock(work_->mutex);
  std::vector<RequestRecord> some;
  for (const auto& f : work_->fates)
    if (f.wanted >= from && f.wanted < to) some.push_back(f);
  return some;
}

}  // namespace granitegap::fleet
