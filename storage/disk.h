// The file operations that the replicated log needs, on the files of one data folder.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// Files are named without a path. Written bytes survive a crash only once they are synced. All calls may fail with
// StateFull when the disk is full and with StateUnavailable on any other error.
class Disk {
public:
    virtual ~Disk() = default;

    // Returns the names of all files, sorted.
    virtual Result<std::vector<std::string>> list() = 0;

    // Returns the whole contents of a file. Fails with NotFound when it does not exist.
    virtual Result<std::string> read(std::string_view name) = 0;

    // Appends to a file, which is created when it does not exist. Not durable before sync().
    virtual Result<void> append(std::string_view name, std::string_view bytes) = 0;

    // Makes the contents of a file and its entry in the folder durable.
    virtual Result<void> sync(std::string_view name) = 0;

    // Replaces a file atomically: after a crash it has either the old or the new contents. Durable on return.
    virtual Result<void> replace(std::string_view name, std::string_view bytes) = 0;

    // Truncates a file to its first `size` bytes. Durable on return.
    virtual Result<void> truncate(std::string_view name, uint64_t size) = 0;

    // Removes a file. Succeeds when it does not exist. Durable on return.
    virtual Result<void> remove(std::string_view name) = 0;
};

} // namespace teasel
