// A disk in memory that loses what was not synced when it crashes.
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
        std::string unsynced; // after the synced bytes
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
        if (!mayWrite()) {
            // A full disk takes a part of the bytes.
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
        if (!mayWrite())
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

    // What a loss of power leaves: any part of what was not synced. When a
    // process alone ends, what was not synced is still read, and is lost later.
    // Gives the number of bytes lost.
    size_t crash(Random& random)
    {
        size_t lost = 0;
        for (auto it = files.begin(); it != files.end();) {
            auto& [name, file] = *it;
            const auto size = file.unsynced.size();
            const auto kept = random.chance(0.3) ? size : random.below(size + 1);
            lost += size - kept;
            auto left = file.unsynced.substr(0, kept);
            if (kept > 0 && random.chance(0.3))
                left[random.below(kept)] ^= 1; // a torn block
            file.synced += left;
            file.unsynced.clear();
            const bool isGone = !file.isEntrySynced && random.chance(0.5);
            file.isEntrySynced = true;
            it = isGone ? files.erase(it) : std::next(it);
        }
        return lost;
    }

    static constexpr uint64_t unlimited = ~uint64_t { 0 };
    uint64_t writesLeft = unlimited; // then every write fails
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
