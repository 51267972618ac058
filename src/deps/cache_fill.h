// Cache fills in the fleet: one member, the owner of a key, calls the dependency and serves the other
// members.
//
// The owner of a key is the member with the highest score in rendezvous hashing (membership/views.h) among
// this member and the members that serve and accept cache fills. Members with the same view choose the same
// owner, and when a member leaves only its keys move. A member that did not answer is skipped, with
// exponential backoff. While the view is not reliable there is no owner: each member calls the dependency
// itself.
//
// Values without clock or I/O, used by one thread. Throws nothing; what cannot be determined or parsed is
// absent.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "deps/spec.h"
#include "membership/views.h"

namespace granitegap::deps {

// The member of the fleet that fills a key for the others.
struct KeyOwner {
  std::uint64_t member_hash = 0;  // membership::name_hash() of the member's name
  membership::BootId boot_id{};
  EndpointSpec address;  // address at which the member accepts cache fills
};

// Chooses the owner of each key by rendezvous hashing.
class KeyOwnerSelector {
 public:
  // How long a member that did not answer is skipped. The backoff doubles with each consecutive failure.
  static constexpr Duration kBaseBackoff = std::chrono::milliseconds(500),
                            kMaxBackoff = std::chrono::seconds(8);

  // Applies a new view of the fleet. Keeps the backoff of each member that has not restarted.
  void update_view(const membership::View& view);
  // Returns the other member that owns `key` (cache_fill_key()). Absent when this member owns the key, or
  // when the owner cannot be determined.
  std::optional<KeyOwner> find_owner(std::uint64_t key, TimePoint now) const;

  // Record the result of a cache fill requested from a member. `member` is KeyOwner::member_hash.
  void on_failure(std::uint64_t member, TimePoint now);
  void on_success(std::uint64_t member);

  // Returns the number of members other than this one that accept cache fills.
  std::size_t size() const { return candidates_.size(); }

 private:
  struct Candidate {
    KeyOwner owner;
    TimePoint skipped_until{};
    std::uint32_t consecutive_failures = 0;
  };
  Candidate* find(std::uint64_t member);

  std::uint64_t own_hash_ = 0;
  bool view_is_reliable_ = false;
  std::vector<Candidate> candidates_;  // ordered by member hash
};

// Returns the key of one path of a dependency. Unlike cache_key() it is the same in every process.
std::uint64_t cache_fill_key(std::string_view dependency, std::string_view path);

// A request to a key owner for the response for `path`, no older than `max_age`, within `timeout`.
struct CacheFillRequest {
  membership::BootId target_boot_id{};  // prevents an answer from a later process on the same port
  std::string dependency, path;
  Duration max_age{}, timeout{};
  bool operator==(const CacheFillRequest&) const = default;
};

// Encodes the request as the target of an HTTP GET: /fill/BOOT_ID/MAX_AGE/TIMEOUT/DEPENDENCY/PATH, with the
// boot id in hexadecimal and the durations in microseconds.
std::string to_request_target(const CacheFillRequest& request);
// Parses the target of an HTTP GET. Absent when it is not of that form.
std::optional<CacheFillRequest> parse_request_target(std::string_view target);

// The response of a key owner.
struct CacheFillResponse {
  Duration age{};  // time since the dependency answered
  std::string body;
};

// Maximum number of bytes that encode_fill_body() adds to the body.
inline constexpr std::size_t kMaxFillHeaderBytes = 24;
// Encodes the body of the HTTP response: the age in microseconds, a newline, the body from the dependency.
std::string encode_fill_body(Duration age, std::string_view body);
// Parses the body of the HTTP response. Absent when it is not of that form.
std::optional<CacheFillResponse> parse_fill_body(const std::string& bytes);

}  // namespace granitegap::deps
