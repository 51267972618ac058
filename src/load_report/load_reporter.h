// The actor that reports to the announce service.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>
#include <variant>

#include "actor/mailbox.h"
#include "edge/types.h"
#include "log/logger.h"

namespace granitegap::load_report {

std::string encode(std::string_view name, const edge::LoadReport& report);

class LoadReporter {
 public:
  LoadReporter(const boost::asio::any_io_executor& executor, boost::asio::ip::udp::endpoint service,
               std::string name, Logger& log);
  boost::asio::awaitable<void> run();
  void report(const edge::LoadReport& report);
  // Nothing more is said: another process speaks under this name now.
  void stop_reporting() { silent_ = true; }
  // The service is at this address from now on, and hears the newest report at once.
  void set_service(const boost::asio::ip::udp::endpoint& service);

 private:
  using Mail = std::variant<edge::LoadReport, boost::asio::ip::udp::endpoint>;
  Mailbox<Mail> mailbox_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint service_;
  std::string name_;
  Logger& log_;
  bool silent_ = false;
};

}  // namespace granitegap::load_report
