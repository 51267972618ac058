// The bytes of a question and of an offer; no I/O. What can't be believed is a Fault, and is counted by
// whoever reads it.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "recovery/learning.h"
#include "snapshot/snapshot.h"

namespace granitegap::learning_tcp {

inline constexpr std::size_t kMostQuestion = 256,
                             kMostOffer = snapshot::kMostSnapshot + 1024;  // bytes, sealed

struct Asked {
  std::string cluster, name;
  std::uint64_t nonce = 0;
};

std::string encode(const Asked& asked);
std::variant<Asked, snapshot::Fault> decode_question(std::string_view bytes);
std::string encode(const recovery::Offer& offer);
std::variant<recovery::Offer, snapshot::Fault> decode_offer(std::string_view bytes);

// With its length in front; and the length, absent where it is over `most` or nothing at all.
std::string framed(std::string_view bytes);
std::optional<std::size_t> length_of(std::string_view head, std::size_t most);

}  // namespace granitegap::learning_tcp
