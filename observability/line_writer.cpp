#include "observability/line_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace teasel {

namespace {

    // Not more than PIPE_BUF, so that a pipe reported as writable accepts it without blocking.
    constexpr size_t maxWriteBytes = 4'096;
    constexpr Milliseconds retryInterval { 5 };
    constexpr size_t shortLineBytes = 256;
    constexpr Milliseconds dropReportInterval { 1'000 };

} // namespace

void LineWriter::refillBudget(Instant now)
{
    const auto rate = static_cast<double>(m_options.bytesPerSecond);
    const auto elapsedSeconds
        = m_budgetRefilledAt == Instant() ? 1.0 : std::chrono::duration<double>(now - m_budgetRefilledAt).count();
    m_budgetRefilledAt = now;
    m_byteBudget = std::min(rate, m_byteBudget + elapsedSeconds * rate);
}

bool LineWriter::hasRoomFor(size_t bytes, LinePriority priority) const
{
    const double reserved = priority == LinePriority::Essential ? 0 : m_options.essentialShare;
    return static_cast<double>(m_buffer.size() + bytes)
        <= (1 - reserved) * static_cast<double>(m_options.maxBufferedBytes)
        && static_cast<double>(bytes) + reserved * static_cast<double>(m_options.bytesPerSecond) <= m_byteBudget;
}

bool LineWriter::admits(LinePriority priority)
{
    const std::lock_guard lock(m_mutex);
    refillBudget(m_clock.now());
    return hasRoomFor(shortLineBytes, priority);
}

void LineWriter::countDropped(uint64_t lines)
{
    const std::lock_guard lock(m_mutex);
    m_droppedLines += lines;
}

void LineWriter::append(std::string_view line, LinePriority priority)
{
    const std::lock_guard lock(m_mutex);
    const auto now = m_clock.now();
    refillBudget(now);
    if (!hasRoomFor(line.size(), priority)) {
        ++m_droppedLines;
        return;
    }
    m_byteBudget -= static_cast<double>(line.size());
    if (m_droppedLines > 0 && now >= m_nextDropReport) {
        m_nextDropReport = now + dropReportInterval;
        m_buffer += fmt::format("level=warning event=log_lines_dropped lines={}\n", std::exchange(m_droppedLines, 0));
    }
    m_buffer += line;
}

void LineWriter::writeAvailable()
{
    size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd ready { m_options.descriptor, POLLOUT, 0 };
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
            break;
        const auto n = write(
            m_options.descriptor, m_buffer.data() + written, std::min(maxWriteBytes, m_buffer.size() - written));
        if (n <= 0)
            break;
        written += static_cast<size_t>(n);
    }
    m_buffer.erase(0, written);
}

void LineWriter::flush()
{
    const std::lock_guard lock(m_mutex);
    writeAvailable();
}

void LineWriter::flushWithTimeout(Milliseconds timeout)
{
    const auto end = m_clock.now() + timeout;
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            writeAvailable();
            if (m_buffer.empty())
                return;
        }
        if (m_clock.now() >= end)
            return;
        std::this_thread::sleep_for(retryInterval);
    }
}

} // namespace teasel
