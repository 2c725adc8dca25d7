// The form of records in a segment: [mark, length, xxhash64 of the bytes, bytes].
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teasel {

// Where a record stands in the batch that one sync made durable. A batch is
// begun only after the one before it was synced.
enum class RecordPlace : uint32_t {
    First = 0x31524c54, // "TLR1"
    Following = 0x32524c54, // "TLR2"
};

struct FramedRecord {
    RecordPlace place = RecordPlace::First;
    std::string_view bytes;
    size_t frameSize = 0;
};

void appendFramed(std::string& out, RecordPlace, std::string_view bytes);

// The record at the beginning of `data`; nothing when it is cut short or does not match its checksum.
std::optional<FramedRecord> readFramed(std::string_view data);

// The place of the first whole record that begins a batch, nothing when there is none.
std::optional<size_t> findBatchStart(std::string_view data);

// A whole file with one checksum, and back; nothing when it is damaged.
std::string sealFile(std::string_view bytes);
std::optional<std::string_view> openSealedFile(std::string_view file);

} // namespace teasel
