// The operator's own file: what it declares, and every error in it.
#include "operators/operator_config.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace granitegap::operators {
namespace {

typed_config::Document parse(std::string_view text) {
  auto document = typed_config::parse(text, "f");
  if (const auto* error = std::get_if<typed_config::Error>(&document)) {
    ADD_FAILURE() << error->text();
    return {};
  }
  return std::get<typed_config::Document>(std::move(document));
}

TEST(OperatorConfig, TheExampleIsValidAndPrintsToTheSameValues) {
  const auto declared = load(OPERATOR_EXAMPLE);
  ASSERT_TRUE(std::holds_alternative<OperatorConfig>(declared));
  const auto& d = std::get<OperatorConfig>(declared);
  EXPECT_EQ(d.spec.dependencies.size(), 2u);
  EXPECT_EQ(d.spec.dependencies[0].max_in_flight, 32u);
  EXPECT_EQ(d.spec.gathers[0].parts[1].fallback, "");
  const auto again = from_document(parse(typed_config::print(d.values)));
  ASSERT_TRUE(std::holds_alternative<OperatorConfig>(again));
  EXPECT_EQ(typed_config::print(std::get<OperatorConfig>(again).values), typed_config::print(d.values));
}

TEST(OperatorConfig, EveryErrorIsReportedAtOnce) {
  const auto result = from_document(parse(R"(version: 1
dependencies: [
	{name: "a b", endpoints: ["localhost:1", "127.0.0.1:9", "127.0.0.1:9"], least_open: 9, most_open: 3},
	{name: "e", endpoints: ["[::1]:9", "127.0.0.1:0"]},
	{name: "e", endpoints: ["127.0.0.1:9"]},
]
gathers: [
	{class: "tile", parts: [
		{name: "p", from: "x", path: "/{needed}"},
		{name: "p", from: "e", path: "no", needs: "q"},
	]},
	{class: "tile", parts: [{name: "p,q", from: "e", path: "/"}]},
])"));
  ASSERT_TRUE(std::holds_alternative<Errors>(result));
  std::string out;
  for (const auto& e : std::get<Errors>(result)) out += e.field + ": " + e.message + "\n";
  EXPECT_EQ(out,
            "dependencies[0].name: expected a host's name, as it stands in Host\n"
            "dependencies[0].endpoints[0]: expected a numeric address and a port, as \"127.0.0.1:9001\"\n"
            "dependencies[0].endpoints[2]: the same endpoint twice\n"
            "dependencies[0].least_open: expected no more than most_open\n"
            "dependencies[1].endpoints[1]: expected a numeric address and a port, as \"127.0.0.1:9001\"\n"
            "dependencies[2].name: a second dependency of this name\n"
            "gathers[0].parts[0].from: no dependency x; expected one of a b, e, e\n"
            "gathers[0].parts[0].path: {needed} without needs: expected the name of an earlier part there\n"
            "gathers[0].parts[1].name: a second part of this name\n"
            "gathers[0].parts[1].path: a path must begin with /, at character 1\n"
            "gathers[0].parts[1].needs: expected the name of an earlier part of this gather\n"
            "gathers[1].class: class tile has gathers twice; expected one for each class\n"
            "gathers[1].parts[0].name: expected a name without commas and spaces\n");
}

TEST(OperatorConfig, MembershipAloneIsAValidFile) {
  const auto result = from_document(parse(R"(version: 1
dependencies: []
gathers: []
membership: {cluster: "budapest", bind: "127.0.0.1:9101", seeds: ["127.0.0.1:9102"], zone: "vac", period: 200ms}
)"));
  ASSERT_TRUE(std::holds_alternative<OperatorConfig>(result));
  const auto& m = std::get<OperatorConfig>(result).membership;
  ASSERT_TRUE(m);
  EXPECT_EQ(m->advertise, m->bind);
  EXPECT_EQ(m->options.seeds.size(), 1u);
  EXPECT_EQ(m->options.seeds[0].port, 9102);
  EXPECT_EQ(m->options.period, std::chrono::milliseconds(200));
  EXPECT_EQ(m->options.indirect_probes, 3u);
}

TEST(OperatorConfig, MembershipErrorsNameTheirField) {
  const auto result = from_document(parse(R"(version: 1
dependencies: []
gathers: []
membership: {cluster: "a b", bind: "0.0.0.0:9101", seeds: ["host:1", "[::1]:2"], believe_for: 1m, forget_after: 90s}
)"));
  ASSERT_TRUE(std::holds_alternative<Errors>(result));
  std::string out;
  for (const auto& e : std::get<Errors>(result)) out += e.field + ": " + e.message + "\n";
  EXPECT_EQ(out,
            "membership.cluster: expected a name without spaces\n"
            "membership.bind: others can't reach this address: expected advertise beside it\n"
            "membership.seeds[0]: expected a numeric address and a port, as \"127.0.0.1:9101\"\n"
            "membership.seeds[1]: expected the same family of addresses as bind\n"
            "membership.believe_for: expected no more than half of forget_after\n");
}

}  // namespace
}  // namespace granitegap::operators
