#include "settings/settings.h"

#include <gtest/gtest.h>

namespace granitegap {
namespace {

TEST(Settings, ReadsScalarsListsAndWords) {
  const auto p = parse_settings(
      "specifics.cpus=6\nspecifics.halt=drop\nspecifics.say=tokens\nclasses.count=2\nclasses.0.aim_ms=1300."
      "5\n"
      "classes.1.effect=dedup\nspecifics.class_calls=true,false\nspecifics.degraded_worth=0.0,0.5\n"
      "orgs.count=1\norgs.0.allowance_per_s=98.0\nspecifics.gauges=core_use,links\n");
  EXPECT_EQ(p.settings.cores, 6.0);
  EXPECT_EQ(p.settings.suspend, SuspendKind::drop);
  EXPECT_EQ(p.settings.advertised_value, AdvertisedValue::credits);
  ASSERT_EQ(p.settings.classes.size(), 2U);
  EXPECT_EQ(p.settings.classes[0].latency_objective, Duration(1300500));
  EXPECT_EQ(p.settings.classes[1].idempotency, Idempotency::with_key);
  EXPECT_EQ(p.settings.classes[0].makes_calls, true);
  EXPECT_EQ(p.settings.classes[1].degraded_weight_fraction, 0.5);
  EXPECT_EQ(p.settings.tenants.at(0).quota_per_s, 98.0);
  EXPECT_EQ(p.gauges, (std::vector<std::string>{"core_use", "links"}));
  EXPECT_TRUE(p.settings.invalid_settings.empty());
}

TEST(Settings, NamesWhatItCannotUseAndIgnoresWhatItDoesNotKnow) {
  const auto p = parse_settings(
      "specifics.cpus=many\nrules.fall_ms=nan\nspecifics.memory_kb=-4\nspecifics.halt=sideways\nnews=1\nno "
      "pair\n\n"
      "classes.count=99999999999\n");
  EXPECT_FALSE(p.settings.cores);
  EXPECT_FALSE(p.settings.overload_window);
  EXPECT_FALSE(p.settings.memory_kb);
  EXPECT_FALSE(p.settings.suspend);
  EXPECT_TRUE(p.settings.classes.empty());
  EXPECT_EQ(p.settings.invalid_settings.size(), 5U);
}

}  // namespace
}  // namespace granitegap
