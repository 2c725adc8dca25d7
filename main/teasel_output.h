// Output of the operators' command line tool: tables for people, JSON for programs.
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

// The outcome of a command and exit code of the process.
enum class ExitCode : int {
    Accepted = 0,
    Findings = 1, // of `config check`
    Pending = 2,
    UnusableInput = 2, // of `config check`
    Refused = 3,
    Unreachable = 4,
    Usage = 64,
};

// Rows of text in aligned columns; the first row is the header.
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

// Indents each line by four spaces.
std::string indented(std::string_view);

class Output {
public:
    Output(std::ostream& out, std::ostream& err)
        : m_out(out)
        , m_err(err)
    {
    }

    void setJson(bool isJson) { m_json = isJson; }
    bool isJson() const { return m_json; }

    void printLine(std::string_view);
    void printError(std::string_view); // to standard error, with a line break
    void print(std::string_view);

    // Prints the message in JSON mode, otherwise the table.
    void show(const google::protobuf::Message&, const Table&);

    // Prints an object without a known schema: scalars as lines, lists of objects as tables.
    void showObject(const google::protobuf::Struct&);

    // Print a failure with advice on what to do next and return the exit code.
    ExitCode reportRefusal(const ApiResponse&);
    ExitCode reportRefusal(const Error&);
    ExitCode reportUnreachable(const ApiFailure&, std::string_view advice);

private:
    void showList(const std::string& name, const google::protobuf::ListValue&);

    std::ostream& m_out;
    std::ostream& m_err;
    bool m_json = false;
};

} // namespace teasel
