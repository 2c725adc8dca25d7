#include "observability/line_writer.h"

#include "observability/log.h"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>

#include <unistd.h>

namespace teasel {

namespace {

    // Lines that a writer with a small budget hands to its descriptor.
    class WriterPipe {
    public:
        WriterPipe()
        {
            REQUIRE(pipe(m_ends.data()) == 0);
            LineWriterOptions options;
            options.descriptor = m_ends[1];
            options.bytesPerSecond = 10'000;
            writer.emplace(options, clock);
        }
        ~WriterPipe()
        {
            close(m_ends[0]);
            close(m_ends[1]);
        }
        WriterPipe(const WriterPipe&) = delete;
        WriterPipe& operator=(const WriterPipe&) = delete;

        std::string read() const
        {
            writer->flush();
            std::string out(64 << 10, '\0');
            const auto n = ::read(m_ends[0], out.data(), out.size());
            out.resize(n > 0 ? static_cast<size_t>(n) : 0);
            return out;
        }

        ManualClock clock;
        mutable std::optional<LineWriter> writer;

    private:
        std::array<int, 2> m_ends {};
    };

    const std::string line(99, 'x');

} // namespace

TEST_CASE("lines about single tasks do not displace essential ones")
{
    constexpr int lines = 200; // twice the budget
    const WriterPipe pipe;
    for (int n = 0; n < lines; ++n)
        pipe.writer->append("detail " + line + "\n", LinePriority::Detail);
    CHECK_FALSE(pipe.writer->admits(LinePriority::Detail));
    CHECK(pipe.writer->admits(LinePriority::Essential));
    pipe.writer->append("leader_lag\n");
    CHECK(pipe.read().find("leader_lag\n") != std::string::npos);
}

TEST_CASE("dropped lines are counted once a second, with those that were never formatted")
{
    WriterPipe pipe;
    for (int n = 0; n < 200; ++n)
        pipe.writer->append(line + "\n", LinePriority::Detail);
    pipe.read();
    pipe.clock.advance(std::chrono::milliseconds(100));
    for (int n = 0; n < 20; ++n)
        pipe.writer->append("short\n", LinePriority::Detail);
    const auto first = pipe.read();
    const std::string event = "event=log_lines_dropped";
    REQUIRE(first.find(event) != std::string::npos);
    CHECK(first.find(event) == first.rfind(event));
    const Log log(LogLevel::Info, pipe.clock, *pipe.writer);
    log.countDroppedDetail(7);
    pipe.clock.advance(std::chrono::seconds(2));
    log.info("next");
    CHECK(pipe.read().find("event=log_lines_dropped lines=7\n") != std::string::npos);
}

} // namespace teasel
