// Socket passing: adopts the listening socket that the platform keeps open and that each process of a tile
// server inherits, like systemd's LISTEN_FDS.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "net/file_descriptor.h"

namespace granitegap::net {

enum class InheritedSocketErrorCode : std::uint8_t {
  not_a_number,
  not_open,
  not_a_socket,
  not_a_stream_socket,
  not_an_internet_socket,
  not_listening,
};

// Why a descriptor number does not name a usable listening socket.
struct InheritedSocketError {
  InheritedSocketErrorCode code{};
  std::string value;  // the descriptor number as given, cut to 40 bytes

  // Returns a one-line message that begins with the value.
  std::string text() const;
};

// Takes ownership of the descriptor whose number is `text`, the value of $EDGE_FD. Checks that it is an open,
// listening TCP socket (stream, IPv4 or IPv6) and sets FD_CLOEXEC, so that child programs do not inherit it.
// On an error the descriptor is left unchanged.
[[nodiscard]] std::variant<FileDescriptor, InheritedSocketError> adopt_inherited_listener(
    std::string_view text);

}  // namespace granitegap::net
