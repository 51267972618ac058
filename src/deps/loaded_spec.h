// A Spec prepared for use: path templates are parsed, classes and dependencies are resolved to numbers.
//
// Immutable and shared: a gather keeps the LoadedSpec with which it began, also after a reload.
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
  // ScatterGather's number of each dependency, by index into Spec::dependencies. The number stays the same
  // across reloads, in which the index may change.
  std::vector<std::uint32_t> dependency_numbers;
  std::vector<std::vector<PathTemplate>> paths;  // by gather and part; empty in `cache_fills`
  std::vector<std::int32_t> gather_by_class;     // index into Spec::gathers; -1: none
  // One gather with a single part for each dependency, for the cache fill requests of other members.
  std::shared_ptr<const LoadedSpec> cache_fills;

  // Returns the index into Spec::gathers; absent when the class has no gather.
  std::optional<std::size_t> find_gather(ClassId cls) const;
  // Returns the longest age at which any part may still be served from a cached response of the dependency.
  Duration max_useful_age(std::uint32_t dependency_number) const;
};

// `dependency_numbers`: as in LoadedSpec.
std::shared_ptr<const LoadedSpec> load_spec(std::shared_ptr<const Spec> spec,
                                            std::vector<std::uint32_t> dependency_numbers);

}  // namespace granitegap::deps
