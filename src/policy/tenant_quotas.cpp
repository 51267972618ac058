// Tenant quotas: a token bucket for each tenant, filled at its part of the quota of all servers.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// The quota counts what clients ask of the service: an inner tier sees calls and can't apply it, and what is
// rejected has used none of it (guards against retries and calls that read as traffic over a quota).
bool AdmissionController::Impl::quota_exhausted(TenantId tenant) const {
  const auto index = std::size_t(tenant);
  return settings.tier.value_or(0) < 1 && index < tenants.size() && tenants[index].tokens < 1;
}

void AdmissionController::Impl::consume_quota(TenantId tenant) {
  const auto index = std::size_t(tenant);
  if (index < tenants.size()) tenants[index].tokens = std::max(tenants[index].tokens - 1, 0.0);
}

// A bucket holds two seconds' worth; where that is few requests, more, or chance alone would read as traffic
// over a quota. The price: a quota that is overrun is noticed later.
void AdmissionController::Impl::refill_quotas() {
  const double elapsed = to_seconds(now - last_refill);
  last_refill = now;
  for (auto& tenant : tenants) {
    const double capacity = std::max(kBurstSeconds * tenant.quota_per_s, kMinBurst);
    tenant.tokens = std::min(tenant.tokens + tenant.quota_per_s * elapsed, capacity);
  }
}

}  // namespace granitegap
