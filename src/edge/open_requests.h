// Table of the requests that the edge has accepted and whose work is not finished, indexed by id, by rid (the
// kernel's id of the run), and by connection.
//
// Ownership: the table owns its entries; references stay valid until the entry is removed. Not safe for
// concurrent calls. Errors: passing an id that is not in the table is a programming error, except to find().
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "edge/dependency_messages.h"
#include "edge/request.h"
#include "granitegap/policy.h"

namespace granitegap::edge {

// The processing stage of an open request.
enum class RequestStage : std::uint8_t {
  queued,             // the admission controller has not started it yet
  gathering,          // started by the controller; parts are being gathered from dependencies
  running,            // the kernel is running it
  paused,             // the kernel has paused its run, which can be resumed
  awaiting_original,  // duplicates another attempt and waits for the payload of that attempt
};

// The state of one open request.
struct OpenRequest {
  Request request;
  TimePoint stage_began_at;
  RequestStage stage = RequestStage::queued;
  bool ran = false;                     // whether a run of it was ever started
  bool answered = false;                // whether its response was sent, or its connection is closed
  bool preempted = false;               // whether a run of it was ever preempted
  bool read_after_grace = false;        // read after the drain's grace period, so that it must not run
  std::optional<RequestId> original{};  // the attempt that it duplicates
  std::vector<RequestId> followers{};   // duplicates that wait for the payload of this attempt
  bool calls_began = false;             // in stage gathering: whether its gather has begun
  std::vector<GatheredPart> parts{};    // the parts gathered before its run
  TimePoint gathered_at{};
};

// Owns the open requests.
class OpenRequests {
 public:
  // Adds an entry. The id and the rid must not be in the table.
  void add(RequestId id, OpenRequest open);
  // Removes and returns the entry. The id must be in the table.
  OpenRequest remove(RequestId id);

  // Returns null for an id that is not in the table.
  [[nodiscard]] OpenRequest* find(RequestId id);
  // The id must be in the table.
  [[nodiscard]] OpenRequest& at(RequestId id) { return by_id_.at(id); }
  // Returns nullopt for a rid that is not in the table.
  [[nodiscard]] std::optional<RequestId> find_by_rid(const std::string& rid) const;
  // Returns the requests that are open on a connection, in order of arrival.
  [[nodiscard]] std::vector<RequestId> requests_of(PeerId peer) const;
  // Returns the same as requests_of() and removes the connection's index entry: later calls for the
  // connection do not return these requests.
  [[nodiscard]] std::vector<RequestId> take_peer(PeerId peer);
  [[nodiscard]] std::size_t size() const { return by_id_.size(); }

 private:
  std::map<RequestId, OpenRequest> by_id_;
  std::unordered_map<std::string, RequestId> by_rid_;
  std::map<PeerId, std::vector<RequestId>> by_peer_;
};

}  // namespace granitegap::edge
