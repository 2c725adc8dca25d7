// An in-memory disk that loses unsynced bytes in a crash.
#pragma once

#include "core/random.h"
#include "storage/disk.h"

#include <map>
#include <string>

namespace teasel {

class FakeDisk final : public Disk {
public:
    struct File {
        std::string synced;
        std::string unsynced; // follows the synced bytes
        bool isEntrySynced = false;
    };

    Result<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        for (const auto& [name, file] : files)
            names.push_back(name);
        return names;
    }

    Result<std::string> read(std::string_view name) override
    {
        const auto it = files.find(std::string(name));
        if (it == files.end())
            return fail(ErrorKind::NotFound, "no such file");
        return it->second.synced + it->second.unsynced;
    }

    Result<void> append(std::string_view name, std::string_view bytes) override
    {
        if (!mayWrite() || size() + bytes.size() > capacity) {
            // A write to a full disk may be partial.
            files[std::string(name)].unsynced += bytes.substr(0, bytes.size() / 2);
            return fail(ErrorKind::StateFull, "no space left");
        }
        files[std::string(name)].unsynced += bytes;
        return {};
    }

    Result<void> sync(std::string_view name) override
    {
        if (!mayWrite())
            return fail(ErrorKind::StateUnavailable, "can't sync");
        auto& file = files[std::string(name)];
        file.synced += file.unsynced;
        file.unsynced.clear();
        file.isEntrySynced = true;
        return {};
    }

    Result<void> replace(std::string_view name, std::string_view bytes) override
    {
        // The old contents are kept until the new ones are complete.
        if (!mayWrite() || size() + bytes.size() > capacity)
            return fail(ErrorKind::StateFull, "no space left");
        files[std::string(name)] = { std::string(bytes), {}, true };
        return {};
    }

    Result<void> truncate(std::string_view name, uint64_t size) override
    {
        auto& file = files[std::string(name)];
        file.synced = (file.synced + file.unsynced).substr(0, size);
        file.unsynced.clear();
        return {};
    }

    Result<void> remove(std::string_view name) override
    {
        if (!mayWrite())
            return fail(ErrorKind::StateUnavailable, "can't remove");
        files.erase(std::string(name));
        return {};
    }

    // Simulates a loss of power: a random prefix of the unsynced bytes of each file survives. Returns the number of
    // bytes lost. When only the process ends, crash() is not called: unsynced bytes can still be read and may be lost
    // in a later crash.
    size_t crash(Random& random)
    {
        size_t lostBytes = 0;
        for (auto it = files.begin(); it != files.end();) {
            auto& [name, file] = *it;
            const auto unsyncedBytes = file.unsynced.size();
            const auto keptBytes = random.chance(0.3) ? unsyncedBytes : random.below(unsyncedBytes + 1);
            lostBytes += unsyncedBytes - keptBytes;
            auto survivingBytes = file.unsynced.substr(0, keptBytes);
            if (keptBytes > 0 && random.chance(0.3))
                survivingBytes[random.below(keptBytes)] ^= 1; // a torn block
            file.synced += survivingBytes;
            file.unsynced.clear();
            const bool isEntryLost = !file.isEntrySynced && random.chance(0.5);
            file.isEntrySynced = true;
            it = isEntryLost ? files.erase(it) : std::next(it);
        }
        return lostBytes;
    }

    // Bytes of all files.
    uint64_t size() const
    {
        uint64_t bytes = 0;
        for (const auto& [name, file] : files)
            bytes += file.synced.size() + file.unsynced.size();
        return bytes;
    }

    static constexpr uint64_t unlimited = ~uint64_t { 0 };
    uint64_t capacity = unlimited; // in bytes
    uint64_t writesLeft = unlimited; // number of writes that succeed before all further ones fail
    std::map<std::string, File> files;

private:
    bool mayWrite()
    {
        if (writesLeft == unlimited)
            return true;
        return writesLeft > 0 && writesLeft-- > 0;
    }
};

} // namespace teasel
