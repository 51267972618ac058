// Tests of the reader of operator files: declarations, defaults and error messages.
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

TEST(OperatorConfig, ExampleFileIsValidAndPrintsToTheSameValues) {
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

TEST(OperatorConfig, AllErrorsAreReportedWithFieldAndValue) {
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
  EXPECT_EQ(
      out,
      "dependencies[0].name: expected a host name as sent in the Host header, without spaces, / and @, "
      "found \"a b\"\n"
      "dependencies[0].endpoints[0]: expected a numeric address and a port from 1 to 65535, such as "
      "\"127.0.0.1:9001\", found \"localhost:1\"\n"
      "dependencies[0].endpoints[2]: duplicate endpoint \"127.0.0.1:9\"; expected each endpoint of a "
      "dependency once\n"
      "dependencies[0].least_open: expected no more than most_open = 3, found 9\n"
      "dependencies[1].endpoints[1]: expected a numeric address and a port from 1 to 65535, such as "
      "\"127.0.0.1:9001\", found \"127.0.0.1:0\"\n"
      "dependencies[2].name: duplicate dependency name \"e\"; expected a different name for each "
      "dependency\n"
      "gathers[0].parts[0].from: expected one of \"a b\", \"e\", \"e\", found \"x\"\n"
      "gathers[0].parts[0].path: path \"/{needed}\" uses {needed}, but the part has no field needs; "
      "expected needs to name an earlier part of this gather\n"
      "gathers[0].parts[1].name: duplicate part name \"p\"; expected a different name for each part of a "
      "gather\n"
      "gathers[0].parts[1].path: invalid path \"no\": a path must begin with /, at character 1\n"
      "gathers[0].parts[1].needs: expected the name of an earlier part of this gather, found \"q\"\n"
      "gathers[1].class: duplicate gather for class \"tile\"; expected one gather per class\n"
      "gathers[1].parts[0].name: expected a name without commas, spaces, = and line breaks, found "
      "\"p,q\"\n");
}

TEST(OperatorConfig, FileWithOnlyMembershipIsValid) {
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

TEST(OperatorConfig, MembershipErrorsNameFieldAndValue) {
  const auto result = from_document(parse(R"(version: 1
dependencies: []
gathers: []
membership: {cluster: "a b", bind: "0.0.0.0:9101", seeds: ["host:1", "[::1]:2"], believe_for: 1m, forget_after: 90s}
)"));
  ASSERT_TRUE(std::holds_alternative<Errors>(result));
  std::string out;
  for (const auto& e : std::get<Errors>(result)) out += e.field + ": " + e.message + "\n";
  EXPECT_EQ(out,
            "membership.cluster: expected printable ASCII characters without spaces, found \"a b\"\n"
            "membership.bind: other members cannot reach the unspecified address \"0.0.0.0:9101\"; expected "
            "the field advertise with a reachable address\n"
            "membership.seeds[0]: expected a numeric address and a port from 1 to 65535, such as "
            "\"127.0.0.1:9101\", found \"host:1\"\n"
            "membership.seeds[1]: expected an address of the same family (IPv4 or IPv6) as bind, found "
            "\"[::1]:2\"\n"
            "membership.believe_for: expected no more than half of forget_after = 90s, found 60s\n");
}

}  // namespace
}  // namespace granitegap::operators
