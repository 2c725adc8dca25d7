// libFuzzer target for the selector parser. tests/fuzz/run.sh builds and runs it; clang must provide libFuzzer.
#include "../naming_fuzz.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) // NOLINT(readability-identifier-naming)
{
    teasel::test::fuzzSelector({ reinterpret_cast<const char*>(data), size });
    return 0;
}
