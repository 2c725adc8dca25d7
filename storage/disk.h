// Files under one data folder, as the replicated log needs them.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// Operations on files that are named without a path. What was written lasts
// over a crash only once it was synced. All calls may fail with StateFull when
// the disk is full and with StateUnavailable on any other error.
class Disk {
public:
    virtual ~Disk() = default;

    // The names of all files, sorted.
    virtual Result<std::vector<std::string>> list() = 0;

    // The whole contents of a file. Fails with NotFound when there is none.
    virtual Result<std::string> read(std::string_view name) = 0;

    // Writes at the end of a file and creates it when there is none. Not durable before sync().
    virtual Result<void> append(std::string_view name, std::string_view bytes) = 0;

    // Makes the contents of a file, and its presence in the folder, durable.
    virtual Result<void> sync(std::string_view name) = 0;

    // Replaces a file as a whole: after a crash either the old or the new contents are there. Durable on return.
    virtual Result<void> replace(std::string_view name, std::string_view bytes) = 0;

    // Cuts a file to its first `size` bytes. Durable on return.
    virtual Result<void> truncate(std::string_view name, uint64_t size) = 0;

    // Removes a file; one that is not there is no error. Durable on return.
    virtual Result<void> remove(std::string_view name) = 0;
};

} // namespace teasel
