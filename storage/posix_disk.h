// Disk implemented on a folder of the POSIX file system.
#pragma once

#include "storage/disk.h"

#include <absl/container/flat_hash_map.h>

namespace teasel {

// Holds an exclusive lock on the folder, so that no other process uses it.
class PosixDisk final : public Disk {
public:
    // open() must succeed before anything else is called.
    explicit PosixDisk(std::string folder);
    ~PosixDisk() override;
    PosixDisk(const PosixDisk&) = delete;
    PosixDisk& operator=(const PosixDisk&) = delete;

    // Creates the folder when it does not exist and locks it. Fails with StateUnavailable when the folder can't be used
    // or another process has locked it.
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
        bool isEntrySynced = false; // this process has synced the entry of the file in the folder
    };

    Result<OpenFile*> openForAppend(std::string_view name);
    Result<std::vector<std::string>> listAll();
    Result<void> removeTemporaryFiles(); // left by calls to replace() that a crash interrupted
    Result<void> syncFolder();
    Result<void> writeAll(int descriptor, std::string_view name, std::string_view bytes);
    void close(std::string_view name);

    std::string m_path;
    int m_folderDescriptor = -1;
    int m_lockDescriptor = -1;
    absl::flat_hash_map<std::string, OpenFile> m_openFiles; // open for appending
};

} // namespace teasel
