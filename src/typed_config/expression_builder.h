// Conversion of PEGTL's parse tree to a Document. Internal to this module.
#pragma once
#include <stdexcept>
#include <string>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "typed_config/error.h"
#include "typed_config/expression.h"

namespace granitegap::typed_config {

// Thrown for a tree that the grammar accepts but the language does not. parse() catches it.
struct BuildError : std::runtime_error {
  BuildError(ErrorCode error_code, Position error_position, const std::string& message)
      : std::runtime_error(message), code(error_code), position(error_position) {}
  ErrorCode code;
  Position position;
};

// Builds the document from the root of a parse tree made with grammar::Selector. Throws BuildError.
Document build_document(const tao::pegtl::parse_tree::node& root, std::string file);

}  // namespace granitegap::typed_config
