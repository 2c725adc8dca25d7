#include "observability/log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace teasel {

namespace {

    constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

    bool needsQuotes(unsigned char c) { return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f; }

    void appendEscaped(std::string& out, char c)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            out += { '\\', c };
        else if (c == '\n')
            out += "\\n";
        else if (byte < ' ' || byte == 0x7f)
            out += fmt::format("\\x{:02x}", byte);
        else
            out += c;
    }

    std::string formatTime(WallTime at)
    {
        const auto ms = at.time_since_epoch().count();
        const auto seconds = static_cast<std::time_t>(ms / 1'000);
        return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), ms % 1'000);
    }

} // namespace

std::string_view nameOf(LogLevel level) { return levelNames[static_cast<size_t>(level) % levelNames.size()]; }

Result<LogLevel> logLevelFromName(std::string_view name)
{
    const auto* it = std::find(levelNames.begin(), levelNames.end(), name);
    if (it == levelNames.end())
        return fail(ErrorKind::BadRequest,
            fmt::format("log level: expected debug, info, warning or error, found \"{}\"", name));
    return static_cast<LogLevel>(it - levelNames.begin());
}

std::string quoteLogValue(std::string_view value)
{
    if (!value.empty() && std::none_of(value.begin(), value.end(), needsQuotes))
        return std::string(value);
    std::string out = "\"";
    for (const char c : value)
        appendEscaped(out, c);
    return out + '"';
}

void writeToStandardError(std::string_view line) { std::fwrite(line.data(), 1, line.size(), stderr); }

Log::Log(LogLevel minLevel, const Clock& clock, LogSink sink)
    : m_minLevel(minLevel)
    , m_clock(clock)
    , m_sink(std::move(sink))
{
}

Log::Log(LogLevel minLevel, const Clock& clock, LineWriter& writer)
    : m_minLevel(minLevel)
    , m_clock(clock)
    , m_writer(&writer)
{
}

void Log::append(std::string_view line, LinePriority priority) const
{
    if (m_writer != nullptr)
        m_writer->append(line, priority);
    else
        m_sink(line);
}

bool Log::keepsDetail() const
{
    return isEnabled(LogLevel::Info) && (m_writer == nullptr || m_writer->admits(LinePriority::Detail));
}

void Log::countDroppedDetail(uint64_t lines) const
{
    if (m_writer != nullptr && lines > 0 && isEnabled(LogLevel::Info))
        m_writer->countDropped(lines);
}

std::string Log::linePrefix(LogLevel level, std::string_view event) const
{
    return fmt::format("level={} event={} time={}", nameOf(level), event, formatTime(m_clock.wallNow()));
}

void Log::infoWithFields(std::string_view event, const std::vector<std::pair<std::string_view, std::string>>& fields,
    LinePriority priority) const
{
    if (!isEnabled(LogLevel::Info))
        return;
    auto line = linePrefix(LogLevel::Info, event);
    for (const auto& [key, value] : fields)
        line += fmt::format(" {}={}", key, quoteLogValue(value));
    line += '\n';
    append(line, priority);
}

void Log::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const
{
    if (!isEnabled(level))
        return;
    auto line = linePrefix(level, event);
    for (const auto& it : fields)
        line += fmt::format(" {}={}", it.key, quoteLogValue(it.value));
    line += '\n';
    append(line, LinePriority::Essential);
}

} // namespace teasel
