// Structured log lines: one line a change of state, as `level=info event=NAME time=... key=value`.
#pragma once

#include "core/clock.h"
#include "core/result.h"

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

// The level of a name as it stands in the settings. Fails with BadRequest.
Result<LogLevel> logLevelFromName(std::string_view);

// One `key=value` of a line; takes whatever fmt can format.
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

// Takes one whole line, with its line feed. Called from any thread.
using LogSink = std::function<void(std::string_view line)>;

// Writes a line to standard error in one piece; failures to write are ignored.
void writeToStandardError(std::string_view line);

// The log of a process. Safe from any thread.
class Log {
public:
    Log(LogLevel least, const Clock&, LogSink = writeToStandardError);

    void write(LogLevel, std::string_view event, std::initializer_list<LogField> = {}) const;

    // The same for fields that are not known where the line is written.
    void infoOf(std::string_view event, const std::vector<std::pair<std::string_view, std::string>>& fields) const;

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

    bool isOn(LogLevel level) const { return level >= m_least.load(std::memory_order_relaxed); }
    void setLevel(LogLevel least) { m_least.store(least, std::memory_order_relaxed); }

private:
    std::string head(LogLevel, std::string_view event) const;

    std::atomic<LogLevel> m_least;
    const Clock& m_clock;
    LogSink m_sink;
};

// A value as it stands in a line: quoted when it is empty or holds a space, a
// quote, an equals sign or a control character, which are then escaped.
std::string quoteLogValue(std::string_view);

} // namespace teasel
