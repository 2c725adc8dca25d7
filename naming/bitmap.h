// Sets of small integers as compressed bitmaps (Roaring).
#pragma once

#include <roaring/roaring.hh>

// Roaring 0.2 declares its class in the global namespace, later versions in `roaring`.
namespace roaring {

using ::Roaring;

} // namespace roaring
