// Reader of the section `gathers` of an operator file, which declares the parts that requests of a class
// fetch from dependencies.
#include <algorithm>
#include <utility>

#include "deps/path_template.h"
#include "operators/sections.h"

namespace granitegap::operators {
namespace {

using typed_config::Value;

// Describes the accepted values of a part's `from`. Cut to a bounded length: there may be 64 names of 253
// characters.
std::string describe_names(const std::vector<deps::DependencySpec>& dependencies) {
  constexpr std::size_t kMaxLength = 240;
  if (dependencies.empty()) return "a name declared in dependencies, which is empty";
  std::string names;
  for (const auto& dependency : dependencies) {
    names += names.empty() ? "one of " : ", ";
    if (names.size() >= kMaxLength) return names + "...";
    names += typed_config::summarize({dependency.name, {}});
  }
  return names;
}

// Returns an iterator to the element with that name, or the end.
template <class Spec>
auto find_by_name(const std::vector<Spec>& specs, const std::string& name) {
  return std::find_if(specs.begin(), specs.end(), [&](const auto& spec) { return spec.name == name; });
}

// Reads the parts of gathers.
class PartReader {
 public:
  PartReader(const std::vector<deps::DependencySpec>& dependencies, Diagnostics& diagnostics)
      : dependencies_(dependencies), diagnostics_(diagnostics) {}

  // Reads the part at `path`. `earlier` holds the parts before it in the same gather.
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
      diagnostics_.fail_expected(name, path + ".name", "a name without commas, spaces, = and line breaks");
    if (find_by_name(earlier, spec.name) != earlier.end())
      diagnostics_.fail(name, path + ".name",
                        "duplicate part name " + typed_config::summarize(name) +
                            "; expected a different name for each part of a gather");
  }

  void read_dependency(const Value& part, const std::string& path, deps::PartSpec& spec) {
    const auto& from = part["from"];
    const auto dependency = find_by_name(dependencies_, from.as_string());
    if (dependency == dependencies_.end())
      diagnostics_.fail_expected(from, path + ".from", describe_names(dependencies_));
    else
      spec.dependency = std::size_t(dependency - dependencies_.begin());
  }

  void read_path(const Value& part, const std::string& path, deps::PartSpec& spec) {
    const auto& text = part["path"];
    spec.path = text.as_string();
    const auto parsed = deps::PathTemplate::parse(spec.path);
    if (const auto* error = std::get_if<deps::PathTemplate::ParseError>(&parsed))
      diagnostics_.fail(text, path + ".path",
                        "invalid path " + typed_config::summarize(text) + ": " + error->reason +
                            ", at character " + std::to_string(error->position + 1));
    else if (!part.find("needs") && std::get<deps::PathTemplate>(parsed).uses_needed())
      diagnostics_.fail(text, path + ".path",
                        "path " + typed_config::summarize(text) +
                            " uses {needed}, but the part has no field needs; expected needs to name an "
                            "earlier part of this gather");
  }

  void read_needs(const Value& part, const std::string& path, const std::vector<deps::PartSpec>& earlier,
                  deps::PartSpec& spec) {
    const auto* needs = part.find("needs");
    if (!needs) return;
    const auto needed = find_by_name(earlier, needs->as_string());
    if (needed == earlier.end())
      diagnostics_.fail_expected(*needs, path + ".needs", "the name of an earlier part of this gather");
    else
      spec.depends_on = std::size_t(needed - earlier.begin());
  }

  const std::vector<deps::DependencySpec>& dependencies_;
  Diagnostics& diagnostics_;
};

// Adds the class of a gather. Fails if an earlier gather has the same class.
void read_class(const Value& name, const std::string& path, OperatorConfig& config,
                Diagnostics& diagnostics) {
  auto& classes = config.gather_classes;
  const bool is_repeated = std::any_of(classes.begin(), classes.end(),
                                       [&](const auto& earlier) { return earlier.name == name.as_string(); });
  if (is_repeated)
    diagnostics.fail(
        name, path + ".class",
        "duplicate gather for class " + typed_config::summarize(name) + "; expected one gather per class");
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
