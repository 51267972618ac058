#include "simulator/adapter.h"

#include <algorithm>
#include <istream>
#include <ostream>

#include "settings/settings.h"

namespace granitegap {
namespace {

constexpr std::size_t kReadChunk = std::size_t(1) << 20;

// Reads no more than has arrived, so that a false length costs no memory.
bool read_exactly(std::istream& in, std::size_t size, std::string& to) {
  to.clear();
  while (to.size() < size) {
    const auto chunk = std::min(kReadChunk, size - to.size());
    const auto at = to.size();
    to.resize(at + chunk);
    in.read(to.data() + at, std::streamsize(chunk));
    to.resize(at + std::size_t(in.gcount()));
    if (std::size_t(in.gcount()) < chunk) return false;
  }
  return true;
}

}  // namespace

std::string Adapter::answer(const wire::Batch& batch) {
  wire::Reply reply(batch.number);
  std::vector<std::uint16_t> touched;
  const auto flush = [&](std::uint16_t id, Instance& instance) {
    if (instance.pending.empty()) return;
    for (const auto& action : instance.controller.handle(batch.clock, instance.pending))
      reply.add(id, action);
    instance.pending.clear();
  };
  for (const auto& record : batch.records) {
    if (const auto* on = std::get_if<wire::PowerOn>(&record.body)) {
      auto parsed = parse_settings(on->profile);
      instances_.erase(record.instance);
      auto& made =
          instances_
              .emplace(record.instance,
                       Instance{AdmissionController(std::move(parsed.settings), on->seed, batch.clock),
                                std::move(parsed.gauges),
                                {}})
              .first->second;
      for (const auto& action : made.controller.start()) reply.add(record.instance, action);
      continue;
    }
    if (std::holds_alternative<wire::Halt>(record.body)) {
      instances_.erase(record.instance);
      continue;
    }
    const auto it = instances_.find(record.instance);
    if (it == instances_.end()) continue;
    if (it->second.pending.empty()) touched.push_back(record.instance);
    if (const auto* timer = std::get_if<wire::Gauged>(&record.body))
      it->second.pending.emplace_back(with_gauges(timer->token, timer->gauges, it->second.gauges));
    else
      it->second.pending.push_back(std::get<Event>(record.body));
  }
  for (const auto id : touched)
    if (const auto it = instances_.find(id); it != instances_.end()) flush(id, it->second);
  return reply.finish();
}

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  Adapter adapter;
  std::string bytes;
  try {
    while (in.peek() != std::istream::traits_type::eof()) {
      if (!read_exactly(in, wire::kHeaderBytes, bytes))
        throw wire::Malformed("batch unknown, offset " + std::to_string(bytes.size()) +
                              ": expected a batch header of 20 bytes");
      const auto header = wire::decode_header(bytes);
      if (!read_exactly(in, header.length, bytes))
        throw wire::Malformed("batch " + std::to_string(header.number) + ", offset " +
                              std::to_string(wire::kHeaderBytes + bytes.size()) + ": expected " +
                              std::to_string(header.length) + " bytes after the header");
      const auto reply = adapter.answer(wire::decode_body(header, bytes));
      out.write(reply.data(), std::streamsize(reply.size()));
      out.flush();
    }
  } catch (const wire::Malformed& problem) {
    err << "granitegap_simulator: " << problem.what() << '\n';
    return 2;
  }
  return 0;
}

}  // namespace granitegap
