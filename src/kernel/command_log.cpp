#include "kernel/command_log.h"

#include <algorithm>

namespace granitegap::kernel {
namespace {

// Returns the run id of a StartRun or ResumeRun.
const std::string& run_id(const edge::Command& command) {
  if (const auto* start = std::get_if<edge::StartRun>(&command)) return start->rid;
  return std::get<edge::ResumeRun>(command).rid;
}

}  // namespace

void CommandLog::record(const edge::Command& command) {
  const bool begins_run =
      std::holds_alternative<edge::StartRun>(command) || std::holds_alternative<edge::ResumeRun>(command);
  if (begins_run) {
    runs_[run_id(command)] = {next_order_++, command, false};
  } else if (const auto* check = std::get_if<edge::DeepHealthCheck>(&command)) {
    deep_checks_.insert(check->tag);
  } else if (const auto* stop = std::get_if<edge::StopRun>(&command)) {
    const auto run = runs_.find(stop->rid);
    if (run != runs_.end()) run->second.stop_requested = true;
  }
}

bool CommandLog::concerns_run_in_flight(const Notice& notice) const {
  if (const auto* report = std::get_if<edge::RunReport>(&notice.content)) return runs_.contains(report->rid);
  if (const auto* call = std::get_if<edge::DependencyCallRequested>(&notice.content))
    return runs_.contains(call->rid);
  return false;
}

// After BOOTED, sequence numbers increase by one. A notice that arrives before BOOTED or skips numbers
// belongs to another incarnation, unless it concerns a run of this one. If it were accepted, its number would
// make the next notices look like replays, and their requests would stay unanswered.
bool CommandLog::in_sequence(const Notice& notice) const {
  if (notice.sequence <= last_sequence_) return false;
  const bool is_next = booted_ && notice.sequence == last_sequence_ + 1;
  return is_next || concerns_run_in_flight(notice);
}

bool CommandLog::accept(const Notice& notice) {
  if (std::holds_alternative<edge::KernelStarted>(notice.content)) booted_ = true;
  if (notice.sequence) {
    if (!in_sequence(notice)) return false;
    last_sequence_ = notice.sequence;
  }
  complete(notice);
  return true;
}

void CommandLog::complete(const Notice& notice) {
  if (const auto* report = std::get_if<edge::RunReport>(&notice.content)) {
    runs_.erase(report->rid);
  } else if (const auto* done = std::get_if<edge::DeepHealthCheckResult>(&notice.content)) {
    deep_checks_.erase(done->tag);
  } else if (const auto* rejected = std::get_if<edge::CommandRejected>(&notice.content)) {
    const bool run_rejected =
        rejected->kind == edge::CommandKind::start || rejected->kind == edge::CommandKind::resume;
    if (run_rejected) runs_.erase(rejected->rid);
  }
}

std::vector<edge::Command> CommandLog::commands_to_resend() const {
  std::vector<const InFlightRun*> in_order;
  for (const auto& [rid, run] : runs_) in_order.push_back(&run);
  std::sort(in_order.begin(), in_order.end(),
            [](const auto* a, const auto* b) { return a->order < b->order; });
  std::vector<edge::Command> commands;
  for (const auto* run : in_order) {
    commands.push_back(run->command);
    if (run->stop_requested) commands.emplace_back(edge::StopRun{run_id(run->command)});
  }
  for (const auto tag : deep_checks_) commands.emplace_back(edge::DeepHealthCheck{tag});
  return commands;
}

}  // namespace granitegap::kernel
