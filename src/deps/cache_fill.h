// One member of a fleet fills a key of the parts' cache for all: who that is, and what it is asked.
//
// The owner of a key is the member with the highest score (membership/views.h) over those that serve and fill
// for others, and this one. Members of one view name the same one, and where one goes only its keys move. It
// is passed over for a while once it did not answer. Nobody is asked where the view can't be relied on: then
// each calls for itself.
//
// No socket, no clock. Ownership: all values. Errors: none; what can't be told is absent.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "deps/spec.h"
#include "membership/views.h"

namespace granitegap::deps {

struct KeyOwner {
  std::uint64_t member_hash = 0;  // name_hash() of the member
  membership::BootId boot_id{};
  EndpointSpec address;
};

class KeyOwnerSelector {
 public:
  // How long one that did not answer is passed over, doubling with each time in a row.
  static constexpr Duration kBaseBackoff = std::chrono::milliseconds(500),
                            kMaxBackoff = std::chrono::seconds(8);

  void update_view(const membership::View& view);
  // Who else fills this key; absent where that is this one, or it can't be told.
  std::optional<KeyOwner> owner_of(std::uint64_t key, TimePoint now) const;
  void on_failure(std::uint64_t member, TimePoint now);
  void on_success(std::uint64_t member);
  std::size_t size() const { return others_.size(); }

 private:
  struct Other {
    KeyOwner owner;
    TimePoint until{};  // passed over
    std::uint32_t in_a_row = 0;
  };
  Other* find(std::uint64_t member);
  std::uint64_t own_ = 0;
  bool sure_ = false;
  std::vector<Other> others_;  // by hash
};

// The same in every process, as keys of the cache are not.
std::uint64_t cache_fill_key(std::string_view dependency, std::string_view path);

// What is asked of the owner: the value of a path below, no older than `fresh`, within so long. `to`: the
// life that is asked; a later one on the same port does not answer for it.
struct CacheFillRequest {
  membership::BootId target_boot_id{};
  std::string dependency, path;
  Duration max_age{}, timeout{};
  bool operator==(const CacheFillRequest&) const = default;
};
// As the target of an HTTP request, and back; absent where it is none.
std::string to_request_target(const CacheFillRequest& question);
std::optional<CacheFillRequest> parse_request_target(std::string_view target);

// The value and its age, as the body of the answer, and back; kMaxFillHead: bytes more than the value's.
inline constexpr std::size_t kMaxFillHeaderBytes = 24;
std::string encode_fill_body(Duration age, std::string_view body);
struct CacheFillResponse {
  Duration age{};
  std::string body;
};
std::optional<CacheFillResponse> parse_fill_body(const std::string& bytes);

}  // namespace granitegap::deps
