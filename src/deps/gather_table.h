// The gathers in progress: for each request the parts that it needs and the state of each part.
//
// Gathers are stored in a slab, like calls (call_table.h). Used by one thread; allocates only when the slab
// or an index grows.
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
  CallSlot call = kNoSlot;  // the call that the part waits for
  TimePoint deadline{};
  CacheKey key;
  Duration age{};      // age of the body
  Duration max_age{};  // maximum age at which a response counts as fresh for this part
  SharedBody body;
};

// The parts that one request gathers.
struct Gather {
  RequestId id{};
  std::uint32_t generation = 0;
  std::shared_ptr<const LoadedSpec> loaded;
  std::size_t spec_index = 0;  // index into Spec::gathers
  std::size_t pending = 0;     // number of parts that have not settled
  TimePoint deadline{};
  bool may_call = true;  // false: only cached responses and declared defaults
  bool has_ended = false;
  std::uint64_t obj = 0;
  std::string body, cls;  // request attributes for the path templates, like `obj`
  std::vector<Part> parts;

  const GatherSpec& spec() const { return loaded->spec->gathers[spec_index]; }
};

class GatherTable {
 public:
  // Creates a gather with all parts pending. The caller sets the deadline, the request attributes and
  // `may_call`.
  GatherSlot create(RequestId id, std::shared_ptr<const LoadedSpec> loaded, std::size_t spec_index);
  void release(GatherSlot slot);
  // Returns the gather of the request, or kNoSlot.
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
