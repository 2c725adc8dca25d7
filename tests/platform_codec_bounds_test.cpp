// Values out of range and malformed rows in the messages of the platform.
#include "platform/call_codec.h"
#include "platform/json_fields.h"
#include "platform/order_codec.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <random>

using namespace teasel;
using namespace teasel::platform;

namespace {

constexpr std::string_view jobId = "5c0e7a21d94b36f8";
const TaskKey task { { 0x5c0e7a21d94b36f8, 0, 1 }, 17 };

constexpr std::string_view configuration
    = R"({"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/p/","timeoutMs":3000,"targetLatencyMs":250,"priority":2,"service":"s","maxAttempts":3,"slackFactor":1.5,"recommendation":{"decideMs":9.3,"intervalMs":0.13,"validityMs":2500}}],"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["k1"],"priority":1,"weight":33,"cap":{"cpu":870867}}]})";
constexpr std::string_view job
    = R"({"spec":"x","startAtMs":5,"steps":[{"count":4,"cpu":500,"estimateMs":20,"antiAffinity":2,"mayMiss":1,"dependsOn":[0]}]})";
constexpr std::string_view announcement
    = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":16000},"labels":["a","r1-3"],"sequence":4,"born":12,"clockMs":5,"remainingMs":7})";
constexpr std::string_view listing
    = R"({"clockMs":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,800]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

std::string replaceOnce(std::string_view text, std::string_view what, std::string_view with)
{
    std::string out(text);
    const auto at = out.find(what);
    REQUIRE(at != std::string::npos);
    return out.replace(at, what.size(), with);
}

HttpOutcome answered(unsigned status, std::string body)
{
    HttpOutcome out;
    out.result = HttpCallResult::Answered;
    out.status = status;
    out.body = std::move(body);
    return out;
}

OrderResult decodeListing(std::string body)
{
    return decodeOrderOutcome(RenewLease {}, answered(200, std::move(body)));
}

template <class Function> bool fails(Function&& function)
{
    const auto outcome = valueOrError(std::forward<Function>(function));
    return std::holds_alternative<Error>(outcome);
}

schema::RoutedCall controlCall(std::string path, std::string body)
{
    schema::RoutedCall call;
    call.set_surface(schema::RoutedCall::CONTROL);
    call.set_method("POST");
    call.set_path(std::move(path));
    call.set_body(std::move(body));
    return call;
}

} // namespace

TEST_CASE("a run number beyond its range is not that of another run")
{
    const auto running = decodeListing(replaceOnce(listing, R"(17",2,)", R"(17",4294967298,)"));
    CHECK(running.running.empty());
    const auto ended = decodeListing(replaceOnce(listing, R"(9",1,)", R"(9",4294967297,)"));
    CHECK(ended.ended.empty());
    const auto longer = decodeListing(replaceOnce(listing, ".0.1.17", ".0.1.17.3"));
    CHECK(longer.running.empty());
}

TEST_CASE("a percentage or metric out of range counts as not reported")
{
    for (const char* value : { "-1", "1e300", "-1e300", "18446744073709551615", "\"41\"", "null" }) {
        CAPTURE(value);
        const auto percent = decodeListing(replaceOnce(listing, ",41,", fmt::format(",{},", value)));
        REQUIRE(percent.running.size() == 1);
        CHECK(percent.running[0].percent == 0);
        CHECK(percent.running[0].metric == 800);
        const auto metric = decodeListing(replaceOnce(listing, ",800]", fmt::format(",{}]", value)));
        REQUIRE(metric.running.size() == 1);
        CHECK(metric.running[0].percent == 41);
        CHECK(metric.running[0].metric == -1);
    }
}

TEST_CASE("a row that can't be read leaves the others valid and the listing incomplete")
{
    for (const char* row : { "7", "[]", "[null,1]", R"(["x",1])", R"(["1.0.0.0",-1])", R"(["1.0.0.0",4294967296])" }) {
        CAPTURE(row);
        const auto it = decodeListing(replaceOnce(listing, R"("running":[)", fmt::format(R"("running":[{},)", row)));
        CHECK(it.outcome == OrderOutcome::Done);
        REQUIRE(it.running.size() == 1);
        CHECK(it.running[0].task == task);
        CHECK(it.ended.size() == 1);
        CHECK_FALSE(it.isEndListComplete);
    }
    for (const char* row :
        { "7", "[]", R"([57,"x",1,"done"])", R"([57,"1.0.0.0",-1,"done"])", R"([57,"1.0.0.0",1,4])" }) {
        CAPTURE(row);
        const auto it = decodeListing(replaceOnce(listing, R"("finished":[)", fmt::format(R"("finished":[{},)", row)));
        CHECK(it.outcome == OrderOutcome::Done);
        CHECK(it.running.size() == 1);
        CHECK(it.ended.empty()); // The end after it would acknowledge the one that could not be read.
        CHECK_FALSE(it.isEndListComplete);
    }
    CHECK(decodeListing(std::string(listing)).isEndListComplete);
}

TEST_CASE("an answer whose incarnation can't be read does not show that an order was executed")
{
    for (const char* born : { "-9", "\"9\"", "[9]" }) {
        CAPTURE(born);
        const auto body = replaceOnce(listing, R"("born":9)", fmt::format(R"("born":{})", born));
        CHECK(decodeListing(body).outcome == OrderOutcome::UnknownOutcome);
        CHECK(decodeOrderOutcome(StopRun { task, 2 }, answered(200, body)).outcome == OrderOutcome::UnknownOutcome);
    }
    CHECK(decodeListing(replaceOnce(listing, R"("clockMs":482113)", R"("clockMs":18446744073709551615)")).clockMs == 0);
}

TEST_CASE("a leave whose incarnation can't be read removes none")
{
    const auto isRefused = [](std::string body) {
        const auto it = decodeCall(controlCall("/instances/i-1/leave", std::move(body)));
        return std::holds_alternative<schema::RoutedAnswer>(it) && std::get<schema::RoutedAnswer>(it).status() == 400;
    };
    for (const char* body : { "x", "[1]", R"({"born":-1})", R"({"born":"12"})", R"({"born":[]})", R"({"born":12)" })
        CHECK_MESSAGE(isRefused(body), body);
    CHECK_FALSE(isRefused(""));
    CHECK_FALSE(isRefused("{}"));
    CHECK_FALSE(isRefused(R"({"born":12})"));
}

TEST_CASE("numbers beyond 32 bits don't wrap")
{
    constexpr auto beyond = "4294967296";
    const auto queue = valueOrError([&] {
        return decodeConfiguration(
            replaceOnce(replaceOnce(configuration, R"("priority":2)", R"("priority":4294967296)"), R"("maxAttempts":3)",
                R"("maxAttempts":4294967296)"));
    });
    REQUIRE(std::holds_alternative<schema::JobConfiguration>(queue));
    CHECK(std::get<0>(queue).queues(0).priority() == UINT32_MAX);
    CHECK(std::get<0>(queue).queues(0).max_attempts() == UINT32_MAX);
    const auto team = valueOrError(
        [&] { return decodeConfiguration(replaceOnce(configuration, R"("priority":1)", R"("priority":4294967296)")); });
    CHECK(std::get<0>(team).teams(0).priority() == UINT32_MAX);
    const auto step = valueOrError([&] {
        return decodeJob(jobId,
            replaceOnce(replaceOnce(job, R"("antiAffinity":2)", fmt::format(R"("antiAffinity":{})", beyond)),
                R"("mayMiss":1)", fmt::format(R"("mayMiss":{})", beyond)));
    });
    CHECK(std::get<0>(step).steps(0).max_per_executor() == UINT32_MAX);
    CHECK(std::get<0>(step).steps(0).may_miss() == UINT32_MAX);
}

TEST_CASE("times that don't fit the clocks are refused")
{
    constexpr auto huge = "9223372036854775807";
    const auto refusesJob = [&](std::string_view name, std::string_view from) {
        return fails([&] { return decodeJob(jobId, replaceOnce(job, from, fmt::format(R"("{}":{})", name, huge))); });
    };
    CHECK(refusesJob("startAtMs", R"("startAtMs":5)"));
    CHECK(refusesJob("estimateMs", R"("estimateMs":20)"));
    const auto refusesConfiguration = [&](std::string_view name, std::string_view from) {
        return fails([&] {
            return decodeConfiguration(replaceOnce(configuration, from, fmt::format(R"("{}":{})", name, huge)));
        });
    };
    CHECK(refusesConfiguration("timeoutMs", R"("timeoutMs":3000)"));
    CHECK(refusesConfiguration("targetLatencyMs", R"("targetLatencyMs":250)"));
    CHECK(refusesConfiguration("validityMs", R"("validityMs":2500)"));
    const auto refusesAnnouncement = [&](std::string_view name, std::string_view from) {
        return fails([&] {
            return decodeAnnouncement("i-1", replaceOnce(announcement, from, fmt::format(R"("{}":{})", name, huge)));
        });
    };
    CHECK(refusesAnnouncement("clockMs", R"("clockMs":5)"));
    CHECK(refusesAnnouncement("remainingMs", R"("remainingMs":7)"));
}

TEST_CASE("amounts of resources that don't fit 64 bits with a sign are refused")
{
    for (const char* amount : { "9223372036854775808", "18446744073709551615", "8e15" }) {
        CAPTURE(amount);
        const auto with = [&](std::string_view text, std::string_view from) {
            return replaceOnce(text, from, fmt::format(R"("cpu":{})", amount));
        };
        CHECK(fails([&] { return decodeJob(jobId, with(job, R"("cpu":500)")); }));
        CHECK(fails([&] { return decodeAnnouncement("i-1", with(announcement, R"("cpu":16000)")); }));
        CHECK(fails([&] { return decodeConfiguration(with(configuration, R"("cpu":870867)")); }));
    }
}

TEST_CASE("an executor whose id can't be sent in a call is not registered, and ends no process")
{
    for (const char* id : { "i\xff", "i 1", "i\r\nX: y", "i\x01", "" })
        CHECK_MESSAGE(fails([&] { return decodeAnnouncement(id, announcement); }), id);
    for (const char* address : { "10.0.0.1:80/x", "10.0.0.1 :80", "a@10.0.0.1:80", "10.0.0.1:80\\r\\n" })
        CHECK_MESSAGE(
            fails([&] { return decodeAnnouncement("i-1", replaceOnce(announcement, "10.0.0.1:80", address)); }),
            address);
    CHECK_FALSE(fails([&] { return decodeAnnouncement("i-1", announcement); }));
    schema::AdviceCall advice;
    advice.add_executors("i\xff");
    CHECK_NOTHROW(encodeAdviceCall(advice));
    CHECK_NOTHROW(
        encodeOrder(SendOrder { 1, "10.0.0.1:80", "i", 1, Milliseconds(5), StartRun { task, 1, "\xff", {}, {}, 0 } }));
    CHECK_NOTHROW(encodeAnswer(JobCall(GetConfiguration {}), { CallStatus::BadRequest, "\xff" }));
}

TEST_CASE("a caller's deadline far ahead does not count as none or as passed")
{
    CHECK(parseDeadlineMs("250") == 250);
    for (const char* header : { "9223372036854775807", "18446744073709551615", "18446744073709551616" })
        CHECK_MESSAGE(parseDeadlineMs(header) == 3'600'000, header);
    for (const char* header : { "", "-5", "x", "1e3", "250x", " 250" })
        CHECK_MESSAGE(parseDeadlineMs(header) == 0, header);
}

TEST_CASE("no mutation of a message stops a decoder")
{
    constexpr int rounds = 4'000;
    std::mt19937 random(20'261'204);
    const auto below = [&](size_t n) { return static_cast<size_t>(random() % n); };
    const auto mutate = [&](std::string_view text) {
        constexpr std::string_view tokens[]
            = { "-1", "1e400", "1e300", "18446744073709551616", "null", "{}", "[]", "\"\"", "\xff", "\\ud800" };
        std::string out(text);
        for (auto n = 1 + below(4); n > 0; --n) {
            const auto at = below(out.size());
            switch (below(4)) {
            case 0:
                out[at] = static_cast<char>(random());
                break;
            case 1:
                out.erase(at, 1 + below(3));
                break;
            case 2:
                out.insert(at, tokens[below(std::size(tokens))]);
                break;
            default:
                out.insert(at, out.substr(below(out.size()), 1 + below(8)));
            }
            if (out.empty())
                out = " ";
        }
        return out;
    };
    const std::string granted = R"({"granted":[["i-1","t"],["i-2","u"]]})";
    for (int n = 0; n < rounds; ++n) {
        CHECK_NOTHROW(valueOrError([&] { return decodeConfiguration(mutate(configuration)); }));
        const auto decodedJob = valueOrError([&] { return decodeJob(jobId, mutate(job)); });
        if (const auto* it = std::get_if<schema::JobRequest>(&decodedJob))
            CHECK_NOTHROW(encodeOrder(SendOrder {
                1, "10.0.0.1:80", "i", 1, Milliseconds(5), StartRun { task, 1, it->payload(), {}, {}, 0 } }));
        const auto id = mutate("i-1");
        CHECK_NOTHROW(valueOrError([&] { return decodeAnnouncement(id, mutate(announcement)); }));
        for (const auto& path : { mutate("/instances/i-1/leave"), mutate("/instances/i-1/heartbeat") })
            CHECK_NOTHROW(decodeCall(controlCall(path, mutate(R"({"born":12})"))));
        CHECK_NOTHROW(decodeListing(mutate(listing)));
        CHECK_NOTHROW(decodeAdviceOutcome(1, answered(200, mutate(granted))));
    }
}
