#include "storage/record_codec.h"

#include <xxhash.h>

#include <cstring>

namespace teasel {

namespace {

    struct Header {
        uint32_t magic = 0;
        uint32_t length = 0;
        uint64_t checksum = 0;
    };

    constexpr size_t headerSize = 16;
    static_assert(sizeof(Header) == headerSize);

    // Seeded with the length, so that the checksum covers the length as well.
    uint64_t checksumOf(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), bytes.size()); }

    bool isKnownMagic(uint32_t magic)
    {
        return magic == static_cast<uint32_t>(BatchPosition::First)
            || magic == static_cast<uint32_t>(BatchPosition::Following);
    }

} // namespace

void appendFrame(std::string& out, BatchPosition position, std::string_view bytes)
{
    const Header header { static_cast<uint32_t>(position), static_cast<uint32_t>(bytes.size()), checksumOf(bytes) };
    char buffer[headerSize];
    std::memcpy(buffer, &header, headerSize);
    out.append(buffer, headerSize);
    out.append(bytes);
}

std::optional<Frame> decodeFrame(std::string_view data)
{
    Header header;
    if (data.size() < headerSize)
        return std::nullopt;
    std::memcpy(&header, data.data(), headerSize);
    if (!isKnownMagic(header.magic) || data.size() - headerSize < header.length)
        return std::nullopt;
    const auto bytes = data.substr(headerSize, header.length);
    if (checksumOf(bytes) != header.checksum)
        return std::nullopt;
    return Frame { static_cast<BatchPosition>(header.magic), bytes, headerSize + bytes.size() };
}

std::optional<size_t> findBatchStart(std::string_view data)
{
    constexpr auto magic = static_cast<uint32_t>(BatchPosition::First);
    char buffer[sizeof(magic)];
    std::memcpy(buffer, &magic, sizeof(magic));
    const std::string_view pattern(buffer, sizeof(magic));
    for (auto offset = data.find(pattern); offset != std::string_view::npos; offset = data.find(pattern, offset + 1))
        if (decodeFrame(data.substr(offset)))
            return offset;
    return std::nullopt;
}

std::string encodeChecksummedFile(std::string_view bytes)
{
    std::string file;
    file.reserve(headerSize + bytes.size());
    appendFrame(file, BatchPosition::First, bytes);
    return file;
}

std::optional<std::string_view> decodeChecksummedFile(std::string_view file)
{
    const auto frame = decodeFrame(file);
    if (!frame || frame->frameSize != file.size())
        return std::nullopt;
    return frame->bytes;
}

} // namespace teasel
