// Maps the names of request classes and tenants in the settings to their ids.
//
// A plain value: safe to read from any thread once built. Nothing here throws.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::edge {

// The id of a class or a tenant is its position in the list.
struct NameRegistry {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<bool> key_required;  // by class: whether its requests carry an idempotency key

  // Returns the id of the class with this name, or nullopt if the name is unknown.
  [[nodiscard]] std::optional<ClassId> find_class(std::string_view name) const;
  // Returns the id of the tenant with this name. For an empty or unknown name the id is one past the end of
  // the list, which the admission controller treats as a request without a tenant of its own.
  [[nodiscard]] TenantId find_tenant(std::string_view name) const;
  // Returns whether requests of the class are idempotent by key: all attempts of one request share a key.
  [[nodiscard]] bool requires_idempotency_key(ClassId id) const {
    return std::size_t(id) < key_required.size() && key_required[std::size_t(id)];
  }
};

}  // namespace granitegap::edge
