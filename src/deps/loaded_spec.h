// A Spec made ready for use: path templates parsed, classes and dependencies resolved to numbers.
//
// Immutable and shared: a gather keeps the one that it began under, whatever is declared later.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "deps/path_template.h"
#include "deps/spec.h"

namespace granitegap::deps {

struct LoadedSpec {
  std::shared_ptr<const Spec> spec;
  // ScatterGather's number of each dependency, by index into Spec::dependencies. It outlives a change of the
  // declaration, in which the index may move.
  std::vector<std::uint32_t> dependency_numbers;
  std::vector<std::vector<PathTemplate>> paths;  // by gather and part; without paths in `cache_fills`
  std::vector<std::int32_t> gather_by_class;     // index into Spec::gathers; -1: none
  // One gather with a single part for each dependency, for the requests of other members.
  std::shared_ptr<const LoadedSpec> cache_fills;

  // Index into Spec::gathers; absent when the class gathers nothing.
  std::optional<std::size_t> gather_of(ClassId cls) const;
  // The longest age at which any part may still take a cached response of the dependency.
  Duration max_useful_age(std::uint32_t dependency_number) const;
};

std::shared_ptr<const LoadedSpec> load_spec(std::shared_ptr<const Spec> spec,
                                            std::vector<std::uint32_t> dependency_numbers);

}  // namespace granitegap::deps
