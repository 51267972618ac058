#include "fleet/load_generator.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <numeric>
#include <optional>
#include <random>

#include "standin/async_client.h"

namespace granitegap::fleet {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxInFlight = 32;  // on one connection
constexpr auto kStickyPause = 150ms;      // of sticky clients between two attempts
constexpr auto kNoServerPause = 50ms;     // while every server asked for a backoff
constexpr auto kNoPortPause = 5ms;        // of an attempt while its server serves nowhere
// Between two attempts of other clients: no client is nearer, and a retry loop must not just burn this
// machine.
constexpr auto kRoundTrip = 20ms;
constexpr auto kBackoffAfterError = 500ms;  // where no response gave one
constexpr milliseconds kMinBackoff = 20ms;
constexpr int kMaxAttempts = 3;       // of clients that honor Retry-After
constexpr int kServerDraws = 8;       // at the most, to find two candidates
constexpr int kServerCandidates = 2;  // of which the one with the better hint is taken
constexpr double kKeySkew = 4;        // low keys are drawn most often

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

std::string hexadecimal(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

asio::awaitable<void> pause(Clock::duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  error_code ignored;
  co_await timer.async_wait(into(ignored));
}

// A request on its way through its attempts.
struct PendingRequest {
  std::size_t number = 0;  // of its record
  RequestRecord record;
  std::string body;
  std::size_t proxy = 0;
  std::uint64_t sticky_key = 0;
  Clock::time_point deadline;
};

}  // namespace

double earned_weight(const RequestRecord& record, const LoadClass& cls) {
  if (!record.served || record.latency > cls.deadline) return 0;
  if (record.latency <= cls.latency_objective) return cls.priority_weight;
  return cls.priority_weight * cls.late_weight;
}

struct LoadGenerator::Work {
  // What one proxy has of one server.
  struct ServerState {
    std::shared_ptr<standin::AsyncClient> connection;
    std::uint16_t port = 0;  // that it leads to
    double hint = 1;         // the newest load hint; 0 after a failed attempt
    Clock::time_point backoff_until{};
  };
  struct Proxy {
    std::vector<ServerState> servers;
  };

  Work(const LoadOptions& load_options, std::size_t server_count, Port server_port);
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }
  Duration elapsed() const { return duration_cast<Duration>(Clock::now() - began); }

  asio::awaitable<void> generate_arrivals();
  PendingRequest draw_request(Clock::time_point scheduled_at);
  std::uint8_t draw_class();
  RetryBehavior draw_behavior();
  std::string body_of(const RequestRecord& record);
  asio::awaitable<void> pursue(PendingRequest request);
  asio::awaitable<void> attempt(PendingRequest& request, std::size_t server);
  std::optional<std::size_t> choose_server(const PendingRequest& request, std::optional<std::size_t> last);
  std::optional<std::size_t> choose_by_hint(const Proxy& proxy, std::optional<std::size_t> last);
  asio::awaitable<std::shared_ptr<standin::AsyncClient>> connection_to(ServerState& server,
                                                                       std::uint16_t current_port);
  asio::awaitable<std::optional<standin::Response>> call(const PendingRequest& request, std::size_t server,
                                                         Clock::time_point deadline);
  void finish(PendingRequest& request);

  const LoadOptions& options;
  std::size_t servers;
  Port port;
  asio::io_context io;
  std::mt19937_64 random;
  asio::steady_timer next_arrival;
  Clock::time_point began;
  std::vector<Proxy> proxies;
  std::uint64_t last_request_id = 0;
  bool stopping = false;

  std::mutex mutex;  // guards what follows
  std::deque<RequestRecord> records;
  std::size_t unfinished = 0;
};

LoadGenerator::Work::Work(const LoadOptions& load_options, std::size_t server_count, Port server_port)
    : options(load_options),
      servers(server_count),
      port(std::move(server_port)),
      random(load_options.seed),
      next_arrival(io),
      began(Clock::now()),
      proxies(load_options.proxies) {
  for (auto& proxy : proxies) {
    proxy.servers.resize(servers);
    for (auto& server : proxy.servers) server.connection = std::make_shared<standin::AsyncClient>(io);
  }
  asio::co_spawn(io, generate_arrivals(), asio::detached);
}

// A Poisson process: arrivals are drawn ahead and never wait for responses.
asio::awaitable<void> LoadGenerator::Work::generate_arrivals() {
  auto next = began;
  while (!stopping) {
    const std::chrono::duration<double> gap(-std::log(1 - uniform()) / options.requests_per_s);
    next += duration_cast<Clock::duration>(gap);
    next_arrival.expires_at(next);
    error_code ignored;
    co_await next_arrival.async_wait(into(ignored));
    if (stopping) co_return;
    asio::co_spawn(io, pursue(draw_request(next)), asio::detached);
  }
}

std::uint8_t LoadGenerator::Work::draw_class() {
  double drawn = uniform();
  std::uint8_t index = 0;
  while (index + 1u < options.classes.size() && drawn >= options.classes[index].share)
    drawn -= options.classes[index++].share;
  return index;
}

RetryBehavior LoadGenerator::Work::draw_behavior() {
  const auto& weights = options.behavior_weights;
  double drawn = uniform() * std::accumulate(weights.begin(), weights.end(), 0.0);
  std::size_t index = 0;
  while (index + 1 < kRetryBehaviors && drawn >= weights[index]) drawn -= weights[index++];
  return RetryBehavior(index);
}

std::string LoadGenerator::Work::body_of(const RequestRecord& record) {
  const auto keys = options.classes[record.class_index].distinct_keys;
  if (keys > 0) return "r" + std::to_string(std::uint64_t(double(keys) * std::pow(uniform(), kKeySkew)));
  return record.idempotency_key.empty() ? "x" : "of " + record.idempotency_key;
}

PendingRequest LoadGenerator::Work::draw_request(Clock::time_point scheduled_at) {
  PendingRequest request;
  auto& record = request.record;
  record.scheduled_at = duration_cast<Duration>(scheduled_at - began);
  record.class_index = draw_class();
  record.behavior = draw_behavior();
  const auto& cls = options.classes[record.class_index];
  {
    const std::lock_guard lock(mutex);
    request.number = records.size();
    if (cls.idempotent) record.idempotency_key = hexadecimal(random()) + hexadecimal(request.number);
    records.push_back(record);
    ++unfinished;
  }
  request.body = body_of(record);
  request.sticky_key = random();
  request.proxy = std::size_t(random() % proxies.size());
  request.deadline = began + duration_cast<Clock::duration>(record.scheduled_at + cls.deadline);
  return request;
}

// All attempts of one request.
asio::awaitable<void> LoadGenerator::Work::pursue(PendingRequest request) {
  auto& record = request.record;
  std::optional<std::size_t> last_server;
  while (Clock::now() < request.deadline) {
    const auto server = choose_server(request, last_server);
    if (!server) {
      co_await pause(kNoServerPause);
      continue;
    }
    last_server = server;
    co_await attempt(request, *server);
    if (record.served) break;
    if (record.behavior == RetryBehavior::honors_retry_after && record.attempts >= kMaxAttempts) break;
    co_await pause(record.behavior == RetryBehavior::sticky ? kStickyPause : kRoundTrip);
  }
  finish(request);
}

asio::awaitable<void> LoadGenerator::Work::attempt(PendingRequest& request, std::size_t server) {
  auto& record = request.record;
  const auto& cls = options.classes[record.class_index];
  ++record.attempts;
  const auto sent_at = Clock::now();
  const auto deadline = std::min(request.deadline, sent_at + options.attempt_timeout);
  const auto response = co_await call(request, server, deadline);
  auto& state = proxies[request.proxy].servers[server];
  if (!response) state.hint = 0;
  if (response && !response->hint.empty()) state.hint = std::atof(response->hint.c_str());
  if (response && response->code == standin::ResponseCode::served) {
    record.served = true;
    record.server = std::uint16_t(server);
    if (options.validate) {
      const auto latency = duration_cast<Duration>(Clock::now() - sent_at);
      record.validation_errors = options.validate(cls, request.body, response->body, latency);
    }
    co_return;
  }
  if (response && response->code == standin::ResponseCode::rejected) ++record.rejections;
  if (record.behavior == RetryBehavior::honors_retry_after) {
    milliseconds backoff = kBackoffAfterError;
    if (response) backoff = response->retry_after;
    state.backoff_until = Clock::now() + std::max(backoff, kMinBackoff);
  }
}

// Absent while every server asked for a backoff.
std::optional<std::size_t> LoadGenerator::Work::choose_server(const PendingRequest& request,
                                                              std::optional<std::size_t> last) {
  switch (request.record.behavior) {
    case RetryBehavior::sticky:
      return std::size_t(request.sticky_key % servers);
    case RetryBehavior::retries_immediately: {
      const auto server = std::size_t(random() % servers);
      return server == last ? (server + 1) % servers : server;
    }
    case RetryBehavior::honors_retry_after:
      return choose_by_hint(proxies[request.proxy], last);
  }
  return std::nullopt;
}

// The better of two random choices; Mitzenmacher, The Power of Two Choices in Randomized Load Balancing
// (2001).
std::optional<std::size_t> LoadGenerator::Work::choose_by_hint(const Proxy& proxy,
                                                               std::optional<std::size_t> last) {
  std::optional<std::size_t> best;
  int candidates = 0;
  for (int draw = 0; draw < kServerDraws && candidates < kServerCandidates; ++draw) {
    const auto server = std::size_t(random() % servers);
    if (server == last || proxy.servers[server].backoff_until > Clock::now()) continue;
    ++candidates;
    if (!best || proxy.servers[server].hint > proxy.servers[*best].hint) best = server;
  }
  return best;
}

// A new connection where there is none, the server has moved, or the one there carries too much; null if it
// can't be had. Another attempt may replace it before this one gets to use it.
asio::awaitable<std::shared_ptr<standin::AsyncClient>> LoadGenerator::Work::connection_to(
    ServerState& server, std::uint16_t current_port) {
  const auto& current = *server.connection;
  const bool usable = current.connected() && server.port == current_port;
  if (usable && current.in_flight() < kMaxInFlight) co_return server.connection;
  const auto connection = std::make_shared<standin::AsyncClient>(io);
  server.connection = connection;
  server.port = current_port;
  const bool connected = co_await connection->connect(current_port);
  if (!connected) co_return nullptr;
  co_return connection;
}

asio::awaitable<std::optional<standin::Response>> LoadGenerator::Work::call(const PendingRequest& request,
                                                                            std::size_t server,
                                                                            Clock::time_point deadline) {
  auto& state = proxies[request.proxy].servers[server];
  const auto current_port = port(server);
  if (current_port == 0) {
    co_await pause(kNoPortPause);
    co_return std::nullopt;
  }
  const auto connection = co_await connection_to(state, current_port);
  if (!connection) co_return std::nullopt;
  standin::Request sent;
  sent.cls = options.classes[request.record.class_index].name;
  sent.body = request.body;
  sent.idempotency_key = request.record.idempotency_key;
  sent.estimated_cost_ms = options.estimated_cost_ms;
  standin::RequestEnvelope envelope;
  envelope.proxy = int(request.proxy);
  envelope.request_id = hexadecimal(options.seed << 40 | ++last_request_id);
  envelope.t0_ms = duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  asio::steady_timer timeout(io, deadline);
  std::optional<standin::Response> response;
  const auto stream = connection->send(sent, envelope, [&](std::optional<standin::Response> received) {
    response = std::move(received);
    timeout.cancel();
  });
  error_code ignored;
  co_await timeout.async_wait(into(ignored));
  connection->forget(stream);
  // Replaced meanwhile: else connections pile up until the server has no descriptor left.
  if (connection->in_flight() == 0 && connection != state.connection) connection->close();
  co_return response;
}

void LoadGenerator::Work::finish(PendingRequest& request) {
  request.record.latency = elapsed() - request.record.scheduled_at;
  request.record.finished = true;
  const std::lock_guard lock(mutex);
  records[request.number] = std::move(request.record);
  --unfinished;
}

LoadGenerator::LoadGenerator(LoadOptions options, std::size_t servers, Port port)
    : options_(std::move(options)), work_(std::make_unique<Work>(options_, servers, std::move(port))) {
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
    work_->next_arrival.cancel();
  });
  Duration longest{};
  for (const auto& cls : options_.classes) longest = std::max(longest, cls.deadline);
  const auto end = Clock::now() + longest + options_.attempt_timeout + 1s;
  while (Clock::now() < end) {
    {
      const std::lock_guard lock(work_->mutex);
      if (work_->unfinished == 0) return;
    }
    std::this_thread::sleep_for(10ms);  // between two looks at the condition
  }
}

Duration LoadGenerator::elapsed() const { return work_->elapsed(); }

std::vector<RequestRecord> LoadGenerator::records(Duration from, Duration to) const {
  const std::lock_guard lock(work_->mutex);
  std::vector<RequestRecord> selected;
  for (const auto& record : work_->records)
    if (record.scheduled_at >= from && record.scheduled_at < to) selected.push_back(record);
  return selected;
}

}  // namespace granitegap::fleet
