// The simulator's wire: frames in, frames out. Translation only.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::wire {

struct PowerOn {
  std::uint64_t seed = 0;
  std::string profile;
};
struct Halt {};
struct Gauged {  // a timer with gauge values still in wire order
  TimerToken token{};
  std::vector<float> gauges;
};
using Body = std::variant<PowerOn, Halt, Gauged, Event>;
struct Record {
  std::uint16_t instance = 0;
  Body body;
};
struct Batch {
  std::uint32_t number = 0;
  TimePoint clock;
  std::vector<Record> records;
};
struct Header {
  std::uint32_t number = 0, length = 0, records = 0;
  double clock_ms = 0;
};
inline constexpr std::size_t kHeaderBytes = 20;

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Header decode_header(std::string_view bytes);
Batch decode_body(const Header& header, std::string_view body);

class Reply {
 public:
  explicit Reply(std::uint32_t number) : number_(number) {}
  void add(std::uint16_t instance, const Action& action);
  std::string finish() const;

 private:
  std::uint32_t number_, count_ = 0;
  std::string body_;
};

}  // namespace granitegap::wire
