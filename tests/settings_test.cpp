// Tests of the parser of an instance's settings.
#include "settings/settings.h"

#include <gtest/gtest.h>

namespace granitegap {
namespace {

TEST(ParseSettings, ReadsScalarsListsAndWords) {
  const auto parsed = parse_settings(
      "specifics.cpus=6\nspecifics.halt=drop\nspecifics.say=tokens\nclasses.count=2\nclasses.0.aim_ms=1300."
      "5\n"
      "classes.1.effect=dedup\nspecifics.class_calls=true,false\nspecifics.degraded_worth=0.0,0.5\n"
      "orgs.count=1\norgs.0.allowance_per_s=98.0\nspecifics.gauges=core_use,links\n");
  EXPECT_EQ(parsed.settings.cores, 6.0);
  EXPECT_EQ(parsed.settings.suspend, SuspendKind::drop);
  EXPECT_EQ(parsed.settings.advertised_value, AdvertisedValue::credits);
  ASSERT_EQ(parsed.settings.classes.size(), 2U);
  EXPECT_EQ(parsed.settings.classes[0].latency_objective, Duration(1300500));
  EXPECT_EQ(parsed.settings.classes[1].idempotency, Idempotency::with_key);
  EXPECT_EQ(parsed.settings.classes[0].makes_calls, true);
  EXPECT_EQ(parsed.settings.classes[1].degraded_weight_fraction, 0.5);
  EXPECT_EQ(parsed.settings.tenants.at(0).quota_per_s, 98.0);
  EXPECT_EQ(parsed.gauges, (std::vector<std::string>{"core_use", "links"}));
  EXPECT_TRUE(parsed.settings.invalid_settings.empty());
}

TEST(ParseSettings, ListsInvalidValuesAndIgnoresUnknownKeys) {
  const auto parsed = parse_settings(
      "specifics.cpus=many\nrules.fall_ms=nan\nspecifics.memory_kb=-4\nspecifics.halt=sideways\nnews=1\nno "
      "pair\n\n"
      "classes.count=99999999999\n");
  EXPECT_FALSE(parsed.settings.cores);
  EXPECT_FALSE(parsed.settings.overload_window);
  EXPECT_FALSE(parsed.settings.memory_kb);
  EXPECT_FALSE(parsed.settings.suspend);
  EXPECT_TRUE(parsed.settings.classes.empty());
  EXPECT_EQ(parsed.settings.invalid_settings.size(), 5U);
  EXPECT_EQ(parsed.settings.invalid_settings.at(0).key, "classes.count");
  EXPECT_EQ(parsed.settings.invalid_settings.at(0).value, "99999999999");
}

}  // namespace
}  // namespace granitegap
