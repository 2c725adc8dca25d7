#include "observability/line_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace teasel {

namespace {

    constexpr size_t pieceBytes = 4'096; // a pipe that is ready takes this much without blocking
    constexpr Milliseconds retryEvery { 5 };

} // namespace

void LineWriter::take(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    const auto now = m_clock.now();
    const auto rate = static_cast<double>(m_options.bytesPerSecond);
    const auto passed = m_refilledAt == Instant() ? 1.0 : std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_allowance = std::min(rate, m_allowance + passed * rate);
    if (m_buffer.size() + line.size() > m_options.maxBufferedBytes || static_cast<double>(line.size()) > m_allowance) {
        ++m_dropped;
        return;
    }
    m_allowance -= static_cast<double>(line.size());
    if (m_dropped > 0)
        m_buffer += fmt::format("level=warning event=log_lines_dropped lines={}\n", std::exchange(m_dropped, 0));
    m_buffer += line;
}

void LineWriter::writeSome()
{
    size_t done = 0;
    while (done < m_buffer.size()) {
        pollfd ready { m_options.descriptor, POLLOUT, 0 };
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
            break;
        const auto n
            = write(m_options.descriptor, m_buffer.data() + done, std::min(pieceBytes, m_buffer.size() - done));
        if (n <= 0)
            break;
        done += static_cast<size_t>(n);
    }
    m_buffer.erase(0, done);
}

void LineWriter::flush()
{
    const std::lock_guard lock(m_mutex);
    writeSome();
}

void LineWriter::flushFor(Milliseconds most)
{
    const auto end = m_clock.now() + most;
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            writeSome();
            if (m_buffer.empty())
                return;
        }
        if (m_clock.now() >= end)
            return;
        std::this_thread::sleep_for(retryEvery);
    }
}

} // namespace teasel
