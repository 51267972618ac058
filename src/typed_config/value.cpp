#include "typed_config/value.h"

#include <algorithm>

namespace granitegap::typed_config {

const Value* Value::find(std::string_view field) const {
  const auto* record = std::get_if<Record>(&data);
  if (!record) return nullptr;
  const auto found = std::find_if(record->begin(), record->end(),
                                  [&](const auto& candidate) { return candidate.first == field; });
  return found == record->end() ? nullptr : &found->second;
}

const Value& Value::operator[](std::string_view field) const {
  const auto* value = find(field);
  if (!value) throw std::bad_variant_access();
  return *value;
}

double Value::as_double() const {
  const auto* integer = std::get_if<std::int64_t>(&data);
  return integer ? double(*integer) : std::get<double>(data);
}

}  // namespace granitegap::typed_config
