#include "fleet/process_config.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace granitegap::fleet {
namespace {

constexpr char kPlatform[] = R"json({"name":"@NAME","listen":"127.0.0.1:0","kernel":"127.0.0.1:@KERNEL",
 "announce":"127.0.0.1:@LIST","seed":"@SEED","stop_ms":3200,
 "limits":{"cores":1.0,"memory_mb":64,"sockets":@SOCKETS},
 "settings":{"classes":[
   {"name":"tile","aim_ms":1900.0,"deadline_ms":4900.0,"effect":"retryable","late_worth":0.2,"worth":1.0},
   {"name":"route-profile","aim_ms":1900.0,"deadline_ms":4900.0,"effect":"retryable","late_worth":0.0,"worth":2.0},
   {"name":"trail-report","aim_ms":1200.0,"deadline_ms":3000.0,"effect":"dedup","late_worth":0.2,
    "repeat_window_ms":@WINDOW,"worth":5.0}],
  "orgs":[{"name":"turistaterkep","allowance_per_s":54.0,"share":1.0}],
  "limits":{"max_retry_after_ms":@BACKOFF,"retry_after":true},
  "rules":{"answer_slack_ms":100.0,"cold_from":0.2,"cold_ms":@COLD,"drain_grace_ms":2000.0,
           "fall_ms":1500.0,"overload_factor":8.0},
  "servers":1,"tick_ms":2.0,"worth_by":"work",
  "specifics":{"cpus":@CORES,"upstreams":3,"run_factor":8.0,"memory_kb":49134.0,"key_kb":205.58,"halt":"pause",
   "say":"tokens","deep_checks":true,"heeded_ms":1000.0,"downstream":"none","passes_deadline":false,
   "tells_gone":false,"cold":false,"gauges":["core_use","on_cores","heap_share","links"]}}})json";

constexpr char kCluster[] = "trial";

std::string replace_all(std::string text, const std::string& placeholder, const std::string& value) {
  std::size_t at = 0;
  while ((at = text.find(placeholder, at)) != std::string::npos) {
    text.replace(at, placeholder.size(), value);
    at += value.size();
  }
  return text;
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string membership_text(const ProcessFleetOptions& options, const MembershipConfig& membership) {
  const auto zone = membership.zone % std::max<std::size_t>(options.zones, 1);
  std::ostringstream out;
  out << "membership: {\n";
  out << "\tcluster: " << quoted(kCluster) << "\n";
  out << "\tbind: " << quoted(text_of(membership.bound)) << "\n";
  out << "\tadvertise: " << quoted(text_of(membership.advertised)) << "\n";
  out << "\tseeds: [";
  for (const auto& seed : membership.seeds) out << quoted(seed) << ", ";
  out << "]\n";
  out << "\tzone: " << quoted("z" + std::to_string(zone)) << "\n";
  if (membership.secondary.port())
    out << "\tsecond: {bind: " << quoted(text_of(membership.secondary)) << "}\n";
  out << "\t" << membership.more_fields << "\n}\n";
  return out.str();
}

}  // namespace

std::string text_of(const boost::asio::ip::udp::endpoint& endpoint) {
  const auto host = endpoint.address().to_string();
  const auto bracketed = endpoint.address().is_v6() ? "[" + host + "]" : host;
  return bracketed + ":" + std::to_string(endpoint.port());
}

std::string platform_config_text(const ProcessFleetOptions& options, const PlatformConfig& process) {
  const std::pair<const char*, std::string> values[] = {
      {"@NAME", process.name},
      {"@KERNEL", std::to_string(process.kernel_port)},
      {"@LIST", std::to_string(process.load_report_port)},
      {"@SEED", process.seed},
      {"@SOCKETS", std::to_string(options.max_sockets)},
      {"@COLD", std::to_string(options.warm_up_ms)},
      {"@BACKOFF", std::to_string(options.max_retry_after_ms)},
      {"@CORES", std::to_string(options.cores)},
      {"@WINDOW", std::to_string(options.idempotency_window.count() / 1000) + ".0"}};
  std::string text = kPlatform;
  for (const auto& [placeholder, value] : values) text = replace_all(std::move(text), placeholder, value);
  return text;
}

std::string operator_file_text(const ProcessFleetOptions& options, const MembershipConfig& membership,
                               const std::filesystem::path& state_folder) {
  auto text = "version: 1\n" + replace_all(options.operator_file, "@FOLDER", state_folder.string());
  if (options.with_membership) text += membership_text(options, membership);
  return text;
}

}  // namespace granitegap::fleet
