#include "node/log_metrics.h"

#include <utility>

namespace teasel {

void LogMetrics::update(const ReplicatedLog& log)
{
    const auto& records = log.replica().log();
    const auto& disk = log.counters().disk;
    auto& metrics = m_context.metrics;
    metrics.gauge(ProcessGauge::LogRecords).Set(static_cast<double>(records.lastIndex() - records.snapshot().index()));
    metrics.gauge(ProcessGauge::LogBytes).Set(static_cast<double>(records.bytes()));
    metrics.gauge(ProcessGauge::DiskBytes).Set(static_cast<double>(disk.bytesOnDisk));
    const auto snapshots = disk.snapshots - std::exchange(m_reportedSnapshots, disk.snapshots);
    metrics.counter(ProcessCounter::Snapshots).Increment(static_cast<double>(snapshots));
    if (std::exchange(m_reportedSegments, disk.segmentsReclaimed) != disk.segmentsReclaimed)
        m_context.log.warning("disk_full",
            { { "segments_removed", disk.segmentsReclaimed }, { "bytes_on_disk", disk.bytesOnDisk },
                { "log_bytes", records.bytes() } });
}

} // namespace teasel
