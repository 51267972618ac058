// The gathers in progress: for each request the parts that it needs and how far they are.
//
// Gathers live in a slab like calls (call_table.h). Used by one thread; it allocates only when the slab or an
// index grows.
#pragma once
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "deps/call_table.h"
#include "deps/loaded_spec.h"

namespace granitegap::deps {

// One part of a gather.
struct Part {
  PartStatus status = PartStatus::pending;
  CallSlot call = kNoSlot;  // the call that it waits for
  TimePoint deadline{};
  CacheKey key;
  Duration age{};      // of the body
  Duration max_age{};  // up to which a cached response is fresh for this part
  SharedBody body;
};

struct Gather {
  RequestId id{};
  std::uint32_t generation = 0;
  std::shared_ptr<const LoadedSpec> loaded;
  std::size_t spec_index = 0;  // into Spec::gathers
  std::size_t pending = 0;     // parts
  TimePoint deadline{};
  bool may_call = true;  // false: only cached responses and declared defaults
  bool has_ended = false;
  std::uint64_t obj = 0;
  std::string body, cls;  // of the request, for the path templates
  std::vector<Part> parts;

  const GatherSpec& spec() const { return loaded->spec->gathers[spec_index]; }
};

class GatherTable {
 public:
  // A gather with all of its parts pending. Deadline, attributes and `may_call` are the caller's to set.
  GatherSlot create(RequestId id, std::shared_ptr<const LoadedSpec> loaded, std::size_t spec_index);
  void release(GatherSlot slot);
  // The gather of that request, or kNoSlot.
  GatherSlot find(RequestId id) const;

  Gather& operator[](GatherSlot slot) { return gathers_[slot]; }
  const Gather& operator[](GatherSlot slot) const { return gathers_[slot]; }
  std::size_t size() const { return by_request_.size(); }

 private:
  std::deque<Gather> gathers_;
  std::vector<GatherSlot> free_;
  SlotIndex by_request_;
};

}  // namespace granitegap::deps
