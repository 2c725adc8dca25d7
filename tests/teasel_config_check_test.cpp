#include "main/teasel_tool.h"
#include "platform/json_fields.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace teasel {

namespace {

    constexpr std::string_view valid
        = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":9,"priority":1,"service":"s","maxAttempts":1,"slackFactor":2}],"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["k1"],"weight":2}]})";

    // Gives one result for every request and records the requests.
    class FixedTransport final : public ApiTransport {
    public:
        explicit FixedTransport(ApiResult result)
            : m_result(std::move(result))
        {
        }

        ApiResult send(const std::string&, const ApiRequest& call) override
        {
            paths.push_back(call.method + " " + call.path);
            return m_result;
        }

        std::vector<std::string> paths;

    private:
        ApiResult m_result;
    };

    // A folder that is removed with its files at the end of the test.
    class Folder {
    public:
        Folder()
            : m_path(std::filesystem::temp_directory_path() / ("teasel-check-" + std::to_string(getpid())))
        {
            std::filesystem::create_directories(m_path);
        }
        ~Folder() { std::filesystem::remove_all(m_path); }
        Folder(const Folder&) = delete;
        Folder& operator=(const Folder&) = delete;

        std::string write(const std::string& name, std::string_view text) const
        {
            std::ofstream(m_path / name, std::ios::binary) << text;
            return path(name);
        }
        std::string path(const std::string& name) const { return (m_path / name).string(); }

    private:
        std::filesystem::path m_path;
    };

    struct ToolResult {
        int code = 0;
        std::string out;
        std::string err;
    };

    ToolResult run(ApiTransport& transport, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), { "--server", "http://a", "config", "check" });
        std::ostringstream out;
        std::ostringstream err;
        const auto code = runTool(arguments, transport, out, err);
        return { code, out.str(), err.str() };
    }

    std::string replaced(std::string_view text, std::string_view old, std::string_view by)
    {
        std::string out(text);
        return out.replace(out.find(old), old.size(), by);
    }

    bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

} // namespace

TEST_CASE("the exit code says whether there are findings, and whether the input is usable")
{
    const Folder folder;
    const auto next = replaced(valid, "\"version\":7", "\"version\":8");
    const auto file = folder.write("next.json", next);
    const auto lowered = folder.write("lowered.json", replaced(next, "\"weight\":2", "\"weight\":1"));
    const auto warned = folder.write("warned.json", replaced(next, "\"slackFactor\":2", "\"slackFactor\":0.5"));
    const auto refused = folder.write("refused.json", replaced(next, "\"weight\":2", "\"weight\":0"));
    const auto broken = folder.write("broken.json", "{\n \"version\": }");
    const auto inForce = folder.write("inforce.json", valid);
    struct Row {
        std::vector<std::string> arguments;
        int code;
        std::string_view part;
    };
    for (const auto& it : std::vector<Row> {
             { { file }, 0, "compared with version 7" },
             { { lowered }, 1, "  warning: team t: weight 2 -> 1" },
             { { warned }, 1, ":1:123: warning: routes[0].slackFactor: route r" },
             { { refused }, 1, "left out: the server would refuse the file" },
             { { inForce }, 0, "already in force" },
             { { inForce, "--against", file }, 1, "error: version 7 is below 8" },
             { { broken }, 2, "broken.json:2:13: error: syntax error" },
             { { folder.path("none.json") }, 2, "none.json can't be read" },
             { { folder.path("") }, 2, "can't be read" },
             { { file, "--against", broken }, 2, "broken.json is not a valid configuration" },
             { { file, "--against", folder.path("none.json") }, 2, "none.json can't be read" },
             { {}, 64, "file is required" },
         }) {
        FixedTransport transport(ApiResponse { 200, std::string(valid), {} });
        const auto result = run(transport, it.arguments);
        CHECK_MESSAGE(result.code == it.code, it.part);
        CHECK_MESSAGE(contains(result.out + result.err, it.part), result.out << result.err);
    }
}

TEST_CASE("the version in force is only read, and without it the rest of the check is done")
{
    const Folder folder;
    const auto file = folder.write("next.json", replaced(valid, "\"version\":7", "\"version\":8"));
    struct Row {
        ApiResult result;
        std::string_view reason;
    };
    for (const auto& it : std::vector<Row> {
             { ApiFailure { false, "no connection" }, "no connection" },
             { ApiResponse { 503, R"({"error":"there is no configuration yet"})", {} }, "answered 503" },
             { ApiResponse { 404, "", {} }, "control address of a core instance" },
             { ApiResponse { 200, "<html>", {} }, "the server's answer is not a valid configuration" },
         }) {
        FixedTransport transport(it.result);
        const auto result = run(transport, { file });
        CHECK(result.code == 0);
        CHECK(contains(result.out, "comparison with the version in force left out"));
        CHECK_MESSAGE(contains(result.out, it.reason), result.out);
        CHECK(transport.paths == std::vector<std::string> { "GET /config/get" });
    }
    FixedTransport unused(ApiFailure {});
    CHECK(run(unused, { file, "--against", file }).code == 0);
    CHECK(unused.paths.empty());
}

TEST_CASE("JSON output has the findings with their places, and the differences")
{
    const Folder folder;
    const auto file = folder.write("next.json", replaced(valid, "\"slackFactor\":2", "\"slackFactor\":0"));
    FixedTransport transport(ApiResponse { 200, std::string(valid), {} });
    const auto result = run(transport, { file, "--json" });
    CHECK(result.code == 1);
    const auto out = platform::Json::parse(result.out);
    CHECK(out["compared"] == true);
    REQUIRE(out["findings"].size() == 1);
    CHECK(out["findings"][0]["severity"] == "warning");
    CHECK(out["findings"][0]["path"] == "routes[0].slackFactor");
    CHECK(out["findings"][0]["column"] == 123);
    REQUIRE(out["differences"].size() == 2);
    CHECK(out["differences"][0]["message"] == "route r (h/p/): slackFactor 2 -> 0");
    CHECK(out["differences"][1]["severity"] == "error"); // the same version with other content
}

} // namespace teasel
