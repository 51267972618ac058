#include "load_report/load_reporter.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace granitegap::load_report {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using namespace std::chrono_literals;

// The announce service drops an entry after 3 s without a report. The interval allows for several lost
// reports.
constexpr auto kReportInterval = 500ms;
constexpr std::size_t kMaxQueuedReports = 64;

}  // namespace

std::string encode(std::string_view name, const edge::LoadReport& report) {
  return "announce " + std::string(name) + (report.accepting ? " true" : " false");
}

LoadReporter::LoadReporter(const asio::any_io_executor& executor, udp::endpoint service, std::string name,
                           Logger& log)
    : mailbox_(executor, kMaxQueuedReports),
      socket_(executor),
      service_(std::move(service)),
      name_(std::move(name)),
      log_(log) {}

void LoadReporter::report(const edge::LoadReport& report) {
  if (!mailbox_.post(report))
    log_.line("load report dropped, keeping the previous one: all " + std::to_string(kMaxQueuedReports) +
                  " mailbox slots are in use",
              {{"event", "report_left_out"}});
}

void LoadReporter::set_service(const udp::endpoint& service) { mailbox_.post_control(service); }

asio::awaitable<void> LoadReporter::run() {
  using Clock = Mailbox<Message>::Clock;
  auto next_send = Clock::time_point::max();
  for (;;) {
    for (const auto& message : co_await mailbox_.take(next_send)) handle(message);
    if (!newest_ || stopped_) {
      next_send = Clock::time_point::max();
      continue;
    }
    co_await send_newest();
    next_send = Clock::now() + kReportInterval;
  }
}

void LoadReporter::handle(const Message& message) {
  if (const auto* report = std::get_if<edge::LoadReport>(&message)) {
    newest_ = *report;
    return;
  }
  const auto previous = std::exchange(service_, std::get<udp::endpoint>(message));
  if (previous.protocol() == service_.protocol()) return;
  error_code ignored;
  socket_.close(ignored);  // reopened for the new address family by the next send
}

asio::awaitable<void> LoadReporter::send_newest() {
  const auto datagram = encode(name_, *newest_);
  error_code error;
  if (!socket_.is_open()) socket_.open(service_.protocol(), error);
  if (!error)
    co_await socket_.async_send_to(asio::buffer(datagram), service_,
                                   asio::redirect_error(asio::use_awaitable, error));
  log_send_result(error);
}

void LoadReporter::log_send_result(const error_code& error) {
  const bool first_failure = error && !failure_logged_;
  failure_logged_ = bool(error);
  if (first_failure)
    log_.line("cannot send the load report to the announce service at " + service_.address().to_string() +
                  ':' + std::to_string(service_.port()) + ", retrying: " + error.message(),
              {{"event", "report_not_sent"}, {"why", error.message()}});
}

}  // namespace granitegap::load_report
