#include "main/teasel_output.h"

#include "main/teasel_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace teasel {

namespace {

    // The fields ordered by name; the map of a Struct has no defined order.
    std::map<std::string, google::protobuf::Value> sortedFields(const google::protobuf::Struct& object)
    {
        return { object.fields().begin(), object.fields().end() };
    }

    std::string valueOrDefault(const std::string& text, std::string_view other)
    {
        return text.empty() ? std::string(other) : text;
    }

} // namespace

std::string Table::text() const
{
    std::vector<size_t> widths;
    for (const auto& row : m_rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    std::string out;
    for (const auto& row : m_rows) {
        std::string line;
        for (size_t n = 0; n < row.size(); ++n)
            line += fmt::format("{:<{}}  ", row[n], widths[n]);
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + '\n';
    }
    return out;
}

std::string indented(std::string_view text)
{
    std::string out;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size() - 1) + 1;
        out += "    ";
        out += text.substr(0, end);
        text.remove_prefix(end);
    }
    return out;
}

void Output::printLine(std::string_view text) { m_out << text << '\n'; }

void Output::printError(std::string_view text) { m_err << text << '\n'; }

void Output::print(std::string_view text) { m_out << text; }

void Output::show(const google::protobuf::Message& message, const Table& table)
{
    print(m_json ? toJson(message) : table.text());
}

void Output::showList(const std::string& name, const google::protobuf::ListValue& list)
{
    if (list.values().empty()) {
        printLine(fmt::format("\n{}: none", name));
        return;
    }
    std::set<std::string> columns;
    for (const auto& it : list.values()) {
        for (const auto& field : it.struct_value().fields())
            columns.insert(field.first);
    }
    Table table({ columns.begin(), columns.end() });
    for (const auto& it : list.values()) {
        const auto fields = sortedFields(it.struct_value());
        std::vector<std::string> row;
        for (const auto& column : columns) {
            const auto field = fields.find(column);
            row.push_back(field == fields.end() ? "" : toText(field->second));
        }
        table.add(std::move(row));
    }
    print(fmt::format("\n{}\n{}", name, table.text()));
}

void Output::showObject(const google::protobuf::Struct& object)
{
    if (m_json) {
        print(toJson(object));
        return;
    }
    Table table({ "name", "value" });
    const auto fields = sortedFields(object);
    for (const auto& it : fields) {
        if (it.second.has_struct_value()) {
            for (const auto& nested : sortedFields(it.second.struct_value()))
                table.add({ fmt::format("{}.{}", it.first, nested.first), toText(nested.second) });
        } else if (!it.second.has_list_value()) {
            table.add({ it.first, toText(it.second) });
        }
    }
    print(table.text());
    for (const auto& it : fields) {
        if (it.second.has_list_value())
            showList(it.first, it.second.list_value());
    }
}

ExitCode Output::reportRefusal(const ApiResponse& response)
{
    if (m_json)
        printLine(response.body);
    const auto error = readErrorBody(response.body);
    auto text = fmt::format("refused ({}): {}", valueOrDefault(error.kind, fmt::format("HTTP {}", response.status)),
        valueOrDefault(error.message, "the server returned no reason"));
    if (!error.run.empty())
        text += fmt::format("\nrun: {}", error.run);
    if (!error.requestId.empty())
        text += fmt::format("\nrequest id: {}", error.requestId);
    text += fmt::format("\nnext: {}", valueOrDefault(error.advice, "check teasel status and the instance's log"));
    if (error.retryAfterMs > 0)
        text += fmt::format(" (after {} ms)", error.retryAfterMs);
    printError(text);
    return ExitCode::Refused;
}

ExitCode Output::reportRefusal(const Error& error)
{
    const auto& answer = errorInfo(error.kind);
    printError(fmt::format("refused ({}): {}\nnext: {}", answer.name, error.message, answer.advice));
    return ExitCode::Refused;
}

ExitCode Output::reportUnreachable(const ApiFailure& failure, std::string_view advice)
{
    printError(fmt::format("no answer: {}\nnext: {}", failure.message, advice));
    return ExitCode::Unreachable;
}

} // namespace teasel
