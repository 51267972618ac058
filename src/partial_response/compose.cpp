#include "partial_response/compose.h"

#include <algorithm>
#include <limits>

#include "partial_answer.pb.h"

namespace granitegap::partial_response {
namespace {

constexpr std::size_t kFramingBytes = 32;  // upper bound per part, besides its name and data

Part::Status to_proto_status(deps::PartStatus status) {
  switch (status) {
    case deps::PartStatus::fresh:
      return Part::FRESH;
    case deps::PartStatus::stale:
      return Part::STALE;
    case deps::PartStatus::fallback:
      return Part::FALLBACK;
    case deps::PartStatus::absent:
    case deps::PartStatus::pending:
      break;
  }
  return Part::ABSENT;
}

// Appends a name to a comma-separated list.
void append_name(std::string& to, const std::string& name) {
  if (!to.empty()) to += ',';
  to += name;
}

bool has_value(const edge::GatheredPart& part) {
  return part.status != deps::PartStatus::absent && part.status != deps::PartStatus::pending && part.body;
}

// Selects the parts that the message contains: those with a value, except the largest ones if the message
// would exceed `max_bytes`.
std::vector<bool> choose_parts(std::size_t result_bytes, const std::vector<edge::GatheredPart>& parts,
                               std::size_t max_bytes) {
  std::vector<bool> included;
  std::size_t bytes = result_bytes + kFramingBytes;
  for (const auto& part : parts) {
    included.push_back(has_value(part));
    bytes += part.name.size() + kFramingBytes;
    if (included.back()) bytes += part.body->size();
  }
  while (bytes > max_bytes) {
    std::size_t largest = parts.size();
    for (std::size_t i = 0; i < parts.size(); ++i) {
      if (!included[i]) continue;
      if (largest == parts.size() || parts[i].body->size() > parts[largest].body->size()) largest = i;
    }
    if (largest == parts.size()) break;
    included[largest] = false;
    bytes -= parts[largest].body->size();
  }
  return included;
}

std::uint32_t age_ms(Duration age) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return std::uint32_t(std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

edge::Payload compose(std::string result, const std::vector<edge::GatheredPart>& parts,
                      std::size_t max_bytes) {
  const auto included = choose_parts(result.size(), parts, max_bytes);
  edge::Payload payload;
  PartialAnswer answer;
  answer.set_result(std::move(result));
  for (std::size_t i = 0; i < parts.size(); ++i) {
    auto& part = *answer.add_parts();
    part.set_name(parts[i].name);
    append_name(included[i] ? payload.present_parts : payload.missing_parts, parts[i].name);
    if (!included[i]) continue;
    part.set_status(to_proto_status(parts[i].status));
    part.set_age_ms(age_ms(parts[i].age));
    part.set_data(*parts[i].body);
  }
  answer.SerializeToString(&payload.bytes);
  return payload;
}

}  // namespace granitegap::partial_response
