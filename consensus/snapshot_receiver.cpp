#include "consensus/snapshot_receiver.h"

#include <utility>

namespace teasel {

bool SnapshotReceiver::isReceiving(const schema::SnapshotMeta& meta) const
{
    return m_partialImage.meta.index() == meta.index() && m_partialImage.meta.term() == meta.term();
}

uint64_t SnapshotReceiver::nextOffset(const schema::SnapshotMeta& meta) const
{
    return isReceiving(meta) ? m_partialImage.data.size() : 0;
}

std::optional<SnapshotImage> SnapshotReceiver::addChunk(const schema::SnapshotChunk& chunk)
{
    if (!isReceiving(chunk.meta()))
        m_partialImage = { chunk.meta(), {} };
    if (chunk.offset() != m_partialImage.data.size())
        return std::nullopt;
    m_partialImage.data += chunk.data();
    if (!chunk.last())
        return std::nullopt;
    return std::exchange(m_partialImage, {});
}

} // namespace teasel
