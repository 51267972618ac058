#include "edge/open_requests.h"

#include <utility>

namespace granitegap::edge {

void OpenRequests::add(RequestId id, OpenRequest open) {
  by_rid_.emplace(open.request.rid, id);
  by_peer_[open.request.reply_to.peer].push_back(id);
  by_id_.emplace(id, std::move(open));
}

OpenRequest OpenRequests::remove(RequestId id) {
  auto open = std::move(by_id_.extract(id).mapped());
  by_rid_.erase(open.request.rid);
  const auto of_peer = by_peer_.find(open.request.reply_to.peer);
  if (of_peer != by_peer_.end()) {
    std::erase(of_peer->second, id);
    if (of_peer->second.empty()) by_peer_.erase(of_peer);
  }
  return open;
}

OpenRequest* OpenRequests::find(RequestId id) {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : &it->second;
}

std::optional<RequestId> OpenRequests::find_by_rid(const std::string& rid) const {
  const auto it = by_rid_.find(rid);
  if (it == by_rid_.end()) return std::nullopt;
  return it->second;
}

std::vector<RequestId> OpenRequests::requests_of(PeerId peer) const {
  const auto it = by_peer_.find(peer);
  return it == by_peer_.end() ? std::vector<RequestId>{} : it->second;
}

std::vector<RequestId> OpenRequests::take_peer(PeerId peer) {
  auto node = by_peer_.extract(peer);
  return node ? std::move(node.mapped()) : std::vector<RequestId>{};
}

}  // namespace granitegap::edge
