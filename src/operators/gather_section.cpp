// The section `gathers` of an operator file: which parts the classes of requests fetch from dependencies.
#include <algorithm>
#include <utility>

#include "deps/path_template.h"
#include "operators/sections.h"

namespace granitegap::operators {
namespace {

using typed_config::Value;

std::string join_names(const std::vector<deps::DependencySpec>& dependencies) {
  std::string names;
  for (const auto& dependency : dependencies) names += (names.empty() ? "" : ", ") + dependency.name;
  return names.empty() ? "none, as none is declared" : names;
}

// The element of that name; its index is its distance from the front.
template <class Spec>
auto find_by_name(const std::vector<Spec>& specs, const std::string& name) {
  return std::find_if(specs.begin(), specs.end(), [&](const auto& spec) { return spec.name == name; });
}

class PartReader {
 public:
  PartReader(const std::vector<deps::DependencySpec>& dependencies, Diagnostics& diagnostics)
      : dependencies_(dependencies), diagnostics_(diagnostics) {}

  // `earlier`: the parts before it in the same gather.
  deps::PartSpec read(const Value& part, const std::string& path,
                      const std::vector<deps::PartSpec>& earlier) {
    deps::PartSpec spec;
    read_name(part, path, earlier, spec);
    read_dependency(part, path, spec);
    read_path(part, path, spec);
    read_needs(part, path, earlier, spec);
    spec.required = part["required"].as_bool();
    spec.timeout = part["within"].as_duration();
    spec.max_fresh_age = part["fresh_for"].as_duration();
    spec.max_stale_age = part["stale_for"].as_duration();
    if (const auto* fallback = part.find("default")) spec.fallback = fallback->as_string();
    return spec;
  }

 private:
  void read_name(const Value& part, const std::string& path, const std::vector<deps::PartSpec>& earlier,
                 deps::PartSpec& spec) {
    const auto& name = part["name"];
    spec.name = name.as_string();
    if (spec.name.find_first_of(", =\r\n") != std::string::npos)
      diagnostics_.fail(name, path + ".name", "expected a name without commas and spaces");
    if (find_by_name(earlier, spec.name) != earlier.end())
      diagnostics_.fail(name, path + ".name", "a second part of this name");
  }

  void read_dependency(const Value& part, const std::string& path, deps::PartSpec& spec) {
    const auto& from = part["from"];
    const auto dependency = find_by_name(dependencies_, from.as_string());
    if (dependency == dependencies_.end())
      diagnostics_.fail(
          from, path + ".from",
          "no dependency " + from.as_string() + "; expected one of " + join_names(dependencies_));
    else
      spec.dependency = std::size_t(dependency - dependencies_.begin());
  }

  void read_path(const Value& part, const std::string& path, deps::PartSpec& spec) {
    const auto& text = part["path"];
    spec.path = text.as_string();
    const auto parsed = deps::PathTemplate::parse(spec.path);
    if (const auto* error = std::get_if<deps::PathTemplate::ParseError>(&parsed))
      diagnostics_.fail(text, path + ".path",
                        error->reason + ", at character " + std::to_string(error->position + 1));
    else if (!part.find("needs") && std::get<deps::PathTemplate>(parsed).uses_needed())
      diagnostics_.fail(text, path + ".path",
                        "{needed} without needs: expected the name of an earlier part there");
  }

  void read_needs(const Value& part, const std::string& path, const std::vector<deps::PartSpec>& earlier,
                  deps::PartSpec& spec) {
    const auto* needs = part.find("needs");
    if (!needs) return;
    const auto needed = find_by_name(earlier, needs->as_string());
    if (needed == earlier.end())
      diagnostics_.fail(*needs, path + ".needs", "expected the name of an earlier part of this gather");
    else
      spec.depends_on = std::size_t(needed - earlier.begin());
  }

  const std::vector<deps::DependencySpec>& dependencies_;
  Diagnostics& diagnostics_;
};

void read_class(const Value& name, const std::string& path, OperatorConfig& config,
                Diagnostics& diagnostics) {
  auto& classes = config.gather_classes;
  const bool is_repeated = std::any_of(classes.begin(), classes.end(),
                                       [&](const auto& known) { return known.name == name.as_string(); });
  if (is_repeated)
    diagnostics.fail(name, path + ".class",
                     "class " + name.as_string() + " has gathers twice; expected one for each class");
  classes.push_back({name.as_string(), name.position});
}

}  // namespace

void read_gathers(const Value& list, OperatorConfig& config, Diagnostics& diagnostics) {
  auto& gathers = config.spec.gathers;
  PartReader part_reader(config.spec.dependencies, diagnostics);
  for (const auto& gather : list.as_list()) {
    const auto path = "gathers[" + std::to_string(gathers.size()) + "]";
    read_class(gather["class"], path, config, diagnostics);
    deps::GatherSpec spec;
    spec.budget = gather["budget"].as_duration();
    for (const auto& part : gather["parts"].as_list()) {
      const auto part_path = path + ".parts[" + std::to_string(spec.parts.size()) + "]";
      spec.parts.push_back(part_reader.read(part, part_path, spec.parts));
    }
    gathers.push_back(std::move(spec));
  }
}

}  // namespace granitegap::operators
