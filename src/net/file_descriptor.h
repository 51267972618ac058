// RAII ownership of a file descriptor that can be released.
#pragma once
#include <unistd.h>

#include <utility>

namespace granitegap::net {

// Owns at most one descriptor and closes it on destruction. Move-only; not thread-safe.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(other.release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) reset(other.release());
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() { reset(kNone); }

  // Returns the descriptor, or -1 if there is none.
  int get() const { return descriptor_; }
  explicit operator bool() const { return descriptor_ >= 0; }
  // Transfers ownership to the caller.
  [[nodiscard]] int release() { return std::exchange(descriptor_, kNone); }

 private:
  static constexpr int kNone = -1;
  void reset(int descriptor) {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = descriptor;
  }
  int descriptor_ = kNone;
};

}  // namespace granitegap::net
