// A stand-in dependency on a thread of its own, for programs whose own thread waits for other things.
//
// Ownership: owns its io_context, its thread and the dependency. Threads: all methods may be called from any
// other thread. Errors: as the dependency's constructor.
#pragma once
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <thread>
#include <utility>

#include "standin/dependency.h"

namespace granitegap::standin {

class DependencyThread {
 public:
  // One endpoint on any free port. `awaited_changed` is called on the dependency's thread; it may be empty.
  DependencyThread(Script script, std::uint64_t seed, Dependency::AwaitedCallback awaited_changed = {})
      : dependency_(io_, std::move(script), seed, {0}, Dependency::Clock::now()), port_(dependency_.port(0)) {
    if (awaited_changed) dependency_.on_awaited_changed(std::move(awaited_changed));
    dependency_.prefix_bodies_with_arrival();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~DependencyThread() {
    io_.stop();
    thread_.join();
  }
  DependencyThread(const DependencyThread&) = delete;
  DependencyThread& operator=(const DependencyThread&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  boost::asio::io_context io_;
  Dependency dependency_;
  std::uint16_t port_;
  std::thread thread_;
};

}  // namespace granitegap::standin
