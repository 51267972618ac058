#include "announce/announcer.h"

#include <boost/asio/buffer.hpp>
#include <optional>

namespace granitegap::announce {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto kEvery = 500ms;  // an entry lapses after 3 s; several reports may be lost on the way
constexpr std::size_t kMostReports = 64;

}  // namespace

std::string encode(std::string_view name, const edge::Report& report) {
  return "announce " + std::string(name) + (report.accepting ? " true" : " false");
}

Announcer::Announcer(const asio::any_io_executor& executor, asio::ip::udp::endpoint service, std::string name,
                     Logger& log)
    : mailbox_(executor, kMostReports),
      socket_(executor),
      service_(std::move(service)),
      name_(std::move(name)),
      log_(log) {}

void Announcer::report(const edge::Report& report) {
  if (!mailbox_.post(edge::Report(report))) log_.line("announce: report left out, mailbox full");
}

asio::awaitable<void> Announcer::run() {
  std::optional<edge::Report> newest;
  bool told = false;
  auto next = Mailbox<edge::Report>::Clock::time_point::max();
  for (;;) {
    const auto reports = co_await mailbox_.take(next);
    if (!reports.empty()) newest = reports.back();
    if (!newest) continue;
    boost::system::error_code error;
    if (!socket_.is_open()) socket_.open(service_.protocol(), error);
    if (!error)
      co_await socket_.async_send_to(asio::buffer(encode(name_, *newest)), service_,
                                     asio::redirect_error(asio::use_awaitable, error));
    // The service may be away for a while: one line when that begins is enough.
    if (error && !std::exchange(told, true)) log_.line("announce: report not sent: " + error.message());
    if (!error) told = false;
    next = Mailbox<edge::Report>::Clock::now() + kEvery;
  }
}

}  // namespace granitegap::announce
