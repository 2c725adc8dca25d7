// Limits of what the callers of an instance may use together.
#pragma once

#include "net/http_server.h"

#include <algorithm>
#include <cstddef>

#include <malloc.h>
#include <unistd.h>

namespace teasel {

// Lowers the limits so that the callers' connections take at most a quarter of the machine's memory, and what they send
// at most an eighth; it exists up to three times while it is relayed.
inline HttpServerOptions limitedToMachine(HttpServerOptions it)
{
    const auto memory = static_cast<size_t>(std::max(0L, ::sysconf(_SC_PHYS_PAGES)))
        * static_cast<size_t>(std::max(0L, ::sysconf(_SC_PAGESIZE)));
    if (memory == 0) // not known
        return it;
    it.maxConnections
        = static_cast<unsigned>(std::clamp<size_t>(memory / 4 / it.maxHeaderBytes, 1, std::max(1U, it.maxConnections)));
    it.maxBufferedBytes = std::min(it.maxBufferedBytes, memory / 8);
    return it;
}

// Bodies are returned to the system when they are freed. By default the allocator keeps more and more of such blocks.
inline void returnFreedBodies() { mallopt(M_MMAP_THRESHOLD, 64 << 10); }

} // namespace teasel
