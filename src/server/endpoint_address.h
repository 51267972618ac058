// Configured addresses as Boost.Asio endpoints and as text.
#pragma once
#include <boost/asio/ip/address.hpp>
#include <string>

#include "config/config.h"

namespace granitegap {

// `error` is set where the host is no numeric address.
template <class Protocol>
typename Protocol::endpoint address(const config::Endpoint& endpoint, boost::system::error_code& error) {
  return {boost::asio::ip::make_address(endpoint.host, error), endpoint.port};
}
// Throws boost::system::system_error where the host is no numeric address.
template <class Protocol>
typename Protocol::endpoint address(const config::Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.host), endpoint.port};
}

// As "HOST:PORT".
inline std::string text_of(const config::Endpoint& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port);
}

}  // namespace granitegap
