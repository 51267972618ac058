// The requests that the edge has taken in and whose work is not over, found by id, by the kernel's name for
// the run, and by connection.
//
// Ownership: the table owns its entries; references stay valid until the entry is removed. Not safe for
// concurrent calls. Errors: ids that are not in the table are programming errors, except for find().
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

enum class RequestStage : std::uint8_t {
  queued,             // the controller has not let it run yet
  gathering,          // it may run, and gathers parts from dependencies first
  running,            // the kernel runs it
  paused,             // the kernel has stopped its run, which can be resumed
  awaiting_original,  // repeats another attempt, and waits for that one's payload
};

struct OpenRequest {
  Request request;
  TimePoint stage_began_at;
  RequestStage stage = RequestStage::queued;
  bool ran = false;                     // a run of it was started, at any time
  bool answered = false;                // its response is given, or nobody can receive one
  bool preempted = false;               // a run of it was stopped, at any time
  bool read_after_grace = false;        // read so long after the notice to stop that it must not run
  std::optional<RequestId> original{};  // the attempt that it repeats
  std::vector<RequestId> followers{};   // repeats that wait for this one's payload
  bool calls_began = false;             // while gathering: the calls are under way
  std::vector<GatheredPart> parts{};    // gathered before its run
  TimePoint gathered_at{};
};

class OpenRequests {
 public:
  // The id and the rid must be new.
  void add(RequestId id, OpenRequest open);
  // Takes the entry out. The id must be in the table.
  OpenRequest remove(RequestId id);

  // Null for an id that is not in the table.
  [[nodiscard]] OpenRequest* find(RequestId id);
  // The id must be in the table.
  [[nodiscard]] OpenRequest& at(RequestId id) { return by_id_.at(id); }
  [[nodiscard]] std::optional<RequestId> find_by_rid(const std::string& rid) const;
  // What is open on a connection, in order of arrival.
  [[nodiscard]] std::vector<RequestId> requests_of(PeerId peer) const;
  // The same, and the connection is forgotten: later calls return nothing for these requests.
  [[nodiscard]] std::vector<RequestId> take_peer(PeerId peer);
  [[nodiscard]] std::size_t size() const { return by_id_.size(); }

 private:
  std::map<RequestId, OpenRequest> by_id_;
  std::unordered_map<std::string, RequestId> by_rid_;
  std::map<PeerId, std::vector<RequestId>> by_peer_;
};

}  // namespace granitegap::edge
