#include "state_transfer/codec.h"

#include <algorithm>
#include <chrono>

#include "state_transfer.pb.h"

namespace granitegap::state_transfer {
namespace {

constexpr char kQuestion[] = "ggq1", kOffer[] = "ggo1";
constexpr std::size_t kMaxText = 64;

using snapshot::Fault;

template <class Message>
std::variant<Message, Fault> parsed(const char* magic, std::string_view bytes, std::size_t most) {
  const auto body = snapshot::unseal(magic, bytes, most);
  if (const auto* fault = std::get_if<Fault>(&body)) return *fault;
  const auto& sealed = std::get<std::string_view>(body);
  Message m;
  if (!m.ParseFromArray(sealed.data(), int(sealed.size()))) return Fault{"reading it", "damaged"};
  return m;
}

}  // namespace

std::string encode(const Asked& a) {
  wire::TransferRequest p;
  p.set_cluster(a.cluster);
  p.set_name(a.name);
  p.set_nonce(a.nonce);
  return snapshot::seal(kQuestion, p.SerializeAsString());
}

std::variant<Asked, Fault> decode_question(std::string_view bytes) {
  const auto read = parsed<wire::TransferRequest>(kQuestion, bytes, kMaxQuestion);
  if (const auto* fault = std::get_if<Fault>(&read)) return *fault;
  const auto& p = std::get<wire::TransferRequest>(read);
  if (p.cluster().size() > kMaxText || p.name().size() > kMaxText)
    return Fault{"reading it", "a name is too long"};
  return Asked{p.cluster(), p.name(), p.nonce()};
}

std::string encode(const recovery::TransferResponse& o) {
  using namespace std::chrono;
  wire::TransferResponse p;
  p.set_nonce(o.nonce);
  p.set_by(o.donor);
  p.set_boot_id(std::uint64_t(o.boot_id));
  p.set_in_service(o.in_service);
  p.set_sure(o.view_certain);
  p.set_view_age_ms(std::uint32_t(
      std::clamp<std::int64_t>(duration_cast<milliseconds>(o.view_age).count(), 0, 0xffffffff)));
  // Its stamp is nobody's: what it holds is as of now, and its pieces carry their ages.
  if (o.in_service) {
    snapshot::Snapshot inner;
    inner.what = o.state;
    p.set_warm_state(snapshot::encode(inner));
  }
  return snapshot::seal(kOffer, p.SerializeAsString());
}

std::variant<recovery::TransferResponse, Fault> decode_offer(std::string_view bytes) {
  const auto read = parsed<wire::TransferResponse>(kOffer, bytes, kMaxOffer);
  if (const auto* fault = std::get_if<Fault>(&read)) return *fault;
  const auto& p = std::get<wire::TransferResponse>(read);
  if (p.by().size() > kMaxText) return Fault{"reading it", "a name is too long"};
  recovery::TransferResponse o;
  o.nonce = p.nonce();
  o.donor = p.by();
  o.boot_id = membership::BootId(p.boot_id());
  o.in_service = p.in_service();
  o.view_certain = p.sure();
  o.view_age = std::chrono::milliseconds(p.view_age_ms());
  if (!o.in_service) return o;
  auto inner = snapshot::decode_snapshot(p.warm_state());
  if (const auto* fault = std::get_if<Fault>(&inner)) return *fault;
  o.state = std::move(std::get<snapshot::Snapshot>(inner).what);
  return o;
}

std::string framed(std::string_view bytes) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out += char(bytes.size() >> shift & 0xff);
  return out.append(bytes);
}

std::optional<std::size_t> length_of(std::string_view head, std::size_t most) {
  if (head.size() != 4) return std::nullopt;
  std::size_t length = 0;
  for (const char c : head) length = length << 8 | std::uint8_t(c);
  if (length == 0 || length > most) return std::nullopt;
  return length;
}

}  // namespace granitegap::state_transfer
