#include "consensus/snapshot_receiver.h"

#include <utility>

namespace teasel {

bool SnapshotReceiver::isOf(const schema::SnapshotMeta& meta) const
{
    return m_image.meta.index() == meta.index() && m_image.meta.term() == meta.term();
}

uint64_t SnapshotReceiver::nextOffset(const schema::SnapshotMeta& meta) const
{
    return isOf(meta) ? m_image.data.size() : 0;
}

std::optional<SnapshotImage> SnapshotReceiver::take(const schema::SnapshotChunk& chunk)
{
    if (!isOf(chunk.meta()))
        m_image = { chunk.meta(), {} };
    if (chunk.offset() != m_image.data.size())
        return std::nullopt;
    m_image.data += chunk.data();
    if (!chunk.last())
        return std::nullopt;
    return std::exchange(m_image, {});
}

} // namespace teasel
