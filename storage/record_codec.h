// The encoding of records in a segment: [magic number, length, xxhash64 of the bytes, bytes].
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teasel {

// The position of a record in its batch. A batch is made durable by one sync, and the next batch is written only after
// that sync. The values are the magic numbers on disk.
enum class BatchPosition : uint32_t {
    First = 0x31524c54, // "TLR1"
    Following = 0x32524c54, // "TLR2"
};

struct Frame {
    BatchPosition position = BatchPosition::First;
    std::string_view bytes;
    size_t frameSize = 0;
};

void appendFrame(std::string& out, BatchPosition, std::string_view bytes);

// Decodes the record at the beginning of `data`; nothing when it is truncated or does not match its checksum.
std::optional<Frame> decodeFrame(std::string_view data);

// The offset of the first valid record that begins a batch; nothing when there is none.
std::optional<size_t> findBatchStart(std::string_view data);

// Encodes the contents of a file as one checksummed record.
std::string encodeChecksummedFile(std::string_view bytes);

// Decodes such a file; nothing when it is damaged.
std::optional<std::string_view> decodeChecksummedFile(std::string_view file);

} // namespace teasel
