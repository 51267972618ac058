#include "kernel/link.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace granitegap::kernel {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr auto kFirstRetry = 10ms, kLastRetry = 200ms;
constexpr std::string_view kFenceTag = "fence";

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

void CommandLog::record(const edge::Command& command) {
  if (const auto* start = std::get_if<edge::StartRun>(&command))
    runs_[start->rid] = {order_++, command, false};
  else if (const auto* resume = std::get_if<edge::ResumeRun>(&command))
    runs_[resume->rid] = {order_++, command, false};
  else if (const auto* check = std::get_if<edge::DeepCheck>(&command))
    checks_.insert(check->tag);
  else if (const auto* stop = std::get_if<edge::StopRun>(&command))
    if (const auto it = runs_.find(stop->rid); it != runs_.end()) it->second.stop = true;
}

// After BOOTED numbers go up by one. One that comes before it, or leaps ahead, is of another life, unless it
// tells the end of what was asked for here: taken at its word it would make the next notices read as replays,
// and their requests stand unanswered.
bool CommandLog::belongs(const Notice& notice) const {
  if (booted_ && notice.number == last_ + 1) return true;
  if (const auto* report = std::get_if<edge::RunReport>(&notice.what)) return runs_.contains(report->rid);
  if (const auto* wanted = std::get_if<edge::DependencyCallRequested>(&notice.what))
    return runs_.contains(wanted->rid);
  return false;
}

bool CommandLog::accept(const Notice& notice) {
  if (std::holds_alternative<edge::KernelStarted>(notice.what)) booted_ = true;
  if (notice.number) {
    if (notice.number <= last_ || !belongs(notice)) return false;
    last_ = notice.number;
  }
  if (const auto* report = std::get_if<edge::RunReport>(&notice.what)) runs_.erase(report->rid);
  if (const auto* done = std::get_if<edge::DeepCheckDone>(&notice.what)) checks_.erase(done->tag);
  if (const auto* rejected = std::get_if<edge::CommandRejected>(&notice.what))
    if (rejected->kind == edge::CommandKind::start || rejected->kind == edge::CommandKind::resume)
      runs_.erase(rejected->rid);
  return true;
}

std::vector<edge::Command> CommandLog::commands_to_resend() const {
  std::vector<const Asked*> open;
  for (const auto& [rid, asked] : runs_) open.push_back(&asked);
  std::sort(open.begin(), open.end(), [](auto* a, auto* b) { return a->order < b->order; });
  std::vector<edge::Command> again;
  for (const auto* asked : open) {
    again.push_back(asked->run);
    if (!asked->stop) continue;
    if (const auto* start = std::get_if<edge::StartRun>(&asked->run))
      again.emplace_back(edge::StopRun{start->rid});
    else
      again.emplace_back(edge::StopRun{std::get<edge::ResumeRun>(asked->run).rid});
  }
  for (const auto tag : checks_) again.emplace_back(edge::DeepCheck{tag});
  return again;
}

Link::Link(const asio::any_io_executor& executor, tcp::endpoint kernel, const edge::NameRegistry& catalog,
           Mail& module, Logger& log)
    : executor_(executor),
      kernel_(std::move(kernel)),
      catalog_(catalog),
      module_(module),
      log_(log),
      socket_(executor),
      wake_(executor),
      retry_(executor) {}

void Link::send(const edge::Command& command) {
  if (std::holds_alternative<edge::AskGauges>(command)) {
    if (!ready_ || std::exchange(asked_gauges_, true)) return;  // one question at a time
  } else {
    command_log_.record(command);
    if (!ready_) return;  // asked once the link stands
  }
  encode(command, catalog_, outgoing_);
  flush();
}

void Link::set_endpoint(const tcp::endpoint& kernel) {
  retry_.cancel();
  if (std::exchange(kernel_, kernel) == kernel) return;  // a link that stands there goes on
  moved_ = true;
  error_code ignored;
  socket_.close(ignored);
}

asio::awaitable<void> Link::run() {
  auto pause = kFirstRetry;
  bool told = false;
  for (;;) {
    moved_ = false;
    const auto end = co_await attempt();
    if (moved_) {  // not a fault of the new address: it is tried at once and told of anew
      pause = kFirstRetry;
      told = false;
      continue;
    }
    if (end.reach == LinkProgress::up) {
      log_.line("kernel link lost: " + end.why, {{"event", "kernel_lost"}, {"why", end.why}});
      pause = kFirstRetry;
      told = false;
    } else if (!std::exchange(told, true)) {
      log_.line((end.reach == LinkProgress::opened ? "kernel link ended before it was up, trying on: "
                                                   : "kernel not reached, trying on: ") +
                    end.why,
                {{"event", "kernel_not_reached"}, {"why", end.why}});
    }
    retry_.expires_after(pause);
    error_code woken;
    co_await retry_.async_wait(into(woken));
    // Guards against a link that breaks on the same bytes again and again.
    pause = moved_ ? kFirstRetry : std::min<std::chrono::milliseconds>(pause * 2, kLastRetry);
  }
}

asio::awaitable<LinkOutcome> Link::attempt() {
  using namespace asio::experimental::awaitable_operators;
  socket_ = tcp::socket(executor_);
  error_code error;
  co_await socket_.async_connect(kernel_, into(error));
  if (error || moved_) co_return LinkOutcome{LinkProgress::not_connected, error.message()};
  socket_.set_option(tcp::no_delay(true), error);
  outgoing_.clear();
  ready_ = asked_gauges_ = false;
  command_log_.connection_opened();
  encode_open(command_log_.last_sequence(), outgoing_);
  const auto ended = co_await (read() || write());
  socket_.close(error);
  const auto reach = std::exchange(ready_, false) ? LinkProgress::up : LinkProgress::opened;
  co_return LinkOutcome{reach, ended.index() == 0 ? std::get<0>(ended) : std::string("write failed")};
}

asio::awaitable<void> Link::write() {
  std::string bytes;
  for (;;) {
    error_code error;
    while (outgoing_.empty()) {
      wake_.expires_at(std::chrono::steady_clock::time_point::max());
      co_await wake_.async_wait(into(error));
      if ((co_await asio::this_coro::cancellation_state).cancelled() != asio::cancellation_type::none)
        co_return;
    }
    bytes.clear();
    std::swap(bytes, outgoing_);
    co_await asio::async_write(socket_, asio::buffer(bytes), into(error));
    if (error) co_return;
  }
}

asio::awaitable<std::string> Link::read() {
  NoticeDecoder reader;
  std::array<char, 16384> chunk;
  for (;;) {
    error_code error;
    const auto size = co_await socket_.async_read_some(asio::buffer(chunk), into(error));
    if (error) co_return error.message();
    reader.add({chunk.data(), size});
    while (auto notice = reader.next()) {
      if (const auto* bad = std::get_if<DecodeError>(&notice->what)) co_return "unreadable line: " + bad->why;
      co_await take(std::move(*notice));
    }
  }
}

asio::awaitable<void> Link::take(Notice notice) {
  if (!command_log_.accept(notice)) co_return;
  if (const auto* booted = std::get_if<edge::KernelStarted>(&notice.what)) {
    log_.line(std::string("kernel up: ") + (booted->cold ? "cold" : "warm") + ", started " +
                  std::to_string(booted->ago.count()) + " ms ago",
              {{"event", "kernel_up"},
               {"cores", booted->cold ? "cold" : "warm"},
               {"ago_ms", std::int64_t(booted->ago.count())}});
    encode_sysinfo_request(kFenceTag, outgoing_);
    flush();
    co_await hand_in(*booted);
  } else if (auto* report = std::get_if<edge::RunReport>(&notice.what)) {
    co_await hand_in(std::move(*report));
  } else if (auto* info = std::get_if<SystemInfo>(&notice.what)) {
    if (info->tag == kFenceTag && !ready_) {
      ready_ = true;
      for (const auto& command : command_log_.commands_to_resend()) encode(command, catalog_, outgoing_);
      flush();
    }
    asked_gauges_ = false;
    co_await hand_in(std::move(info->gauges));
  } else if (auto* wanted = std::get_if<edge::DependencyCallRequested>(&notice.what)) {
    co_await hand_in(std::move(*wanted));
  } else if (auto* rejected = std::get_if<edge::CommandRejected>(&notice.what)) {
    co_await hand_in(std::move(*rejected));
  } else if (auto* done = std::get_if<edge::DeepCheckDone>(&notice.what)) {
    co_await hand_in(*done);
  }
}

// A report must reach the module: with its mailbox full the link waits, and the kernel with it.
asio::awaitable<void> Link::hand_in(edge::Input input) {
  while (!module_.post(std::move(input))) {
    if (module_.closed()) co_return;
    asio::steady_timer wait(executor_, 1ms);
    error_code ignored;
    co_await wait.async_wait(into(ignored));
  }
}

}  // namespace granitegap::kernel
