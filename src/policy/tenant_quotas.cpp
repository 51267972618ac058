// Tenant quotas: a token bucket for each tenant, refilled at this server's part of the quota over all
// servers.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// Returns whether the tenant's quota is used up. The quota counts client requests to the service: an inner
// tier receives calls and cannot apply it, and rejected requests do not use it. Otherwise retries and calls
// would count as traffic over the quota.
bool AdmissionController::Impl::quota_exhausted(TenantId tenant) const {
  const auto index = std::size_t(tenant);
  return settings.tier.value_or(0) < 1 && index < tenants.size() && tenants[index].tokens < 1;
}

void AdmissionController::Impl::consume_quota(TenantId tenant) {
  const auto index = std::size_t(tenant);
  if (index < tenants.size()) tenants[index].tokens = std::max(tenants[index].tokens - 1, 0.0);
}

// A bucket holds two seconds of its quota. A small quota gets a larger bucket (kMinBurst), because random
// clustering of a few requests would otherwise count as traffic over the quota. The cost is that an exceeded
// quota is detected later.
void AdmissionController::Impl::refill_quotas() {
  const double elapsed = to_seconds(now - last_refill);
  last_refill = now;
  for (auto& tenant : tenants) {
    const double capacity = std::max(kBurstSeconds * tenant.quota_per_s, kMinBurst);
    tenant.tokens = std::min(tenant.tokens + tenant.quota_per_s * elapsed, capacity);
  }
}

}  // namespace granitegap
