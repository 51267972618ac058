// A fresh directory under the system's temporary directory, removed with its contents on destruction.
#pragma once
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <system_error>

namespace granitegap::standin {

class TemporaryDirectory {
 public:
  // `prefix`: of its name. Throws std::runtime_error if it can't be created.
  explicit TemporaryDirectory(const std::string& prefix = "granitegap_test_") {
    auto pattern = (std::filesystem::temp_directory_path() / (prefix + "XXXXXX")).string();
    if (!::mkdtemp(pattern.data())) throw std::runtime_error("can't create a directory " + pattern);
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

}  // namespace granitegap::standin
