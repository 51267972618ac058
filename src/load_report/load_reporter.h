// The load reporter: an actor that sends the newest load report to the announce service over UDP, repeatedly.
#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "actor/mailbox.h"
#include "edge/types.h"
#include "log/logger.h"

namespace granitegap::load_report {

// Encodes a load report of the tile server `name` as a datagram.
std::string encode(std::string_view name, const edge::LoadReport& report);

// All members must be called on the executor's thread. Errors are logged; of consecutive failed sends only
// the first is.
class LoadReporter {
 public:
  // `log` must outlive the reporter.
  LoadReporter(const boost::asio::any_io_executor& executor, boost::asio::ip::udp::endpoint service,
               std::string name, Logger& log);

  // Sends the newest report immediately and then twice a second. Does not return.
  boost::asio::awaitable<void> run();

  // Replaces the report that is sent.
  void report(const edge::LoadReport& report);

  // Stops sending, because another process now reports under this name.
  void stop_reporting() { stopped_ = true; }

  // Changes the address of the announce service. The newest report is sent there immediately.
  void set_service(const boost::asio::ip::udp::endpoint& service);

 private:
  using Message = std::variant<edge::LoadReport, boost::asio::ip::udp::endpoint>;
  void handle(const Message& message);
  boost::asio::awaitable<void> send_newest();
  void log_send_result(const boost::system::error_code& error);

  Mailbox<Message> mailbox_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint service_;
  std::string name_;
  Logger& log_;
  std::optional<edge::LoadReport> newest_;
  bool failure_logged_ = false;
  bool stopped_ = false;
};

}  // namespace granitegap::load_report
