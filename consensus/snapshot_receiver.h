// Puts a snapshot together from chunks.
#pragma once

#include "consensus.pb.h"
#include "storage/recovered_log.h"

#include <optional>

namespace teasel {

class SnapshotReceiver {
public:
    // Takes the chunk if it is the next one. Gives the whole snapshot after the last.
    std::optional<SnapshotImage> take(const schema::SnapshotChunk&);

    // Where the next chunk of that snapshot must begin.
    uint64_t nextOffset(const schema::SnapshotMeta&) const;

    void clear() { m_image = {}; }

private:
    bool isOf(const schema::SnapshotMeta&) const;

    SnapshotImage m_image;
};

} // namespace teasel
