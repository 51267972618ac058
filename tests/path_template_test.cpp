// Tests of parsing and expanding path templates.
#include "deps/path_template.h"

#include <gtest/gtest.h>

namespace granitegap::deps {
namespace {

TEST(PathTemplate, PercentEncodesValuesAndRejectsInvalidTemplates) {
  const auto parse = [](std::string_view text) { return PathTemplate::parse(text); };
  std::string out;
  EXPECT_TRUE(std::get<PathTemplate>(parse("/v1/{class}/{obj}?b={body}&n={needed}"))
                  .expand({255, "a b\r\n", "tile", "\x80"}, out));
  EXPECT_EQ(out, "/v1/tile/00000000000000ff?b=a%20b%0D%0A&n=%80");
  EXPECT_FALSE(std::get<PathTemplate>(parse("/{body}")).expand({0, std::string(5000, 'x'), "", ""}, out));
  for (const auto* bad : {"", "v1", "/{", "/{what}", "/a b", "/a}", "/a#b", "/\r\n"})
    EXPECT_TRUE(std::holds_alternative<PathTemplate::ParseError>(parse(bad))) << bad;
}

}  // namespace
}  // namespace granitegap::deps
