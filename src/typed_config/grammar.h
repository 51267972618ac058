// The grammar of configuration files in PEGTL, with an error message for each rule that must match.
//
// Internal to this module. The rules mirror docs/operators-file.md.
#pragma once
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

namespace granitegap::typed_config::grammar {

namespace pegtl = tao::pegtl;

// ---- White space and comments ----
struct Comment : pegtl::seq<pegtl::string<'/', '/'>, pegtl::until<pegtl::at<pegtl::eolf>>> {};
struct InlineSpace : pegtl::star<pegtl::blank> {};
struct Space : pegtl::star<pegtl::sor<pegtl::space, Comment>> {};

// ---- Texts and numbers ----
struct FourHexDigits : pegtl::rep<4, pegtl::xdigit> {};
struct UnicodeEscape : pegtl::seq<pegtl::one<'u'>, FourHexDigits> {};
struct Escape : pegtl::seq<pegtl::one<'\\'>,
                           pegtl::sor<pegtl::one<'"', '\\', '/', 'b', 'f', 'n', 'r', 't'>, UnicodeEscape>> {};
struct PlainCharacter : pegtl::seq<pegtl::not_at<pegtl::one<'"', '\\', '\n', '\r'>>, pegtl::any> {};
struct TextBody : pegtl::star<pegtl::sor<Escape, PlainCharacter>> {};
struct TextEnd : pegtl::one<'"'> {};
struct Text : pegtl::seq<pegtl::one<'"'>, TextBody, pegtl::must<TextEnd>> {};

struct Digits : pegtl::plus<pegtl::digit> {};
struct Unit
    : pegtl::sor<pegtl::string<'u', 's'>, pegtl::string<'m', 's'>, pegtl::string<'K', 'i', 'B'>,
                 pegtl::string<'M', 'i', 'B'>, pegtl::string<'G', 'i', 'B'>, pegtl::one<'s', 'm', 'h', 'B'>> {
};
struct Exponent : pegtl::seq<pegtl::one<'e', 'E'>, pegtl::opt<pegtl::one<'+', '-'>>, Digits> {};
struct NumberEnd : pegtl::not_at<pegtl::identifier_other> {};
struct Number : pegtl::seq<pegtl::opt<pegtl::one<'-'>>, Digits, pegtl::opt<pegtl::one<'.'>, Digits>,
                           pegtl::opt<Exponent>, pegtl::opt<Unit>, pegtl::must<NumberEnd>> {};

// ---- Words, calls and bounds ----
struct AnyExpression;
struct DotInWord : pegtl::seq<pegtl::one<'.'>, pegtl::at<pegtl::alpha>> {};
struct Word
    : pegtl::seq<pegtl::identifier_first, pegtl::star<pegtl::sor<pegtl::identifier_other, DotInWord>>> {};
struct CallEnd : pegtl::one<')'> {};
struct CallArgument : pegtl::seq<Space, pegtl::must<AnyExpression>, Space> {};
struct Call : pegtl::seq<Word, pegtl::one<'('>, CallArgument, pegtl::must<CallEnd>> {};
struct Reference : pegtl::seq<pegtl::one<'#'>, pegtl::identifier> {};
struct ComparisonSign : pegtl::sor<pegtl::string<'<', '='>, pegtl::string<'>', '='>, pegtl::string<'!', '='>,
                                   pegtl::one<'<', '>'>> {};
struct BoundOperand : pegtl::sor<Number, Text> {};
struct Bound : pegtl::seq<ComparisonSign, InlineSpace, pegtl::must<BoundOperand>> {};

// ---- Records ----
struct FieldSeparator
    : pegtl::seq<InlineSpace, pegtl::opt<Comment>, pegtl::sor<pegtl::one<','>, pegtl::eol>, Space> {};
struct Label : pegtl::sor<Reference, Text, pegtl::identifier> {};
struct OptionalMark : pegtl::one<'?'> {};
struct Colon : pegtl::one<':'> {};
struct FieldValue : pegtl::must<AnyExpression> {};
struct RecordField
    : pegtl::seq<Label, pegtl::opt<OptionalMark>, InlineSpace, pegtl::must<Colon>, Space, FieldValue> {};
struct OpenMark : pegtl::string<'.', '.', '.'> {};
struct Member : pegtl::sor<OpenMark, RecordField> {};
struct Members : pegtl::opt<pegtl::list_tail<Member, FieldSeparator>> {};
struct RecordEnd : pegtl::one<'}'> {};
struct RecordBraces : pegtl::seq<pegtl::one<'{'>, Space, Members, Space, pegtl::must<RecordEnd>> {};

// ---- Lists ----
struct ElementSeparator : pegtl::seq<Space, pegtl::one<','>, Space> {};
struct Elements : pegtl::opt<pegtl::list_tail<AnyExpression, ElementSeparator>> {};
struct ListEnd : pegtl::one<']'> {};
struct ElementType : pegtl::sor<pegtl::at<pegtl::one<']'>>, pegtl::must<AnyExpression>> {};
struct ListOf : pegtl::seq<pegtl::one<'['>, Space, pegtl::string<'.', '.', '.'>, Space, ElementType, Space,
                           pegtl::must<ListEnd>> {};
struct ListBrackets : pegtl::seq<pegtl::one<'['>, Space, Elements, Space, pegtl::must<ListEnd>> {};

// ---- Operators, from the tightest to the loosest ----
struct GroupEnd : pegtl::one<')'> {};
struct Group : pegtl::seq<pegtl::one<'('>, Space, pegtl::must<AnyExpression>, Space, pegtl::must<GroupEnd>> {
};
struct Term
    : pegtl::sor<Number, Text, RecordBraces, ListOf, ListBrackets, Bound, Reference, Call, Group, Word> {};
struct Operand : pegtl::must<Term> {};
struct AllOf : pegtl::seq<Term, pegtl::star<InlineSpace, pegtl::one<'&'>, Space, Operand>> {};
struct DefaultMark : pegtl::one<'*'> {};
struct Alternative : pegtl::seq<pegtl::opt<DefaultMark>, AllOf> {};
struct NextAlternative : pegtl::must<Alternative> {};
struct AnyExpression
    : pegtl::seq<Alternative, pegtl::star<InlineSpace, pegtl::one<'|'>, Space, NextAlternative>> {};

// The complete file may be enclosed in braces, as in JSON.
struct FileInBraces : pegtl::seq<RecordBraces, Space, pegtl::at<pegtl::eof>> {};
struct FileEnd : pegtl::eof {};
struct File : pegtl::seq<Space, pegtl::sor<FileInBraces, Members>, Space, pegtl::must<FileEnd>> {};

// Selects the rules that become nodes of the parse tree: first those that keep their text, then those that
// only have children.
template <class Rule>
using Selector = pegtl::parse_tree::selector<
    Rule,
    pegtl::parse_tree::store_content::on<Number, Text, Word, Reference, ComparisonSign, Label, OptionalMark,
                                         OpenMark, DefaultMark>,
    pegtl::parse_tree::remove_content::on<AnyExpression, Alternative, AllOf, Bound, Call, RecordBraces,
                                          ListBrackets, ListOf, Group, RecordField>>;

// ---- Error messages of the rules that must match ----
template <class>
inline constexpr const char* kExpected = nullptr;
template <>
inline constexpr const char* kExpected<TextEnd> = "expected the closing \" of the text on the same line";
template <>
inline constexpr const char* kExpected<NumberEnd> =
    "expected the end of the number or a unit: us ms s m h B KiB MiB GiB";
template <>
inline constexpr const char* kExpected<AnyExpression> = "expected a value";
template <>
inline constexpr const char* kExpected<Term> = "expected a value after the operator";
template <>
inline constexpr const char* kExpected<Alternative> = "expected a value after |";
template <>
inline constexpr const char* kExpected<CallEnd> = "expected ) after the argument";
template <>
inline constexpr const char* kExpected<BoundOperand> = "expected a number or text after the comparison";
template <>
inline constexpr const char* kExpected<Colon> = "expected : after the field name";
template <>
inline constexpr const char* kExpected<RecordEnd> =
    "expected a field or }, with a comma or a new line between fields";
template <>
inline constexpr const char* kExpected<ListEnd> = "expected , or ]";
template <>
inline constexpr const char* kExpected<GroupEnd> = "expected ) after the expression";
template <>
inline constexpr const char* kExpected<FileEnd> =
    "expected a field, with a comma or a new line between fields";

// The interface that PEGTL requires for custom messages. PEGTL prescribes both member names.
struct Messages {
  template <class Rule>
  static constexpr auto message = kExpected<Rule>;  // NOLINT(readability-identifier-naming): named by PEGTL
  // Only must<> raises errors: elsewhere the rule may be one of several alternatives.
  template <class Rule>
  static constexpr bool raise_on_failure = false;  // NOLINT(readability-identifier-naming): named by PEGTL
};
template <class Rule>
using Control = pegtl::must_if<Messages>::control<Rule>;

}  // namespace granitegap::typed_config::grammar
