// What the operators' command line prints: tables for people, JSON for programs.
#pragma once

#include "core/result.h"
#include "main/teasel_http.h"

#include <google/protobuf/message.h>
#include <google/protobuf/struct.pb.h>

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// How a command ended; the exit code of the process.
enum class ExitCode : int {
    Accepted = 0,
    Pending = 2,
    Refused = 3,
    Unreachable = 4,
    Usage = 64,
};

// Rows of text in columns.
class Table {
public:
    explicit Table(std::vector<std::string> header)
        : m_rows { std::move(header) }
    {
    }

    void add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

// Each line of a text four spaces to the right.
std::string indented(std::string_view);

class Output {
public:
    Output(std::ostream& out, std::ostream& err)
        : m_out(out)
        , m_err(err)
    {
    }

    void useJson(bool json) { m_json = json; }
    bool json() const { return m_json; }

    void line(std::string_view);
    void note(std::string_view); // to standard error
    void raw(std::string_view);

    // The message as JSON, or the table.
    void show(const google::protobuf::Message&, const Table&);

    // An answer of unknown shape: scalars as lines, lists of objects as tables.
    void showObject(const google::protobuf::Struct&);

    // Failures, each with what to do next.
    ExitCode refused(const HttpReply&);
    ExitCode refused(const Error&);
    ExitCode unreachable(const HttpFailure&, std::string_view next);

private:
    void showList(const std::string& name, const google::protobuf::ListValue&);

    std::ostream& m_out;
    std::ostream& m_err;
    bool m_json = false;
};

} // namespace teasel
