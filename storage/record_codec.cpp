#include "storage/record_codec.h"

#include <xxhash.h>

#include <cstring>

namespace teasel {

namespace {

    struct Header {
        uint32_t mark = 0;
        uint32_t length = 0;
        uint64_t checksum = 0;
    };

    constexpr size_t headerSize = 16;
    static_assert(sizeof(Header) == headerSize);

    // The length is part of what is checked.
    uint64_t checksumOf(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), bytes.size()); }

    bool isMark(uint32_t mark)
    {
        return mark == static_cast<uint32_t>(RecordPlace::First)
            || mark == static_cast<uint32_t>(RecordPlace::Following);
    }

} // namespace

void appendFramed(std::string& out, RecordPlace place, std::string_view bytes)
{
    const Header header { static_cast<uint32_t>(place), static_cast<uint32_t>(bytes.size()), checksumOf(bytes) };
    char buf[headerSize];
    std::memcpy(buf, &header, headerSize);
    out.append(buf, headerSize);
    out.append(bytes);
}

std::optional<FramedRecord> readFramed(std::string_view data)
{
    Header header;
    if (data.size() < headerSize)
        return std::nullopt;
    std::memcpy(&header, data.data(), headerSize);
    if (!isMark(header.mark) || data.size() - headerSize < header.length)
        return std::nullopt;
    const auto bytes = data.substr(headerSize, header.length);
    if (checksumOf(bytes) != header.checksum)
        return std::nullopt;
    return FramedRecord { static_cast<RecordPlace>(header.mark), bytes, headerSize + bytes.size() };
}

std::optional<size_t> findBatchStart(std::string_view data)
{
    constexpr auto mark = static_cast<uint32_t>(RecordPlace::First);
    char buf[sizeof(mark)];
    std::memcpy(buf, &mark, sizeof(mark));
    const std::string_view sought(buf, sizeof(mark));
    for (auto at = data.find(sought); at != std::string_view::npos; at = data.find(sought, at + 1))
        if (readFramed(data.substr(at)))
            return at;
    return std::nullopt;
}

std::string sealFile(std::string_view bytes)
{
    std::string file;
    file.reserve(headerSize + bytes.size());
    appendFramed(file, RecordPlace::First, bytes);
    return file;
}

std::optional<std::string_view> openSealedFile(std::string_view file)
{
    const auto record = readFramed(file);
    if (!record || record->frameSize != file.size())
        return std::nullopt;
    return record->bytes;
}

} // namespace teasel
