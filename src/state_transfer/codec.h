// The bytes of a question and of an offer; no I/O. What can't be believed is a Fault, and is counted by
// whoever reads it.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "recovery/donor_selection.h"
#include "snapshot/snapshot.h"

namespace granitegap::state_transfer {

inline constexpr std::size_t kMaxQuestion = 256,
                             kMaxOffer = snapshot::kMaxSnapshot + 1024;  // bytes, sealed

struct Asked {
  std::string cluster, name;
  std::uint64_t nonce = 0;
};

std::string encode(const Asked& asked);
std::variant<Asked, snapshot::Fault> decode_question(std::string_view bytes);
std::string encode(const recovery::TransferResponse& offer);
std::variant<recovery::TransferResponse, snapshot::Fault> decode_offer(std::string_view bytes);

// With its length in front; and the length, absent where it is over `most` or nothing at all.
std::string framed(std::string_view bytes);
std::optional<std::size_t> length_of(std::string_view head, std::size_t most);

}  // namespace granitegap::state_transfer
