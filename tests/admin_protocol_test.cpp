// The admin protocol: command lines, replies, and lines that arrive in pieces.
#include <gtest/gtest.h>

#include "admin/codec.h"

namespace granitegap::admin {
namespace {

TEST(AdminCommand, EveryCommandIsParsed) {
  EXPECT_EQ(std::get<Command>(parse_command("health")), Command::health);
  EXPECT_EQ(std::get<Command>(parse_command("quiesce")), Command::quiesce);
  EXPECT_EQ(std::get<Command>(parse_command("resume")), Command::resume);
}

TEST(AdminCommand, ACarriageReturnAtTheEndIsIgnored) {
  EXPECT_EQ(std::get<Command>(parse_command("quiesce\r")), Command::quiesce);
}

TEST(AdminCommand, OtherLinesAreRejectedWithTheReason) {
  const std::pair<std::string_view, CommandError> cases[] = {
      {"", CommandError::empty_line},
      {"\r", CommandError::empty_line},
      {"Health", CommandError::unknown_command},
      {"healthy", CommandError::unknown_command},
      {" health", CommandError::unknown_command},
      {"health ", CommandError::extra_words},
      {"resume now", CommandError::extra_words},
      {"quiesce\r\r", CommandError::not_text},
      {std::string_view("he\0lth", 6), CommandError::not_text},
      {"h\xc3\xa9", CommandError::not_text},
  };
  for (const auto& [line, error] : cases) {
    const auto result = parse_command(line);
    ASSERT_TRUE(std::holds_alternative<CommandError>(result)) << line;
    EXPECT_EQ(std::get<CommandError>(result), error) << line;
  }
}

TEST(AdminCommand, EachErrorHasItsText) {
  EXPECT_STREQ(error_text(CommandError::empty_line), "empty line: expected health, quiesce or resume");
  EXPECT_STREQ(error_text(CommandError::not_text), "bytes that are no text");
  EXPECT_STREQ(error_text(CommandError::unknown_command), "unknown call: expected health, quiesce or resume");
  EXPECT_STREQ(error_text(CommandError::extra_words), "extra words after the call");
  EXPECT_STREQ(error_text(CommandError::line_too_long), "line too long");
}

TEST(AdminReply, IsEncodedAsOneLine) {
  EXPECT_EQ(encode({true, "serving"}), "OK serving\n");
  EXPECT_EQ(encode({false, "stopping"}), "ERR stopping\n");
  EXPECT_EQ(encode({false, ""}), "ERR\n");
}

TEST(AdminCommandReader, AssemblesOneLineFromPieces) {
  CommandReader reader;
  EXPECT_FALSE(reader.add("hea"));
  EXPECT_FALSE(reader.add("lth\r"));
  const auto result = reader.add("\nquiesce\n");  // a connection carries one line: the second is ignored
  ASSERT_TRUE(result);
  EXPECT_EQ(std::get<Command>(*result), Command::health);
}

TEST(AdminCommandReader, ALineWithoutALineEndIsRejectedAtTheLimit) {
  constexpr std::string_view kPiece = "xxxxxxxxxx";
  CommandReader reader;
  std::optional<CommandResult> result;
  std::size_t added_bytes = 0;
  while (!result && added_bytes < 10 * kMaxLineBytes) {
    result = reader.add(kPiece);
    added_bytes += kPiece.size();
  }
  ASSERT_TRUE(result);
  EXPECT_EQ(std::get<CommandError>(*result), CommandError::line_too_long);
  EXPECT_LE(added_bytes, kMaxLineBytes + 2 * kPiece.size());
}

TEST(AdminCommandReader, ALineOfMaximumLengthIsParsed) {
  CommandReader reader;
  const auto result = reader.add(std::string(kMaxLineBytes, 'x') + "\r\n");
  ASSERT_TRUE(result);
  EXPECT_EQ(std::get<CommandError>(*result), CommandError::unknown_command);
}

}  // namespace
}  // namespace granitegap::admin
