// The actor that reports to the announce service.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>
#include <variant>

#include "edge/types.h"
#include "log/logger.h"
#include "mailbox/mailbox.h"

namespace granitegap::announce {

std::string encode(std::string_view name, const edge::Report& report);

class Announcer {
 public:
  Announcer(const boost::asio::any_io_executor& executor, boost::asio::ip::udp::endpoint service,
            std::string name, Logger& log);
  boost::asio::awaitable<void> run();
  void report(const edge::Report& report);
  // Nothing more is said: another process speaks under this name now.
  void fall_silent() { silent_ = true; }
  // The service is at this address from now on, and hears the newest report at once.
  void move_to(const boost::asio::ip::udp::endpoint& service);

 private:
  using Mail = std::variant<edge::Report, boost::asio::ip::udp::endpoint>;
  Mailbox<Mail> mailbox_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint service_;
  std::string name_;
  Logger& log_;
  bool silent_ = false;
};

}  // namespace granitegap::announce
