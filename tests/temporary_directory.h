// A new directory for one test, removed with its contents on destruction.
#pragma once
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace granitegap {

class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    auto pattern = (std::filesystem::temp_directory_path() / "granitegap_test_XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
      throw std::runtime_error("cannot create a temporary directory from the pattern " + pattern);
    path_ = pattern;
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  [[nodiscard]] const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace granitegap
