#include "deps/gather_table.h"

#include <utility>

namespace granitegap::deps {
namespace {

std::uint64_t request_hash(RequestId id) { return std::uint64_t(id); }

}  // namespace

GatherSlot GatherTable::create(RequestId id, std::shared_ptr<const LoadedSpec> loaded,
                               std::size_t spec_index) {
  if (free_.empty()) {
    gathers_.emplace_back();
    free_.push_back(GatherSlot(gathers_.size() - 1));
  }
  const GatherSlot slot = free_.back();
  free_.pop_back();
  by_request_.put(request_hash(id), slot);
  auto& gather = gathers_[slot];
  gather.id = id;
  gather.loaded = std::move(loaded);
  gather.spec_index = spec_index;
  gather.has_ended = false;
  gather.parts.resize(gather.spec().parts.size());
  for (auto& part : gather.parts) part = Part{};
  gather.pending = gather.parts.size();
  return slot;
}

void GatherTable::release(GatherSlot slot) {
  auto& gather = gathers_[slot];
  by_request_.erase(request_hash(gather.id), slot);
  ++gather.generation;
  gather.loaded.reset();
  for (auto& part : gather.parts) part.body.reset();
  free_.push_back(slot);
}

GatherSlot GatherTable::find(RequestId id) const {
  return by_request_.find(request_hash(id), [&](GatherSlot slot) { return gathers_[slot].id == id; });
}

}  // namespace granitegap::deps
