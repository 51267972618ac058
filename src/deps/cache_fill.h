// Cache filling for the fleet: one member, the owner of a key, calls the dependency and serves the others.
//
// The owner of a key is the member with the highest score of rendezvous hashing (membership/views.h) among
// this one and the members that serve and accept cache fills. All members with the same view agree on it, and
// when one leaves only its keys move. A member that did not answer is skipped for a while, with exponential
// backoff. While the view cannot be relied on there is no owner: each member calls the dependency itself.
//
// Values without clock or I/O, used by one thread. Errors: none is thrown; what cannot be determined or
// parsed is absent.
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
  std::uint64_t member_hash = 0;  // membership::name_hash() of its name
  membership::BootId boot_id{};
  EndpointSpec address;  // where it accepts cache fills
};

// Chooses the owner of each key by rendezvous hashing.
class KeyOwnerSelector {
 public:
  // How long a member that did not answer is skipped; doubles with each failure in a row.
  static constexpr Duration kBaseBackoff = std::chrono::milliseconds(500),
                            kMaxBackoff = std::chrono::seconds(8);

  // Takes a new view of the fleet. A member's backoff carries over unless it has restarted.
  void update_view(const membership::View& view);
  // The other member that owns `key` (cache_fill_key()); absent when it is this one or cannot be determined.
  std::optional<KeyOwner> find_owner(std::uint64_t key, TimePoint now) const;

  // How a cache fill asked of a member ended. `member`: KeyOwner::member_hash.
  void on_failure(std::uint64_t member, TimePoint now);
  void on_success(std::uint64_t member);

  // Members other than this one that accept cache fills.
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

// The key of one path of a dependency: the same in every process, unlike cache_key().
std::uint64_t cache_fill_key(std::string_view dependency, std::string_view path);

// What one member asks of a key's owner: the response for `path`, no older than `max_age`, within `timeout`.
struct CacheFillRequest {
  membership::BootId target_boot_id{};  // a later process on the same port must not answer
  std::string dependency, path;
  Duration max_age{}, timeout{};
  bool operator==(const CacheFillRequest&) const = default;
};

// The request as the target of an HTTP GET: /fill/BOOT_ID/MAX_AGE/TIMEOUT/DEPENDENCY/PATH, the identifier in
// hexadecimal, the durations in microseconds.
std::string to_request_target(const CacheFillRequest& request);
// Absent when the target is not of that form.
std::optional<CacheFillRequest> parse_request_target(std::string_view target);

// The owner's answer.
struct CacheFillResponse {
  Duration age{};  // since the dependency answered
  std::string body;
};

// Most bytes that encode_fill_body() adds to the body.
inline constexpr std::size_t kMaxFillHeaderBytes = 24;
// The answer as the body of an HTTP response: the age in microseconds, a newline, the dependency's body.
std::string encode_fill_body(Duration age, std::string_view body);
// Absent when the bytes are not of that form.
std::optional<CacheFillResponse> parse_fill_body(const std::string& bytes);

}  // namespace granitegap::deps
