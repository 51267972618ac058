#include "typed_config/error.h"

namespace granitegap::typed_config {

std::string Error::text() const {
  std::string out = file;
  if (position.line) out += ":" + std::to_string(position.line) + ":" + std::to_string(position.column);
  out += ": ";
  if (!field.empty()) out += field + ": ";
  return out + message;
}

}  // namespace granitegap::typed_config
