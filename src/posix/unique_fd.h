// RAII ownership of a POSIX file descriptor.
#pragma once
#include <unistd.h>

#include <utility>

namespace granitegap::posix {

// Owns at most one descriptor and closes it on destruction. Move-only; not thread-safe.
class UniqueFd {
 public:
  UniqueFd() = default;
  // Takes ownership of `fd`. A negative value, such as the result of a failed open(), means no descriptor.
  explicit UniqueFd(int fd) : fd_(fd) {}
  UniqueFd(UniqueFd&& other) noexcept : fd_(std::exchange(other.fd_, kNone)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;
  ~UniqueFd() {
    if (fd_ >= 0) ::close(fd_);
  }

  [[nodiscard]] bool valid() const { return fd_ >= 0; }
  [[nodiscard]] int get() const { return fd_; }

 private:
  static constexpr int kNone = -1;
  int fd_ = kNone;
};

}  // namespace granitegap::posix
