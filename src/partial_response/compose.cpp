#include "partial_response/compose.h"

#include <algorithm>
#include <limits>

#include "partial_answer.pb.h"

namespace granitegap::partial_response {
namespace {

constexpr std::size_t kFraming = 32;  // of one part, besides its name and data

Part::Status status_of(deps::PartStatus status) {
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

void list(std::string& to, const std::string& name) {
  if (!to.empty()) to += ',';
  to += name;
}

}  // namespace

edge::Payload compose(std::string result, const std::vector<edge::GatheredPart>& parts,
                      std::size_t max_bytes) {
  std::vector<bool> there;
  std::size_t bytes = result.size() + kFraming;
  for (const auto& p : parts) {
    there.push_back(p.status != deps::PartStatus::absent && p.status != deps::PartStatus::pending && p.body);
    bytes += p.name.size() + kFraming + (there.back() ? p.body->size() : 0);
  }
  while (bytes > max_bytes) {
    std::size_t largest = parts.size();
    for (std::size_t i = 0; i < parts.size(); ++i)
      if (there[i] && (largest == parts.size() || parts[i].body->size() > parts[largest].body->size()))
        largest = i;
    if (largest == parts.size()) break;
    there[largest] = false;
    bytes -= parts[largest].body->size();
  }
  edge::Payload payload;
  PartialAnswer answer;
  answer.set_result(std::move(result));
  for (std::size_t i = 0; i < parts.size(); ++i) {
    auto& part = *answer.add_parts();
    part.set_name(parts[i].name);
    list(there[i] ? payload.present_parts : payload.missing_parts, parts[i].name);
    if (!there[i]) continue;
    part.set_status(status_of(parts[i].status));
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(parts[i].age).count();
    part.set_age_ms(
        std::uint32_t(std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max())));
    part.set_data(*parts[i].body);
  }
  answer.SerializeToString(&payload.bytes);
  return payload;
}

}  // namespace granitegap::partial_response
