// Conversion of configured addresses to Boost.Asio endpoints and to text.
#pragma once
#include <boost/asio/ip/address.hpp>
#include <string>

#include "config/config.h"

namespace granitegap {

// Sets `error` if the host is not a numeric address.
template <class Protocol>
typename Protocol::endpoint to_asio_endpoint(const config::Endpoint& endpoint,
                                             boost::system::error_code& error) {
  return {boost::asio::ip::make_address(endpoint.host, error), endpoint.port};
}
// Throws boost::system::system_error if the host is not a numeric address.
template <class Protocol>
typename Protocol::endpoint to_asio_endpoint(const config::Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.host), endpoint.port};
}

// Returns "HOST:PORT".
inline std::string to_text(const config::Endpoint& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port);
}

}  // namespace granitegap
