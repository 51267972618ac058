#include "load_report/load_reporter.h"

#include <boost/asio/buffer.hpp>
#include <optional>

namespace granitegap::load_report {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto kEvery = 500ms;  // an entry lapses after 3 s; several reports may be lost on the way
constexpr std::size_t kMaxReports = 64;

}  // namespace

std::string encode(std::string_view name, const edge::LoadReport& report) {
  return "announce " + std::string(name) + (report.accepting ? " true" : " false");
}

LoadReporter::LoadReporter(const asio::any_io_executor& executor, asio::ip::udp::endpoint service,
                           std::string name, Logger& log)
    : mailbox_(executor, kMaxReports),
      socket_(executor),
      service_(std::move(service)),
      name_(std::move(name)),
      log_(log) {}

void LoadReporter::report(const edge::LoadReport& report) {
  if (!mailbox_.post(report))
    log_.line("announce: report left out, mailbox full", {{"event", "report_left_out"}});
}

void LoadReporter::set_service(const asio::ip::udp::endpoint& service) { mailbox_.post_control(service); }

asio::awaitable<void> LoadReporter::run() {
  std::optional<edge::LoadReport> newest;
  bool told = false;
  auto next = Mailbox<Mail>::Clock::time_point::max();
  for (;;) {
    for (const auto& mail : co_await mailbox_.take(next)) {
      if (const auto* report = std::get_if<edge::LoadReport>(&mail)) {
        newest = *report;
      } else if (std::exchange(service_, std::get<1>(mail)).protocol() != service_.protocol()) {
        boost::system::error_code ignored;
        socket_.close(ignored);
      }
    }
    if (!newest || silent_) {
      next = Mailbox<Mail>::Clock::time_point::max();
      continue;
    }
    boost::system::error_code error;
    if (!socket_.is_open()) socket_.open(service_.protocol(), error);
    if (!error)
      co_await socket_.async_send_to(asio::buffer(encode(name_, *newest)), service_,
                                     asio::redirect_error(asio::use_awaitable, error));
    // The service may be away for a while: one line when that begins is enough.
    if (error && !std::exchange(told, true))
      log_.line("announce: report not sent: " + error.message(),
                {{"event", "report_not_sent"}, {"why", error.message()}});
    if (!error) told = false;
    next = Mailbox<Mail>::Clock::now() + kEvery;
  }
}

}  // namespace granitegap::load_report
