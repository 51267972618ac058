#include "deps/loaded_spec.h"

#include <algorithm>
#include <utility>

namespace granitegap::deps {
namespace {

constexpr std::int32_t kNoGather = -1;

std::vector<PathTemplate> parse_paths(const GatherSpec& gather) {
  std::vector<PathTemplate> paths;
  for (const auto& part : gather.parts) {
    auto parsed = PathTemplate::parse(part.path);
    auto* path = std::get_if<PathTemplate>(&parsed);
    // src/operators rejects paths that do not parse. A part with such a path would always be absent.
    paths.push_back(path ? std::move(*path) : PathTemplate{});
  }
  return paths;
}

std::shared_ptr<const LoadedSpec> make_cache_fills(const Spec& spec,
                                                   const std::vector<std::uint32_t>& dependency_numbers) {
  auto fills = std::make_shared<Spec>();
  for (std::size_t d = 0; d < spec.dependencies.size(); ++d) {
    PartSpec part;
    part.name = "filled";
    part.dependency = d;
    part.required = true;
    fills->gathers.push_back({ClassId{}, {}, {std::move(part)}});
  }
  auto loaded = std::make_shared<LoadedSpec>();
  loaded->dependency_numbers = dependency_numbers;
  loaded->spec = std::move(fills);
  return loaded;
}

}  // namespace

std::shared_ptr<const LoadedSpec> load_spec(std::shared_ptr<const Spec> spec,
                                            std::vector<std::uint32_t> dependency_numbers) {
  auto loaded = std::make_shared<LoadedSpec>();
  for (std::size_t g = 0; g < spec->gathers.size(); ++g) {
    const auto& gather = spec->gathers[g];
    const auto cls = std::size_t(gather.cls);
    if (cls >= loaded->gather_by_class.size()) loaded->gather_by_class.resize(cls + 1, kNoGather);
    loaded->gather_by_class[cls] = std::int32_t(g);
    loaded->paths.push_back(parse_paths(gather));
  }
  loaded->cache_fills = make_cache_fills(*spec, dependency_numbers);
  loaded->dependency_numbers = std::move(dependency_numbers);
  loaded->spec = std::move(spec);
  return loaded;
}

std::optional<std::size_t> LoadedSpec::find_gather(ClassId cls) const {
  const auto i = std::size_t(cls);
  if (i >= gather_by_class.size() || gather_by_class[i] == kNoGather) return std::nullopt;
  return std::size_t(gather_by_class[i]);
}

Duration LoadedSpec::max_useful_age(std::uint32_t dependency_number) const {
  Duration longest{};
  for (const auto& gather : spec->gathers) {
    for (const auto& part : gather.parts) {
      if (dependency_numbers[part.dependency] != dependency_number) continue;
      longest = std::max({longest, part.max_fresh_age, part.max_stale_age});
    }
  }
  return longest;
}

}  // namespace granitegap::deps
