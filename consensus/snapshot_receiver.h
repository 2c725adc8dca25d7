// Assembles a snapshot from chunks.
#pragma once

#include "consensus.pb.h"
#include "storage/recovered_log.h"

#include <optional>

namespace teasel {

class SnapshotReceiver {
public:
    // Appends the chunk if it is the next one. Returns the whole snapshot after the last chunk.
    std::optional<SnapshotImage> addChunk(const schema::SnapshotChunk&);

    // The offset at which the next chunk of this snapshot must begin.
    uint64_t nextOffset(const schema::SnapshotMeta&) const;

    void clear() { m_partialImage = {}; }

private:
    bool isReceiving(const schema::SnapshotMeta&) const;

    SnapshotImage m_partialImage;
};

} // namespace teasel
