#include "net/inherited_socket.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <charconv>
#include <system_error>

namespace granitegap::net {

std::variant<int, std::string> validate_inherited_listener(std::string_view text) {
  const auto no = [&](const char* why) { return std::string(text.substr(0, 40)).append(": ").append(why); };
  int fd = -1;
  const auto* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, fd);
  if (error != std::errc{} || at != end || fd < 0) return no("expected the number of a descriptor");
  const int flags = ::fcntl(fd, F_GETFD);
  if (flags < 0) return no("this descriptor is not open");
  int type = 0, listens = 0, family = 0;
  socklen_t size = sizeof(int);
  if (::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) != 0) return no("this descriptor is no socket");
  if (type != SOCK_STREAM) return no("this socket is no stream socket");
  size = sizeof(int);
  if (::getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &family, &size) != 0 ||
      (family != AF_INET && family != AF_INET6))
    return no("this socket is none of the internet");
  size = sizeof(int);
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || !listens)
    return no("this socket does not listen");
  ::fcntl(fd, F_SETFD, flags | FD_CLOEXEC);
  return fd;
}

}  // namespace granitegap::net
