#include "net/inherited_socket.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <charconv>
#include <optional>
#include <system_error>

namespace granitegap::net {
namespace {

constexpr std::size_t kMaxQuotedBytes = 40;

std::optional<int> parse_descriptor(std::string_view text) {
  int descriptor = -1;
  const auto* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, descriptor);
  if (error != std::errc{} || end != text_end || descriptor < 0) return std::nullopt;
  return descriptor;
}

// Returns an integer option of SOL_SOCKET; absent if the descriptor is not a socket.
std::optional<int> socket_option(int descriptor, int option) {
  int value = 0;
  socklen_t size = sizeof value;
  if (::getsockopt(descriptor, SOL_SOCKET, option, &value, &size) != 0) return std::nullopt;
  return value;
}

std::optional<InheritedSocketErrorCode> check_listener(int descriptor) {
  const auto type = socket_option(descriptor, SO_TYPE);
  if (!type) return InheritedSocketErrorCode::not_a_socket;
  if (*type != SOCK_STREAM) return InheritedSocketErrorCode::not_a_stream_socket;
  const auto family = socket_option(descriptor, SO_DOMAIN);
  if (family != AF_INET && family != AF_INET6) return InheritedSocketErrorCode::not_an_internet_socket;
  const auto is_listening = socket_option(descriptor, SO_ACCEPTCONN);
  if (!is_listening.value_or(0)) return InheritedSocketErrorCode::not_listening;
  return std::nullopt;
}

const char* describe(InheritedSocketErrorCode code) {
  switch (code) {
    case InheritedSocketErrorCode::not_a_number:
      return "expected the number of a file descriptor";
    case InheritedSocketErrorCode::not_open:
      return "this file descriptor is not open";
    case InheritedSocketErrorCode::not_a_socket:
      return "expected a listening TCP socket, but this file descriptor is not a socket";
    case InheritedSocketErrorCode::not_a_stream_socket:
      return "expected a listening TCP socket, but this is not a stream socket";
    case InheritedSocketErrorCode::not_an_internet_socket:
      return "expected a listening TCP socket, but this is neither an IPv4 nor an IPv6 socket";
    case InheritedSocketErrorCode::not_listening:
      return "expected a listening TCP socket, but this socket is not listening";
  }
  return "";
}

}  // namespace

std::string InheritedSocketError::text() const { return value + ": " + describe(code); }

std::variant<FileDescriptor, InheritedSocketError> adopt_inherited_listener(std::string_view text) {
  const auto fail = [&](InheritedSocketErrorCode code) {
    return InheritedSocketError{code, std::string(text.substr(0, kMaxQuotedBytes))};
  };
  const auto descriptor = parse_descriptor(text);
  if (!descriptor) return fail(InheritedSocketErrorCode::not_a_number);
  const int flags = ::fcntl(*descriptor, F_GETFD);
  if (flags < 0) return fail(InheritedSocketErrorCode::not_open);
  if (const auto error = check_listener(*descriptor)) return fail(*error);
  ::fcntl(*descriptor, F_SETFD, flags | FD_CLOEXEC);
  return FileDescriptor(*descriptor);
}

}  // namespace granitegap::net
