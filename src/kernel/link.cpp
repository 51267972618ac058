#include "kernel/link.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace granitegap::kernel {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kMinRetryPause = 10ms;
constexpr std::chrono::milliseconds kMaxRetryPause = 200ms;
constexpr std::chrono::milliseconds kFullMailboxPause = 1ms;
constexpr std::size_t kReadBytes = 16384;
// Tag of the SYSINFO request whose answer marks the end of the replayed notices.
constexpr std::string_view kReplayEndTag = "fence";

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

struct FailureFormatter {
  std::string operator()(const error_code& error) const { return error.message(); }
  std::string operator()(const DecodeError& error) const {
    return "cannot decode the kernel's output: " + error.reason();
  }
  std::string operator()(const WriteFailed&) const { return "write to the socket failed"; }
};

std::string describe(const LinkFailure& failure) { return std::visit(FailureFormatter{}, failure); }

std::string to_string(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

}  // namespace

Link::Link(const asio::any_io_executor& executor, tcp::endpoint kernel, const edge::NameRegistry& names,
           InputMailbox& inputs, Logger& log)
    : executor_(executor),
      kernel_(std::move(kernel)),
      names_(names),
      inputs_(inputs),
      log_(log),
      socket_(executor),
      output_added_(executor),
      retry_timer_(executor) {}

void Link::send(const edge::Command& command) {
  if (std::holds_alternative<edge::PollGauges>(command)) {
    if (!ready_ || gauges_requested_) return;
    gauges_requested_ = true;
  } else {
    command_log_.record(command);
    if (!ready_) return;  // sent with all commands in flight once the link is ready
  }
  encode(command, names_, output_);
  wake_writer();
}

void Link::set_endpoint(const tcp::endpoint& kernel) {
  retry_timer_.cancel();
  if (kernel_ == kernel) return;
  kernel_ = kernel;
  endpoint_changed_ = true;
  error_code ignored;
  socket_.close(ignored);
}

asio::awaitable<void> Link::run() {
  auto pause = kMinRetryPause;
  for (;;) {
    endpoint_changed_ = false;
    const auto outcome = co_await connect_and_serve();
    if (endpoint_changed_) {
      // The failure belongs to the previous address: the new one is tried without delay, and its first
      // failure is logged.
      pause = kMinRetryPause;
      connect_failure_logged_ = false;
      continue;
    }
    log_outcome(outcome);
    if (outcome.progress == LinkProgress::ready) pause = kMinRetryPause;
    retry_timer_.expires_after(pause);
    error_code cancelled;
    co_await retry_timer_.async_wait(into(cancelled));
    // The backoff also covers connections that fail on the same bytes each time: they must not be retried in
    // a tight loop.
    pause = endpoint_changed_ ? kMinRetryPause : std::min(pause * 2, kMaxRetryPause);
  }
}

void Link::log_outcome(const LinkOutcome& outcome) {
  const auto reason = describe(outcome.failure);
  if (outcome.progress == LinkProgress::ready) {
    log_.line("lost the connection to the kernel at " + to_string(kernel_) + ", reconnecting: " + reason,
              {{"event", "kernel_lost"}, {"why", reason}});
    connect_failure_logged_ = false;
    return;
  }
  if (std::exchange(connect_failure_logged_, true)) return;
  const auto address = to_string(kernel_);
  const auto text = outcome.progress == LinkProgress::connected
                        ? "connection to the kernel at " + address + " ended before it was ready"
                        : "cannot connect to the kernel at " + address;
  log_.line(text + ", retrying: " + reason, {{"event", "kernel_not_reached"}, {"why", reason}});
}

asio::awaitable<LinkOutcome> Link::connect_and_serve() {
  using namespace asio::experimental::awaitable_operators;
  socket_ = tcp::socket(executor_);
  error_code error;
  co_await socket_.async_connect(kernel_, into(error));
  if (error || endpoint_changed_) co_return LinkOutcome{LinkProgress::not_connected, error};
  begin_connection();
  const auto ended = co_await (read() || write());
  socket_.close(error);
  const auto progress = std::exchange(ready_, false) ? LinkProgress::ready : LinkProgress::connected;
  const bool read_ended_first = ended.index() == 0;
  co_return LinkOutcome{progress, read_ended_first ? std::get<0>(ended) : LinkFailure(WriteFailed{})};
}

void Link::begin_connection() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  output_.clear();
  ready_ = false;
  gauges_requested_ = false;
  command_log_.connection_opened();
  encode_open(command_log_.last_sequence(), output_);
}

asio::awaitable<void> Link::write() {
  std::string bytes;
  for (;;) {
    if (!co_await wait_for_output()) co_return;
    bytes.clear();
    std::swap(bytes, output_);
    error_code error;
    co_await asio::async_write(socket_, asio::buffer(bytes), into(error));
    if (error) co_return;
  }
}

// Returns false if the coroutine is cancelled because the reader has ended the connection.
asio::awaitable<bool> Link::wait_for_output() {
  while (output_.empty()) {
    output_added_.expires_at(std::chrono::steady_clock::time_point::max());
    error_code woken;
    co_await output_added_.async_wait(into(woken));
    const auto state = co_await asio::this_coro::cancellation_state;
    if (state.cancelled() != asio::cancellation_type::none) co_return false;
  }
  co_return true;
}

asio::awaitable<LinkFailure> Link::read() {
  NoticeDecoder decoder;
  std::array<char, kReadBytes> chunk;
  for (;;) {
    error_code error;
    const auto size = co_await socket_.async_read_some(asio::buffer(chunk), into(error));
    if (error) co_return error;
    decoder.add({chunk.data(), size});
    while (auto notice = decoder.next()) {
      if (auto* invalid = std::get_if<DecodeError>(&notice->content)) co_return std::move(*invalid);
      co_await handle(std::move(*notice));
    }
  }
}

asio::awaitable<void> Link::handle(Notice notice) {
  if (!command_log_.accept(notice)) co_return;
  auto& content = notice.content;
  if (const auto* started = std::get_if<edge::KernelStarted>(&content)) {
    co_await handle_boot(*started);
  } else if (auto* info = std::get_if<SystemInfo>(&content)) {
    co_await handle_info(std::move(*info));
  } else if (auto* report = std::get_if<edge::RunReport>(&content)) {
    co_await forward(std::move(*report));
  } else if (auto* call = std::get_if<edge::DependencyCallRequested>(&content)) {
    co_await forward(std::move(*call));
  } else if (auto* rejected = std::get_if<edge::CommandRejected>(&content)) {
    co_await forward(std::move(*rejected));
  } else if (auto* done = std::get_if<edge::DeepHealthCheckResult>(&content)) {
    co_await forward(*done);
  }
}

asio::awaitable<void> Link::handle_boot(const edge::KernelStarted& started) {
  const auto* caches = started.cold ? "cold" : "warm";
  const std::int64_t uptime_ms = started.uptime.count();
  log_.line("connected to the kernel at " + to_string(kernel_) + ": " + caches + " caches, started " +
                std::to_string(uptime_ms) + " ms ago",
            {{"event", "kernel_up"}, {"cores", caches}, {"ago_ms", uptime_ms}});
  encode_sysinfo_request(kReplayEndTag, output_);
  wake_writer();
  co_await forward(started);
}

asio::awaitable<void> Link::handle_info(SystemInfo info) {
  if (info.tag == kReplayEndTag && !ready_) {
    ready_ = true;
    resend_commands();
  }
  gauges_requested_ = false;
  co_await forward(std::move(info.gauges));
}

void Link::resend_commands() {
  for (const auto& command : command_log_.commands_to_resend()) encode(command, names_, output_);
  wake_writer();
}

// Posts a notice to the edge. No notice may be dropped: while the mailbox is full, the link stops reading,
// and TCP flow control holds the kernel back.
asio::awaitable<void> Link::forward(edge::Input input) {
  // post() leaves the message unmoved if it returns false.
  while (!inputs_.post(std::move(input))) {  // NOLINT(bugprone-use-after-move)
    if (inputs_.closed()) co_return;
    asio::steady_timer pause(executor_, kFullMailboxPause);
    error_code ignored;
    co_await pause.async_wait(into(ignored));
  }
}

}  // namespace granitegap::kernel
