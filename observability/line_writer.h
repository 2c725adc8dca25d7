// Writes log lines to a file descriptor without blocking on its reader. Lines are kept in a bounded buffer; lines that
// do not fit, or that exceed the rate limit, are dropped and counted.
#pragma once

#include "core/clock.h"
#include "observability/line_priority.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace teasel {

struct LineWriterOptions {
    int descriptor = 1; // standard output
    size_t maxBufferedBytes = 512 << 10;
    size_t bytesPerSecond = 512 << 10; // rate limit; up to one second of unused budget accumulates for bursts
    double essentialShare = 0.25; // share of the buffer and of the budget that only essential lines may use
};

class LineWriter {
public:
    explicit LineWriter(LineWriterOptions options, const Clock& clock)
        : m_options(options)
        , m_clock(clock)
    {
    }

    // Adds one line, which must end with a line feed, to the buffer, or drops it. Thread-safe.
    void append(std::string_view line, LinePriority = LinePriority::Essential);

    // Whether a short line of this priority would be kept now, so that a line that would be dropped need not be
    // formatted. Thread-safe.
    bool admits(LinePriority);

    // Counts lines that the caller did not format. Thread-safe.
    void countDropped(uint64_t lines);

    // Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    // Writes until the buffer is empty or the given time has passed. Called when the process exits.
    void flushWithTimeout(Milliseconds);

private:
    void writeAvailable();
    void refillBudget(Instant now);
    bool hasRoomFor(size_t bytes, LinePriority) const;

    LineWriterOptions m_options;
    const Clock& m_clock;
    std::mutex m_mutex;
    std::string m_buffer; // guarded by m_mutex, like all members below
    uint64_t m_droppedLines = 0; // since the last line that reported them
    Instant m_nextDropReport {};
    double m_byteBudget = 0; // bytes that the rate limit allows now
    Instant m_budgetRefilledAt {};
};

} // namespace teasel
