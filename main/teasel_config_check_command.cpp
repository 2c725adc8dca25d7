#include "main/teasel_config_check_command.h"

#include "platform/call_codec.h"
#include "platform/configuration_check.h"
#include "platform/configuration_differences.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>

namespace teasel {

namespace {

    struct CheckOptions {
        std::string file;
        std::string against;
    };

    // The version in force, or the reason why there is none to compare with.
    struct Reference {
        std::optional<schema::JobConfiguration> configuration;
        std::string reason;
        bool isUnusableInput = false; // the operator named a file that can't be used
    };

    std::optional<std::string> readFile(const std::string& name)
    {
        std::ifstream file(name, std::ios::binary);
        std::ostringstream text;
        // Opening a folder succeeds, reading it does not.
        if (!file || file.peek() == std::ifstream::traits_type::eof() || !(text << file.rdbuf()))
            return std::nullopt;
        return text.str();
    }

    Reference decodeReference(std::string_view text, std::string_view source)
    {
        auto decoded = valueOrError([&] { return platform::decodeConfiguration(text); });
        if (const auto* error = std::get_if<Error>(&decoded))
            return { std::nullopt, fmt::format("{} is not a valid configuration: {}", source, error->message) };
        return { std::move(std::get<0>(decoded)), {} };
    }

    Reference readReference(Session& session, const std::string& against)
    {
        if (!against.empty()) {
            const auto text = readFile(against);
            auto out = text ? decodeReference(*text, against)
                            : Reference { std::nullopt, fmt::format("{} can't be read or is empty", against) };
            out.isUnusableInput = !out.configuration;
            return out;
        }
        const auto outcome = session.client.send({ "GET", "/config/get", {}, {} }, RetryPolicy::Always);
        if (const auto* failure = std::get_if<ApiFailure>(&outcome))
            return { std::nullopt, failure->message };
        const auto& response = std::get<ApiResponse>(outcome);
        if (response.status != 200)
            return { std::nullopt,
                fmt::format("the server answered {} to GET /config/get; give the control address of a core instance",
                    response.status) };
        return decodeReference(response.body, "the server's answer");
    }

    platform::Json toJsonValue(const platform::Finding& it)
    {
        platform::Json out { { "severity", platform::severityName(it.severity) }, { "message", it.message } };
        if (!it.path.empty())
            out["path"] = it.path;
        if (it.place.line > 0) {
            out["line"] = it.place.line;
            out["column"] = it.place.column;
        }
        return out;
    }

    platform::Json toJsonValue(const std::vector<platform::Finding>& findings)
    {
        auto out = platform::Json::array();
        for (const auto& it : findings)
            out.push_back(toJsonValue(it));
        return out;
    }

    void showText(Session& session, const std::string& file, const platform::ConfigurationCheck& check,
        const std::vector<platform::Finding>& changes)
    {
        for (const auto& it : check.findings)
            session.out.printLine(fmt::format("{}:{}:{}: {}: {}{}{}", file, it.place.line, it.place.column,
                platform::severityName(it.severity), it.path, it.path.empty() ? "" : ": ", it.message));
        if (!changes.empty())
            session.out.printLine("differences from the version in force:");
        for (const auto& it : changes)
            session.out.printLine(fmt::format("  {}: {}", platform::severityName(it.severity), it.message));
    }

    bool hasProblem(const std::vector<platform::Finding>& findings)
    {
        return std::any_of(findings.begin(), findings.end(),
            [](const auto& it) { return it.severity != platform::Severity::Information; });
    }

    ExitCode checkConfiguration(Session& session, const CheckOptions& options)
    {
        const auto text = readFile(options.file);
        if (!text) {
            session.out.printError(fmt::format("{} can't be read or is empty", options.file));
            return ExitCode::UnusableInput;
        }
        const auto check = platform::checkConfigurationText(*text);
        Reference reference;
        std::vector<platform::Finding> changes;
        if (check.configuration) {
            reference = readReference(session, options.against);
            if (reference.configuration)
                changes = platform::differences(*reference.configuration, *check.configuration);
        } else {
            reference.reason = "the server would refuse the file";
        }
        const auto comparison = reference.configuration
            ? fmt::format("compared with version {}", reference.configuration->version())
            : fmt::format("comparison with the version in force left out: {}", reference.reason);
        if (session.out.isJson()) {
            const platform::Json out { { "findings", toJsonValue(check.findings) },
                { "differences", toJsonValue(changes) }, { "compared", reference.configuration.has_value() },
                { "comparison", comparison } };
            session.out.printLine(out.dump(2, ' ', false, platform::Json::error_handler_t::replace));
        } else {
            showText(session, options.file, check, changes);
            session.out.printLine(comparison);
        }
        if (!check.isJsonObject || reference.isUnusableInput)
            return ExitCode::UnusableInput;
        return hasProblem(check.findings) || hasProblem(changes) ? ExitCode::Findings : ExitCode::Accepted;
    }

} // namespace

void addConfigCheckCommand(CLI::App& config, Command& selected)
{
    auto options = std::make_shared<CheckOptions>();
    auto& check = *config.add_subcommand("check",
        "Check a configuration of the job plane before it is sent with POST /config/put, and compare it with the "
        "version in force. --server is the control address of a core instance.\n"
        "Exit codes: 0 nothing found, 1 warnings or errors, 2 unusable input, 64 usage");
    check.add_option("file", options->file, "File with the JSON that would be sent")->required();
    check.add_option("--against", options->against, "File to compare with instead of the version in force");
    setHandler(check, selected, options, checkConfiguration);
}

} // namespace teasel
