// The actor that reports to the announce service.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

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

 private:
  Mailbox<edge::Report> mailbox_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint service_;
  std::string name_;
  Logger& log_;
};

}  // namespace granitegap::announce
