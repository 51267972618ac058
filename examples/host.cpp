// Minimal program that embeds the admission controller: one request arrives, runs and ends.
#include <granitegap/policy.h>

#include <cstdio>

int main() {
  using namespace granitegap;
  Settings settings;
  settings.cores = 2;
  settings.memory_kb = 100000;
  settings.cold = false;
  ClassSettings reads;
  reads.latency_objective = reads.deadline = std::chrono::seconds(1);
  reads.idempotency = Idempotency::idempotent;
  settings.classes = {reads};

  AdmissionController controller(settings, 1, TimePoint{});
  controller.start();
  RequestArrived request;
  request.id = RequestId(7);
  request.memory = MemorySize(20000);
  const Event arrived = request;
  bool ran = false;
  for (const auto& action : controller.handle(TimePoint{} + std::chrono::milliseconds(5), {&arrived, 1}))
    if (const auto* run = std::get_if<Run>(&action)) ran = run->id == request.id;
  const Event ended = RunEnded{request.id, RunResult::ok, std::chrono::milliseconds(20)};
  controller.handle(TimePoint{} + std::chrono::milliseconds(25), {&ended, 1});
  std::puts(ran ? "served" : "not run");
  return ran ? 0 : 1;
}
