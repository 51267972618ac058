// The metastable case at sizes that no machine holds: most of a simulated fleet restarts, callers try again
// without limit, with and without recovery's guards, on the same options.
//
//   granitegap_bench_comeback_sim [--seed N] [--seeds N] [--size N] [--load X] [--struck X]
//
// The last line is one JSON object. `stayed_down`: plays of `seeds` in which the fleet never came back.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "fleet/return_sim.h"

int main(int argc, char** argv) {
  using granitegap::fleet::ReturnOptions;
  ReturnOptions o;
  std::uint64_t seeds = 1;
  CLI::App app("Coming back in a simulated fleet.", "granitegap_bench_comeback_sim");
  app.add_option("--seed", o.seed, "The first; decides everything");
  app.add_option("--seeds", seeds, "So many plays, one seed after the other")->check(CLI::Range(1, 1000));
  app.add_option("--size", o.servers, "Servers")->check(CLI::Range(2, 5000));
  app.add_option("--load", o.load, "First tries, of what all warm cores can do")->check(CLI::Range(0.1, 2.0));
  app.add_option("--struck", o.struck, "Share that restarts")->check(CLI::Range(0.0, 1.0));
  CLI11_PARSE(app, argc, argv);
  nlohmann::ordered_json out{{"seed", o.seed}, {"seeds", seeds}, {"size", o.servers}, {"load", o.load}, {"struck", o.struck}};
  const auto first = o.seed;
  for (const bool guided : {true, false}) {
    o.guided = guided;
    std::uint64_t stayed = 0, on_the_way = 0;
    double lost = 0, slowest = 0, runs = 0, answered = 0, over = 0;
    nlohmann::ordered_json full = nlohmann::ordered_json::array(), series;
    for (o.seed = first; o.seed < first + seeds; ++o.seed) {
      const auto f = granitegap::fleet::play_return(o);
      stayed += f.full_service_s < 0;
      slowest = std::max(slowest, f.full_service_s);
      lost += f.lost / double(seeds);
      runs += double(f.runs);
      answered += double(f.answered);
      over = std::max(over, f.most_over_proven);
      on_the_way += f.still_on_the_way;
      full.push_back(f.full_service_s);
      if (o.seed == first)
        for (const double s : f.served) series.push_back(int(1000 * s / f.before) / 1000.0);
    }
    out[guided ? "guided" : "plain"] = {{"full_service_s", full},       {"slowest_s", slowest},
                                        {"stayed_down", stayed},        {"worth_lost", lost},
                                        {"runs_a_served", runs / answered}, {"most_over_proven", over},
                                        {"not_in_service_at_the_end", on_the_way}, {"worth", series}};
  }
  std::printf("%s\n", out.dump().c_str());
}
