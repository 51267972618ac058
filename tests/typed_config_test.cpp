// Tests of typed configuration files: accepted input, rejected input and error messages.
#include "typed_config/typed_config.h"

#include <gtest/gtest.h>

namespace granitegap::typed_config {
namespace {

// Parses a text that is expected to be valid.
Document parse_valid(std::string_view text) {
  auto document = parse(text, "f");
  if (const auto* error = std::get_if<Error>(&document)) {
    ADD_FAILURE() << error->text();
    return {};
  }
  return std::get<Document>(std::move(document));
}
// Returns the error of a text, or "none".
std::string parse_error(std::string_view text) {
  const auto document = parse(text, "f");
  const auto* error = std::get_if<Error>(&document);
  return error ? error->text() : "none";
}
// Returns the file with defaults filled in, or its errors, one per line.
std::string validate_text(std::string_view data, std::string_view schema) {
  const auto result = validate(parse_valid(data), parse_valid(schema), "#T");
  if (const auto* value = std::get_if<Value>(&result)) return print(*value);
  std::string out;
  for (const auto& e : std::get<std::vector<Error>>(result)) out += e.text() + "\n";
  return out;
}

TEST(TypedConfig, LiteralsOfAllTypesAreAccepted) {
  const auto schema = "#T: {a: int, b: number, c: bool, d: string, e: duration, f: size, g: [...int], h: _}";
  EXPECT_EQ(
      validate_text("a: -5, b: 2.5e1\nc: true // so\nd: \"x\\u00e9\\ud83d\\ude00\\n\"\ne: 1.5s, f: 64KiB\ng: "
                    "[1, 2,]\nh: null",
                    schema),
      "a: -5\nb: 25.0\nc: true\nd: \"x\u00e9\U0001f600\\n\"\ne: 1500ms\nf: 64KiB\ng: "
      "[\n\t1,\n\t2,\n]\nh: null\n");
}

TEST(TypedConfig, JsonIsASubset) {
  EXPECT_EQ(validate_text("{\n \"a\": {\"b\": [true, null, 1.0]},\r\n \"e\": \"200ms\", \"f\": \"1MiB\"}\n",
                          "#T: {a: {b: [...]}, e: duration, f: size}"),
            "a: {\n\tb: [\n\t\ttrue,\n\t\tnull,\n\t\t1.0,\n\t]\n}\ne: 200ms\nf: 1MiB\n");
}

TEST(TypedConfig, TextsAreCoercedToDurationsAndSizes) {
  EXPECT_EQ(
      validate_text("{\"e\": \"200ms\", \"f\": \"1MiB\"}", "#T: {e: duration & >=1ms, f: size & <=2MiB}"),
      "e: 200ms\nf: 1MiB\n");
}

TEST(TypedConfig, DefaultsBoundsDisjunctionsAndOptionalFieldsAreApplied) {
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
  EXPECT_EQ(validate_text("", schema),
            "n: 8\nkind: \"skewed\"\nwait: 200ms\ninner: {\n\tx: 1\n}\nlist: []\nversion: 1\n");
  EXPECT_EQ(
      validate_text("n: 65\nkind: \"odd\"\nwait: 5\nmaybe: 7\nversion: 2\nlist: [\"fixed\", 1]", schema),
      "f:1:4: n: expected int & >=1 & <=64 | 8, found 65\n"
      "f:2:7: kind: expected \"fixed\" | \"even\" | \"skewed\", found \"odd\"\n"
      "f:3:7: wait: expected duration (as 200ms) | \"200ms\", found 5\n"
      "f:4:8: maybe: expected string, found 7\n"
      "f:5:10: version: expected 1, found 2\n"
      "f:6:17: list[1]: expected \"fixed\" | \"even\" | \"skewed\", found 1\n");
}

TEST(TypedConfig, UnknownFieldOfAClosedRecordIsRejected) {
  EXPECT_EQ(validate_text("a: 1\nc: 2", "#T: {a: int, b?: int}"),
            "f:2:4: c: unknown field; expected one of a, b\n");
  EXPECT_EQ(validate_text("a: 1\nc: 2", "#T: {a: int, ...}"), "a: 1\nc: 2\n");
  EXPECT_EQ(validate_text("", "#T: {a: {b: int}}"),
            "f:1:1: a: required field is missing; expected a record\n");
}

TEST(TypedConfig, DefinitionsInTheFileAreMerged) {
  EXPECT_EQ(validate_text("#B: {x: 1}\na: #B & {y: 2}\nb: #B", "#T: {a: {x: int, y: int}, b: {x: int}}"),
            "a: {\n\tx: 1\n\ty: 2\n}\nb: {\n\tx: 1\n}\n");
  EXPECT_EQ(validate_text("#B: {x: 1}\na: #B & {x: 2}", "#T: {a: {x: int}}"),
            "f:2:13: a.x: conflicting values 1 and 2; expected one value\n");
  EXPECT_EQ(validate_text("#B: {x: #B}\na: #B", "#T: {a: _}"),
            "f:1:9: a.x: definition \"#B\" contains itself; expected no cycle\n");
  EXPECT_EQ(validate_text("a: #C", "#T: {a: _}"),
            "f:1:4: a: undefined reference \"#C\"; expected a definition in this file\n");
  EXPECT_EQ(validate_text("a: >=1", "#T: {a: _}"), "f:1:4: a: expected a concrete value, found >=1\n");
}

TEST(TypedConfig, LengthsOfListsAndTextsAreChecked) {
  const auto schema = "#T: {l: list.MinItems(1) & list.MaxItems(2) & [...int], s: strings.MaxRunes(2)}";
  EXPECT_EQ(validate_text("l: [1], s: \"\u00e9\u00e9\"", schema), "l: [\n\t1,\n]\ns: \"\u00e9\u00e9\"\n");
  EXPECT_EQ(
      validate_text("l: [], s: \"abc\"", schema),
      "f:1:4: l: expected list.MinItems(1) & list.MaxItems(2) & a list of int, found a list of 0 elements\n"
      "f:1:11: s: expected strings.MaxRunes(2), found \"abc\"\n");
}

TEST(TypedConfig, ErrorsCarryTheirCodeFieldAndValue) {
  const auto result =
      validate(parse_valid("a: {b: 7}\nc: 1"), parse_valid("#T: {a: {b: string}, d: int}"), "#T");
  const auto* errors = std::get_if<Errors>(&result);
  ASSERT_TRUE(errors);
  ASSERT_EQ(errors->size(), 3u);
  EXPECT_EQ((*errors)[0].code, ErrorCode::missing_field);
  EXPECT_EQ((*errors)[0].field, "d");
  EXPECT_EQ((*errors)[1].code, ErrorCode::type_mismatch);
  EXPECT_EQ((*errors)[1].field, "a.b");
  EXPECT_EQ((*errors)[1].value, "7");
  EXPECT_EQ((*errors)[1].position.line, 1u);
  EXPECT_EQ((*errors)[2].code, ErrorCode::unknown_field);
  EXPECT_EQ((*errors)[2].field, "c");
}

TEST(TypedConfig, SyntaxErrorsHaveAPosition) {
  EXPECT_EQ(parse_error("a: 1 b: 2"),
            "f:1:6: expected a field, with a comma or a new line between fields, found \"b: 2\"");
  EXPECT_EQ(parse_error("a: {\n  b: 1\n  c 2\n}"), "f:3:5: expected : after the field name, found \"2\"");
  EXPECT_EQ(parse_error("a: \"x\nb: 1"),
            "f:1:6: expected the closing \" of the text on the same line, found the end of the line");
  EXPECT_EQ(parse_error("a: 12kb"),
            "f:1:6: expected the end of the number or a unit: us ms s m h B KiB MiB GiB, found \"kb\"");
  EXPECT_EQ(parse_error("a: 1 |"), "f:1:7: expected a value after |, found the end of the file");
  EXPECT_EQ(parse_error("a: 1 & & 2"), "f:1:8: expected a value after the operator, found \"& 2\"");
  EXPECT_EQ(parse_error("a: [1, 2"), "f:1:9: expected , or ], found the end of the file");
  EXPECT_EQ(parse_error("a:\n"), "f:2:1: expected a value, found the end of the file");
  EXPECT_EQ(
      parse_error("a: yes"),
      "f:1:4: unknown word \"yes\"; expected true, false, null, a \"text\", or one of the types bool int "
      "number string duration size _");
  EXPECT_EQ(parse_error("a: 1\na: 2"), "f:2:1: duplicate field \"a\"; expected each field of a record once");
  EXPECT_EQ(parse_error("#A: 1\n#A: 2"),
            "f:2:1: duplicate definition \"#A\"; expected one definition per name");
  EXPECT_EQ(parse_error("a: *1 | *2"),
            "f:1:9: second default after *1; expected at most one alternative marked with *");
  EXPECT_EQ(parse_error("a: \"\\ud800\""),
            "f:1:4: expected complete surrogate pairs in a text, found \"\\\\ud800\"");
  EXPECT_EQ(parse_error("a: 1e999"),
            "f:1:4: expected a finite number, or a duration or size of at most 1e15 us or B without sign and "
            "exponent, found \"1e999\"");
  EXPECT_EQ(parse_error("a: max(1)"),
            "f:1:4: unknown function \"max\"; expected list.MinItems, list.MaxItems, strings.MinRunes or "
            "strings.MaxRunes");
  EXPECT_EQ(parse_error(std::string("a: ") + std::string(100000, '[')),
            "f:1:68: expected brackets nested at most 64 deep, found 65 levels");
  EXPECT_EQ(parse_error(std::string((1 << 20) + 1, ' ')),
            "f: expected at most 1 MiB, found at least 1048577 bytes");
  // The text found is cut to a bounded length.
  EXPECT_EQ(parse_error("a: 1 " + std::string(1000, 'b')),
            "f:1:6: expected a field, with a comma or a new line between fields, found \"" +
                std::string(56, 'b') + "...");
}

TEST(TypedConfig, AnyInputIsParsedOrRejected) {
  const std::string good = "#B: {x: 1 | *2}\na: #B & {y: [1, \"t\", 5ms]}\nb?: >=1 & <=2.5e3 | *{c: null}\n";
  const auto parses_or_fails = [](std::string_view text) {
    const auto document = parse(text, "f");
    const auto* error = std::get_if<Error>(&document);
    return !error || !error->message.empty();
  };
  for (std::size_t cut = 0; cut <= good.size(); ++cut) EXPECT_TRUE(parses_or_fails(good.substr(0, cut)));
  for (std::size_t at = 0; at < good.size(); ++at)
    for (const char c : {'\0', '"', '{', '}', '\\', '#', ':', '\xff'}) {
      auto broken = good;
      broken[at] = c;
      EXPECT_TRUE(parses_or_fails(broken));
      const auto document = parse(broken, "f");
      const auto* readable = std::get_if<Document>(&document);
      if (!readable) continue;
      const auto result = validate(*readable, *readable, "#B");
      const auto* errors = std::get_if<Errors>(&result);
      EXPECT_TRUE(!errors || !errors->empty());
    }
}

}  // namespace
}  // namespace granitegap::typed_config
