#include "edge/name_registry.h"

#include <algorithm>

namespace granitegap::edge {

std::optional<ClassId> NameRegistry::find_class(std::string_view name) const {
  const auto it = std::find(classes.begin(), classes.end(), name);
  if (it == classes.end()) return std::nullopt;
  return ClassId(it - classes.begin());
}

TenantId NameRegistry::find_tenant(std::string_view name) const {
  return TenantId(std::find(tenants.begin(), tenants.end(), name) - tenants.begin());
}

}  // namespace granitegap::edge
