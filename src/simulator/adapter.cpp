#include "simulator/adapter.h"

#include <algorithm>
#include <istream>
#include <optional>
#include <ostream>

#include "settings/settings.h"

namespace granitegap {
namespace {

constexpr std::size_t kReadChunk = std::size_t(1) << 20;
constexpr int kMalformedBatchStatus = 2;

// Reads `size` bytes into `to`. Returns false if the input ends before. Grows the buffer by at most
// kReadChunk beyond the bytes received, so that a wrong length field does not allocate its full size.
bool read_exactly(std::istream& in, std::size_t size, std::string& to) {
  to.clear();
  while (to.size() < size) {
    const auto chunk = std::min(kReadChunk, size - to.size());
    const auto offset = to.size();
    to.resize(offset + chunk);
    in.read(to.data() + offset, std::streamsize(chunk));
    to.resize(offset + std::size_t(in.gcount()));
    if (std::size_t(in.gcount()) < chunk) return false;
  }
  return true;
}

}  // namespace

void Adapter::power_on(std::uint16_t id, const wire::PowerOn& power_on, TimePoint now, wire::Reply& reply) {
  auto parsed = parse_settings(power_on.profile);
  instances_.erase(id);
  AdmissionController controller(std::move(parsed.settings), power_on.seed, now);
  Instance instance{std::move(controller), std::move(parsed.gauges), {}};
  auto& started = instances_.emplace(id, std::move(instance)).first->second;
  for (const auto& action : started.controller.start()) reply.add(id, action);
}

Event Adapter::to_event(const wire::Record& record, const Instance& instance) {
  if (const auto* timer = std::get_if<wire::TimerWithGauges>(&record.body))
    return with_gauges(timer->token, timer->gauges, instance.gauges);
  return std::get<Event>(record.body);
}

std::string Adapter::answer(const wire::Batch& batch) {
  wire::Reply reply(batch.number);
  std::vector<std::uint16_t> instances_with_events;  // in the order of their first event
  for (const auto& record : batch.records) {
    if (const auto* power = std::get_if<wire::PowerOn>(&record.body)) {
      power_on(record.instance, *power, batch.clock, reply);
      continue;
    }
    if (std::holds_alternative<wire::Halt>(record.body)) {
      instances_.erase(record.instance);
      continue;
    }
    const auto it = instances_.find(record.instance);
    if (it == instances_.end()) continue;
    auto& instance = it->second;
    if (instance.pending.empty()) instances_with_events.push_back(record.instance);
    instance.pending.push_back(to_event(record, instance));
  }
  for (const auto id : instances_with_events) {
    const auto it = instances_.find(id);
    if (it == instances_.end() || it->second.pending.empty()) continue;
    auto& instance = it->second;
    for (const auto& action : instance.controller.handle(batch.clock, instance.pending))
      reply.add(id, action);
    instance.pending.clear();
  }
  return reply.finish();
}

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  Adapter adapter;
  std::string bytes;
  try {
    while (in.peek() != std::istream::traits_type::eof()) {
      if (!read_exactly(in, wire::kHeaderBytes, bytes))
        throw wire::MalformedBatch(std::nullopt, bytes.size(), wire::kHeaderExpected);
      const auto header = wire::decode_header(bytes);
      if (!read_exactly(in, header.length, bytes))
        throw wire::MalformedBatch(header.number, wire::kHeaderBytes + bytes.size(),
                                   std::to_string(header.length) + " bytes after the header (input ended)");
      const auto reply = adapter.answer(wire::decode_body(header, bytes));
      out.write(reply.data(), std::streamsize(reply.size()));
      out.flush();
    }
  } catch (const wire::MalformedBatch& malformed) {
    err << "granitegap_simulator: " << malformed.what() << '\n';
    return kMalformedBatchStatus;
  }
  return 0;
}

}  // namespace granitegap
