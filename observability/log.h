// Structured log lines, one for each change of state, in the form `level=info event=NAME time=... key=value`.
#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "observability/line_writer.h"

#include <fmt/format.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teasel {

enum class LogLevel : uint8_t {
    Debug = 0,
    Info = 1,
    Warning = 2,
    Error = 3,
};

std::string_view nameOf(LogLevel);

// Parses the name of a level as used in settings. Fails with BadRequest.
Result<LogLevel> logLevelFromName(std::string_view);

// One `key=value` pair of a line. Accepts any value that fmt can format.
struct LogField {
    template <class Value>
    LogField(std::string_view fieldKey, const Value& fieldValue)
        : key(fieldKey)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string_view key;
    std::string value;
};

// Receives one complete line, including its line feed. Must be thread-safe.
using LogSink = std::function<void(std::string_view line)>;

// Writes a line to standard error with a single fwrite(). Write errors are ignored.
void writeToStandardError(std::string_view line);

// The log of a process. Thread-safe.
class Log {
public:
    Log(LogLevel minLevel, const Clock&, LogSink = writeToStandardError);
    // Writes to a line writer, which drops lines of low priority first.
    Log(LogLevel minLevel, const Clock&, LineWriter&);

    void write(LogLevel, std::string_view event, std::initializer_list<LogField> = {}) const;

    // Writes a line of level Info with fields that are collected at run time.
    void infoWithFields(std::string_view event, const std::vector<std::pair<std::string_view, std::string>>& fields,
        LinePriority = LinePriority::Essential) const;

    // Whether detail lines of level Info are written now.
    bool keepsDetail() const;

    // Counts detail lines that the caller did not produce because keepsDetail() was false.
    void countDroppedDetail(uint64_t lines) const;

    void debug(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        write(LogLevel::Debug, event, fields);
    }
    void info(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        write(LogLevel::Info, event, fields);
    }
    void warning(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        write(LogLevel::Warning, event, fields);
    }
    void error(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        write(LogLevel::Error, event, fields);
    }

    bool isEnabled(LogLevel level) const { return level >= m_minLevel.load(std::memory_order_relaxed); }
    void setLevel(LogLevel minLevel) { m_minLevel.store(minLevel, std::memory_order_relaxed); }

private:
    void append(std::string_view line, LinePriority) const;
    std::string linePrefix(LogLevel, std::string_view event) const;

    std::atomic<LogLevel> m_minLevel;
    const Clock& m_clock;
    LogSink m_sink;
    LineWriter* m_writer = nullptr; // used instead of m_sink if set
};

// Formats a value for a log line. A value is quoted if it is empty or contains a space, a quote, a backslash, an equals
// sign or a control character; quotes, backslashes and control characters are escaped.
std::string quoteLogValue(std::string_view);

} // namespace teasel
