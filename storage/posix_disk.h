// Files under one data folder of the operating system.
#pragma once

#include "storage/disk.h"

#include <absl/container/flat_hash_map.h>

namespace teasel {

// Holds a lock on the folder, so that no second process uses it.
class PosixDisk final : public Disk {
public:
    // The folder is created when it is not there. open() must succeed before anything else is called.
    explicit PosixDisk(std::string folder);
    ~PosixDisk() override;
    PosixDisk(const PosixDisk&) = delete;
    PosixDisk& operator=(const PosixDisk&) = delete;

    // Fails with StateUnavailable when the folder can't be used or another process holds it.
    Result<void> open();

    Result<std::vector<std::string>> list() override;
    Result<std::string> read(std::string_view name) override;
    Result<void> append(std::string_view name, std::string_view bytes) override;
    Result<void> sync(std::string_view name) override;
    Result<void> replace(std::string_view name, std::string_view bytes) override;
    Result<void> truncate(std::string_view name, uint64_t size) override;
    Result<void> remove(std::string_view name) override;

private:
    struct OpenFile {
        int descriptor = -1;
        bool isEntrySynced = false; // in the folder, as far as this process knows
    };

    Result<OpenFile*> openForAppend(std::string_view name);
    Result<std::vector<std::string>> listAll();
    Result<void> removeLeftovers(); // of replacements that a crash cut short
    Result<void> syncFolder();
    Result<void> writeAll(int descriptor, std::string_view name, std::string_view bytes);
    void close(std::string_view name);

    std::string m_path;
    int m_folder = -1;
    int m_lock = -1;
    absl::flat_hash_map<std::string, OpenFile> m_files; // open for appending
};

} // namespace teasel
