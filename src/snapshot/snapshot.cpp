#include "snapshot/snapshot.h"

#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "snapshot.pb.h"

namespace granitegap::snapshot {
namespace {

constexpr char kMagic[] = "ggl1";
constexpr const char* kNames[] = {"learned-a", "learned-b"};
constexpr std::size_t kMaxText = 255;
constexpr Duration kMaxSpan = std::chrono::hours(24 * 365);

bool plausible(std::int64_t us) { return us >= 0 && us <= kMaxSpan.count(); }

}  // namespace

std::string encode(const Snapshot& s) {
  auto what = s.what;
  warm_state::enforce_limits(what);
  wire::Snapshot p;
  p.set_by(what.process_name);
  p.set_boot_id(what.boot_id);
  p.set_boot(s.at.boot);
  p.set_since_boot_us(s.at.since_boot.count());
  p.set_unix_us(s.at.unix_us);
  for (const auto& e : what.endpoints) {
    auto* to = p.add_endpoints();
    to->set_dependency(e.dependency);
    to->set_host(e.host);
    to->set_port(e.port);
    to->set_out_for_us(e.ejected_for.count());
    to->set_times_out(e.consecutive_ejections);
    to->set_latency_us(e.latency.count());
    to->set_heard_ago_us(e.latency_age.count());
  }
  for (const auto& m : what.members) {
    auto* to = p.add_members();
    to->set_ip(m.ip.data(), m.v6 ? 16 : 4);
    to->set_port(m.port);
  }
  for (const auto& part : what.cached_responses) {
    auto* to = p.add_cached_responses();
    to->set_dependency(part.dependency);
    to->set_path(part.path);
    to->set_body(*part.body);
    to->set_age_us(part.age.count());
  }
  // Long names can still make too much of it: what is left out is only warmth.
  while (p.ByteSizeLong() + kSeal > kMaxSnapshot && p.endpoints_size() > 0)
    p.mutable_endpoints()->DeleteSubrange(p.endpoints_size() / 2,
                                          p.endpoints_size() - p.endpoints_size() / 2);
  return seal(kMagic, p.SerializeAsString());
}

std::variant<Snapshot, Fault> decode_snapshot(const std::string& bytes) {
  const Fault bad{"reading it", "damaged"};
  const auto body = unseal(kMagic, bytes, kMaxSnapshot);
  if (const auto* fault = std::get_if<Fault>(&body)) return *fault;
  const auto& sealed = std::get<std::string_view>(body);
  wire::Snapshot p;
  if (!p.ParseFromArray(sealed.data(), int(sealed.size()))) return bad;
  // A sum that is right says who wrote it, not that it makes sense: held against the bounds all the same.
  if (p.by().size() > kMaxText || p.boot().size() > kMaxText || p.since_boot_us() < 0 ||
      std::size_t(p.endpoints_size()) > warm_state::kMaxEndpoints ||
      std::size_t(p.members_size()) > warm_state::kMaxMembers ||
      std::size_t(p.cached_responses_size()) > warm_state::kMaxCachedResponses)
    return bad;
  Snapshot s;
  s.at = {p.boot(), Duration(p.since_boot_us()), p.unix_us()};
  s.what.process_name = p.by();
  s.what.boot_id = p.boot_id();
  for (const auto& e : p.endpoints()) {
    if (e.dependency().size() > kMaxText || e.host().size() > kMaxText || e.port() == 0 || e.port() > 65535 ||
        !plausible(e.out_for_us()) || !plausible(e.latency_us()) || !plausible(e.heard_ago_us()))
      return bad;
    s.what.endpoints.push_back({e.dependency(), e.host(), std::uint16_t(e.port()), Duration(e.out_for_us()),
                                e.times_out(), Duration(e.latency_us()), Duration(e.heard_ago_us())});
  }
  for (const auto& m : p.members()) {
    if ((m.ip().size() != 4 && m.ip().size() != 16) || m.port() == 0 || m.port() > 65535) return bad;
    membership::Address a;
    std::memcpy(a.ip.data(), m.ip().data(), m.ip().size());
    a.v6 = m.ip().size() == 16;
    a.port = std::uint16_t(m.port());
    s.what.members.push_back(a);
  }
  std::size_t together = 0;
  for (const auto& from : p.cached_responses()) {
    warm_state::CachedResponse part{from.dependency(), from.path(),
                                    std::make_shared<const std::string>(from.body()),
                                    Duration(from.age_us())};
    together += warm_state::size_of(part);
    if (part.dependency.size() > kMaxText || !warm_state::is_within_limits(part) ||
        !plausible(from.age_us()) || together > warm_state::kMaxCachedResponseBytes)
      return bad;
    s.what.cached_responses.push_back(std::move(part));
  }
  return s;
}

std::optional<Duration> age_of(const Stamp& then, const Stamp& now) {
  if (same_boot(then, now)) return now.since_boot - then.since_boot;
  if (now.unix_us < then.unix_us) return std::nullopt;
  return Duration(now.unix_us - then.unix_us);
}

std::variant<Snapshot, Fault> read_snapshot_file(const std::filesystem::path& file) {
  auto bytes = read_file(file, kMaxSnapshot + 1);
  if (auto* fault = std::get_if<Fault>(&bytes)) return *fault;
  return decode_snapshot(std::get<std::string>(bytes));
}

Newest read_newest(const std::filesystem::path& folder) {
  Newest newest;
  for (const auto* name : kNames) {
    auto bytes = read_file(folder / name, kMaxSnapshot + 1);
    if (std::holds_alternative<Fault>(bytes)) {
      std::error_code ignored;
      if (std::filesystem::exists(folder / name, ignored))
        newest.faults.push_back(std::string(name) + ": " + std::get<Fault>(bytes).text());
      continue;
    }
    auto read = decode_snapshot(std::get<std::string>(bytes));
    if (const auto* fault = std::get_if<Fault>(&read)) {
      newest.faults.push_back(std::string(name) + ": " + fault->text());
      continue;
    }
    auto& s = std::get<Snapshot>(read);
    const auto later = [](const Stamp& a, const Stamp& b) {
      return a.boot == b.boot ? a.since_boot > b.since_boot : a.unix_us > b.unix_us;
    };
    if (!newest.snapshot || later(s.at, newest.snapshot->at)) newest.snapshot = std::move(s);
  }
  return newest;
}

std::optional<Fault> write_snapshot(const std::filesystem::path& folder, const std::string& bytes) {
  struct stat a {
  }, b{};
  const bool has_a = ::stat((folder / kNames[0]).c_str(), &a) == 0;
  const bool has_b = ::stat((folder / kNames[1]).c_str(), &b) == 0;
  const auto before = [](const timespec& x, const timespec& y) {
    return x.tv_sec != y.tv_sec ? x.tv_sec < y.tv_sec : x.tv_nsec < y.tv_nsec;
  };
  const bool second = has_a && (!has_b || before(b.st_mtim, a.st_mtim));
  return replace_file(folder, kNames[second ? 1 : 0], bytes);
}

}  // namespace granitegap::snapshot
