// Writes log lines to standard output without ever waiting for its reader.
// Lines wait in a bounded buffer; what does not fit, or comes faster than the
// allowed rate, is counted and left out.
#pragma once

#include "core/clock.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace teasel {

struct LineWriterOptions {
    int descriptor = 1;
    size_t maxBufferedBytes = 512 << 10;
    size_t bytesPerSecond = 512 << 10; // beyond it lines are left out; a burst of one second may be saved up
};

class LineWriter {
public:
    explicit LineWriter(LineWriterOptions options, const Clock& clock)
        : m_options(options)
        , m_clock(clock)
    {
    }

    // Takes one line with its line feed. Safe from any thread.
    void take(std::string_view line);

    // Writes as much as the descriptor takes at once.
    void flush();

    // Waits for the reader for at most this long; for the end of the process.
    void flushFor(Milliseconds);

private:
    void writeSome();

    LineWriterOptions m_options;
    const Clock& m_clock;
    std::mutex m_mutex;
    std::string m_buffer; // guarded by m_mutex, as is all below
    uint64_t m_dropped = 0;
    double m_allowance = 0;
    Instant m_refilledAt {};
};

} // namespace teasel
