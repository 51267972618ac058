// Typed records: what is read, what is refused and how that is told; and the operator's file on top of them.
#include "typed_config/typed_config.h"

#include <gtest/gtest.h>

#include "operators/operator_config.h"

namespace granitegap::typed_config {
namespace {

Document parsed(std::string_view text) {
  auto document = parse(text, "f");
  if (const auto* error = std::get_if<Error>(&document)) {
    ADD_FAILURE() << error->text();
    return {};
  }
  return std::get<Document>(std::move(document));
}
std::string error_of(std::string_view text) {
  const auto document = parse(text, "f");
  const auto* error = std::get_if<Error>(&document);
  return error ? error->text() : "none";
}
// The filled-in file, or its errors, one a line.
std::string checked(std::string_view data, std::string_view schema) {
  const auto result = validate(parsed(data), parsed(schema), "#T");
  if (const auto* value = std::get_if<Value>(&result)) return print(*value);
  std::string out;
  for (const auto& e : std::get<std::vector<Error>>(result)) out += e.text() + "\n";
  return out;
}

TEST(Records, LiteralsOfAllKinds) {
  const auto schema = "#T: {a: int, b: number, c: bool, d: string, e: duration, f: size, g: [...int], h: _}";
  EXPECT_EQ(checked("a: -5, b: 2.5e1\nc: true // so\nd: \"x\\u00e9\\ud83d\\ude00\\n\"\ne: 1.5s, f: 64KiB\ng: "
                    "[1, 2,]\nh: null",
                    schema),
            "a: -5\nb: 25.0\nc: true\nd: \"x\u00e9\U0001f600\\n\"\ne: 1500ms\nf: 64KiB\ng: "
            "[\n\t1,\n\t2,\n]\nh: null\n");
}

TEST(Records, JsonIsASubset) {
  EXPECT_EQ(checked("{\n \"a\": {\"b\": [true, null, 1.0]},\r\n \"e\": \"200ms\", \"f\": \"1MiB\"}\n",
                    "#T: {a: {b: [...]}, e: duration, f: size}"),
            "a: {\n\tb: [\n\t\ttrue,\n\t\tnull,\n\t\t1.0,\n\t]\n}\ne: 200ms\nf: 1MiB\n");
}

TEST(Records, TextsThatReadAsDurationsAndSizesAreThem) {
  EXPECT_EQ(checked("{\"e\": \"200ms\", \"f\": \"1MiB\"}", "#T: {e: duration & >=1ms, f: size & <=2MiB}"),
            "e: 200ms\nf: 1MiB\n");
}

TEST(Records, DefaultsBoundsDisjunctionsAndOptionalFields) {
  const auto schema = R"(
#Kind: "fixed" | "even" | *"skewed"
#T: {
	n:     int & >=1 & <=64 | *8
	kind:  #Kind
	wait:  duration | *"200ms"
	inner: {x: int | *1}
	list:  [...#Kind]
	maybe?: string
	version: 1
})";
  EXPECT_EQ(checked("", schema),
            "n: 8\nkind: \"skewed\"\nwait: 200ms\ninner: {\n\tx: 1\n}\nlist: []\nversion: 1\n");
  EXPECT_EQ(checked("n: 65\nkind: \"odd\"\nwait: 5\nmaybe: 7\nversion: 2\nlist: [\"fixed\", 1]", schema),
            "f:1:4: n: expected int & >=1 & <=64 | 8, found 65\n"
            "f:2:7: kind: expected \"fixed\" | \"even\" | \"skewed\", found \"odd\"\n"
            "f:3:7: wait: expected duration (as 200ms) | \"200ms\", found 5\n"
            "f:4:8: maybe: expected string, found 7\n"
            "f:5:10: version: expected 1, found 2\n"
            "f:6:17: list[1]: expected \"fixed\" | \"even\" | \"skewed\", found 1\n");
}

TEST(Records, ClosedRecordsNameWhatTheyKnow) {
  EXPECT_EQ(checked("a: 1\nc: 2", "#T: {a: int, b?: int}"),
            "f:2:4: c: unknown field; expected one of a, b\n");
  EXPECT_EQ(checked("a: 1\nc: 2", "#T: {a: int, ...}"), "a: 1\nc: 2\n");
  EXPECT_EQ(checked("", "#T: {a: {b: int}}"), "f:1:1: a: missing; expected a record\n");
}

TEST(Records, DefinitionsInTheFileAreMerged) {
  EXPECT_EQ(checked("#B: {x: 1}\na: #B & {y: 2}\nb: #B", "#T: {a: {x: int, y: int}, b: {x: int}}"),
            "a: {\n\tx: 1\n\ty: 2\n}\nb: {\n\tx: 1\n}\n");
  EXPECT_EQ(checked("#B: {x: 1}\na: #B & {x: 2}", "#T: {a: {x: int}}"), "f:2:13: a.x: both 1 and 2\n");
  EXPECT_EQ(checked("#B: {x: #B}\na: #B", "#T: {a: _}"), "f:1:9: a.x: #B stands in itself\n");
  EXPECT_EQ(checked("a: #C", "#T: {a: _}"), "f:1:4: a: #C is not defined in this file\n");
  EXPECT_EQ(checked("a: >=1", "#T: {a: _}"), "f:1:4: a: expected a value, found >=1\n");
}

TEST(Records, CountsOfListsAndTexts) {
  const auto schema = "#T: {l: list.MinItems(1) & list.MaxItems(2) & [...int], s: strings.MaxRunes(2)}";
  EXPECT_EQ(checked("l: [1], s: \"\u00e9\u00e9\"", schema), "l: [\n\t1,\n]\ns: \"\u00e9\u00e9\"\n");
  EXPECT_EQ(checked("l: [], s: \"abc\"", schema),
            "f:1:4: l: expected list.MinItems(1) & list.MaxItems(2) & a list of int, found a list of 0\n"
            "f:1:11: s: expected strings.MaxRunes(2), found \"abc\"\n");
}

TEST(Records, ErrorsOfFormNameTheirPlace) {
  EXPECT_EQ(error_of("a: 1 b: 2"), "f:1:6: expected a field, with a comma or a new line between fields");
  EXPECT_EQ(error_of("a: {\n  b: 1\n  c 2\n}"), "f:3:5: expected : after the field's name");
  EXPECT_EQ(error_of("a: \"x\nb: 1"), "f:1:6: expected the closing \" of a text on its line");
  EXPECT_EQ(error_of("a: 12kb"), "f:1:6: expected a number, or one with a unit: us ms s m h B KiB MiB GiB");
  EXPECT_EQ(error_of("a: 1 |"), "f:1:7: expected a value after |");
  EXPECT_EQ(error_of("a: 1 & & 2"), "f:1:8: expected a value after the operator");
  EXPECT_EQ(error_of("a: [1, 2"), "f:1:9: expected , or ]");
  EXPECT_EQ(error_of("a:\n"), "f:2:1: expected a value");
  EXPECT_EQ(
      error_of("a: yes"),
      "f:1:4: unknown word yes; expected true, false, null, a \"text\", or one of the types bool int number "
      "string duration size _");
  EXPECT_EQ(error_of("a: 1\na: 2"), "f:2:1: field a stands twice");
  EXPECT_EQ(error_of("#A: 1\n#A: 2"), "f:2:1: #A is defined twice");
  EXPECT_EQ(error_of("a: *1 | *2"), "f:1:9: a second default");
  EXPECT_EQ(error_of("a: \"\\ud800\""), "f:1:4: half of a surrogate pair in a text");
  EXPECT_EQ(error_of("a: 1e999"), "f:1:4: a number out of range");
  EXPECT_EQ(error_of("a: max(1)"),
            "f:1:4: unknown max(); expected list.MinItems, list.MaxItems, strings.MinRunes or "
            "strings.MaxRunes");
  EXPECT_EQ(error_of(std::string("a: ") + std::string(100000, '[')), "f:1:68: nested more than 64 deep");
  EXPECT_EQ(error_of(std::string((1 << 20) + 1, ' ')), "f: larger than 1 MiB");
}

TEST(Records, WhateverComesIsReadOrRefused) {
  const std::string good = "#B: {x: 1 | *2}\na: #B & {y: [1, \"t\", 5ms]}\nb?: >=1 & <=2.5e3 | *{c: null}\n";
  for (std::size_t cut = 0; cut <= good.size(); ++cut) parse(good.substr(0, cut), "f");
  for (std::size_t at = 0; at < good.size(); ++at)
    for (const char c : {'\0', '"', '{', '}', '\\', '#', ':', '\xff'}) {
      auto broken = good;
      broken[at] = c;
      const auto document = parse(broken, "f");
      if (const auto* d = std::get_if<Document>(&document)) validate(*d, *d, "#B");
    }
}

TEST(OperatorFile, TheExampleIsGoodAndStaysTheSameWhenPrinted) {
  const auto declared = operators::load(OPERATOR_EXAMPLE);
  ASSERT_TRUE(std::holds_alternative<operators::OperatorConfig>(declared));
  const auto& d = std::get<operators::OperatorConfig>(declared);
  EXPECT_EQ(d.spec.dependencies.size(), 2u);
  EXPECT_EQ(d.spec.dependencies[0].max_open, 32u);
  EXPECT_EQ(d.spec.gathers[0].parts[1].fallback, "");
  const auto again = operators::from_document(parsed(print(d.values)));
  ASSERT_TRUE(std::holds_alternative<operators::OperatorConfig>(again));
  EXPECT_EQ(print(std::get<operators::OperatorConfig>(again).values), print(d.values));
}

TEST(OperatorFile, EveryErrorAtOnce) {
  const auto result = operators::from_document(parsed(R"(version: 1
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
  ASSERT_TRUE(std::holds_alternative<operators::Errors>(result));
  std::string out;
  for (const auto& e : std::get<operators::Errors>(result)) out += e.field + ": " + e.message + "\n";
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
            "gathers[0].parts[1].path: a path begins with /, at character 1\n"
            "gathers[0].parts[1].needs: expected the name of an earlier part of this gather\n"
            "gathers[1].class: class tile has gathers twice; expected one for each class\n"
            "gathers[1].parts[0].name: expected a name without commas and spaces\n");
}

TEST(OperatorFile, MembershipAloneIsAFile) {
  const auto result = operators::from_document(parsed(R"(version: 1
dependencies: []
gathers: []
membership: {cluster: "budapest", bind: "127.0.0.1:9101", seeds: ["127.0.0.1:9102"], zone: "vac", period: 200ms}
)"));
  ASSERT_TRUE(std::holds_alternative<operators::OperatorConfig>(result));
  const auto& m = std::get<operators::OperatorConfig>(result).membership;
  ASSERT_TRUE(m);
  EXPECT_EQ(m->advertise, m->bind);
  EXPECT_EQ(m->options.seeds.size(), 1u);
  EXPECT_EQ(m->options.seeds[0].port, 9102);
  EXPECT_EQ(m->options.period, std::chrono::milliseconds(200));
  EXPECT_EQ(m->options.indirect_probes, 3u);
}

TEST(OperatorFile, MembershipErrorsNameTheirField) {
  const auto result = operators::from_document(parsed(R"(version: 1
dependencies: []
gathers: []
membership: {cluster: "a b", bind: "0.0.0.0:9101", seeds: ["host:1", "[::1]:2"], believe_for: 1m, forget_after: 90s}
)"));
  ASSERT_TRUE(std::holds_alternative<operators::Errors>(result));
  std::string out;
  for (const auto& e : std::get<operators::Errors>(result)) out += e.field + ": " + e.message + "\n";
  EXPECT_EQ(out,
            "membership.cluster: expected a name without spaces\n"
            "membership.bind: others can't reach this address: expected advertise beside it\n"
            "membership.seeds[0]: expected a numeric address and a port, as \"127.0.0.1:9101\"\n"
            "membership.seeds[1]: expected the same family of addresses as bind\n"
            "membership.believe_for: expected no more than half of forget_after\n");
}

}  // namespace
}  // namespace granitegap::typed_config
