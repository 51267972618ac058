// The listening socket that the platform keeps open and every process of a tile server inherits: socket
// passing, as systemd's LISTEN_FDS does it.
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

// Why a text names no listening socket.
struct InheritedSocketError {
  InheritedSocketErrorCode code{};
  std::string value;  // the text, at most 40 bytes of it

  // For people, in one line that begins with the value.
  std::string text() const;
};

// Takes ownership of the descriptor of which `text`, as of $EDGE_FD, is the number. It is checked to be an
// open stream socket of the internet that listens, and marked so that programs started by this one don't
// inherit it. On an error the descriptor is left alone.
[[nodiscard]] std::variant<FileDescriptor, InheritedSocketError> adopt_inherited_listener(
    std::string_view text);

}  // namespace granitegap::net
