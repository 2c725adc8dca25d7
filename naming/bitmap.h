// Sets of small numbers as compressed bitmaps.
#pragma once

#include <roaring/roaring.hh>

// Roaring 0.2 has its class in the global namespace, later versions in this one.
namespace roaring {

using ::Roaring;

} // namespace roaring
