// Odd entries of other writers: nested too deeply, with numbers too large, with addresses that name no machine.
#include "platform/call_codec.h"
#include "platform/json_fields.h"
#include "platform/order_codec.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace teasel;
using namespace teasel::platform;

namespace {

const TaskKey task { { 0x5c0e7a21d94b36f8, 0, 1 }, 17 };

std::string nested(size_t lists) { return std::string(lists, '[') + std::string(lists, ']'); }

template <class Function> bool fails(Function&& function)
{
    const auto outcome = valueOrError(std::forward<Function>(function));
    return std::holds_alternative<Error>(outcome);
}

HttpOutcome answered(std::string body)
{
    HttpOutcome out;
    out.result = HttpCallResult::Answered;
    out.status = 200;
    out.body = std::move(body);
    return out;
}

std::string announcement(std::string_view address, std::string_view sequence = "4", std::string_view born = "12",
    std::string_view labels = R"(["a","r1-3"])")
{
    return fmt::format(
        R"({{"service":"s","address":"{}","zone":"z","state":"ready","capacity":{{"cpu":16000}},"labels":{},"sequence":{},"born":{}}})",
        address, labels, sequence, born);
}

bool isRefused(const std::string& body)
{
    return fails([&] { return decodeAnnouncement("i-1", body); });
}

} // namespace

TEST_CASE("a value that is nested 60,000 lists deep ends no process")
{
    const auto deep = nested(60'000);
    const auto job = fmt::format(R"({{"spec":"x","steps":[{{"count":1,"fillRatio":{}}}]}})", deep);
    CHECK(fails([&] { return decodeJob("5c0e7a21d94b36f8", job); }));
    for (const char* field : { "slackFactor", "allowedRegions", "recommendation", "timeoutMs" }) {
        const auto configuration = fmt::format(
            R"({{"version":7,"routes":[{{"name":"r","host":"a","pathPrefix":"/","service":"s","timeoutMs":5,"{}":{}}}],"services":[{{"name":"s"}}]}})",
            field, deep);
        CHECK_MESSAGE(fails([&] { return decodeConfiguration(configuration); }), field);
    }
    CHECK(isRefused(announcement("10.0.0.1:80", "4", "12", deep)));
    CHECK(isRefused(announcement("10.0.0.1:80", deep)));
    const auto listing = fmt::format(R"({{"clockMs":5,"born":9,"running":[{}],"finished":[]}})", deep);
    CHECK(decodeOrderOutcome(RenewLease {}, answered(listing)).outcome == OrderOutcome::UnknownOutcome);
    CHECK(decodeOrderOutcome(StopRun { task, 1 }, answered(fmt::format(R"({{"clockMs":{}}})", deep))).clockMs == 0);
    CHECK(!decodeAdviceOutcome(1, answered(fmt::format(R"({{"granted":{}}})", deep))).answered());
}

TEST_CASE("brackets in text do not count as nesting")
{
    const auto spec = std::string(1'000, '[') + R"(\"\\)" + std::string(1'000, '{');
    const auto job = fmt::format(R"({{"spec":"{}","steps":[{{"count":1}}]}})", spec);
    CHECK(!fails([&] { return decodeJob("5c0e7a21d94b36f8", job); }));
}

TEST_CASE("an announcement whose address names no machine is refused")
{
    for (const char* address : { "10.0.0.1:99999", "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:", ":80", ":0", "host:80",
             "10.0.0.1", "10.0.0:80", "10.0.0.1:-1", "10.0.0.1:80:80", "0.0.0.0:80", "255.255.255.255:80",
             "224.0.0.1:80", "[::]:80", "::1" })
        CHECK_MESSAGE(isRefused(announcement(address)), address);
    for (const char* address : { "10.0.0.1:80", "10.0.0.1:65535", "127.0.0.1:1", "[fd00::1]:80" })
        CHECK_MESSAGE(!isRefused(announcement(address)), address);
}

TEST_CASE("an announcement with a sequence number or a start time out of range is refused")
{
    constexpr auto largest = "18446744073709551615";
    CHECK(!isRefused(announcement("10.0.0.1:80", "4294967295", "1765000000000")));
    for (const char* value :
        { largest, "9223372036854775808", "1e300", "-1", "1.5e19", "\"4\"", "[4]", "{}", "null" }) {
        CHECK_MESSAGE(isRefused(announcement("10.0.0.1:80", value)), value);
        CHECK_MESSAGE(isRefused(announcement("10.0.0.1:80", "4", value)), value);
    }
    CHECK(isRefused(announcement("10.0.0.1:80", "4294967296")));
    schema::RoutedCall leave;
    leave.set_surface(schema::RoutedCall::CONTROL);
    leave.set_method("POST");
    leave.set_path("/instances/i-1/leave");
    leave.set_body(fmt::format(R"({{"born":{}}})", largest));
    CHECK(std::holds_alternative<schema::RoutedAnswer>(decodeCall(leave)));
}

TEST_CASE("an end with an odd number is not acknowledged, nor are those after it")
{
    const auto ends = [](std::string_view rows) {
        return decodeOrderOutcome(
            RenewLease {}, answered(fmt::format(R"({{"clockMs":5,"born":9,"running":[],"finished":[{}]}})", rows)));
    };
    const auto good = ends(R"([1,"1.0.0.0",1,"done"],[2,"1.0.0.1",1,"done"])");
    CHECK(good.ended.size() == 2);
    CHECK(good.isEndListComplete);
    for (const char* odd : { "18446744073709551615", "9223372036854775808", "1", "0" }) {
        CAPTURE(odd);
        const auto it
            = ends(fmt::format(R"([1,"1.0.0.0",1,"done"],[{},"1.0.0.1",1,"done"],[3,"1.0.0.2",1,"done"])", odd));
        CHECK(it.ended.size() == 1);
        CHECK(!it.isEndListComplete);
    }
}

TEST_CASE("a checkpoint of a megabyte counts as none")
{
    const std::string large(1 << 20, 'c');
    const auto it = decodeOrderOutcome(RenewLease {},
        answered(fmt::format(
            R"({{"clockMs":5,"born":9,"running":[["1.0.0.0",1,"{}",5]],"finished":[[1,"1.0.0.1",1,"stopped","{}"]]}})",
            large, large)));
    REQUIRE(it.running.size() == 1);
    CHECK(it.running[0].checkpoint.empty());
    REQUIRE(it.ended.size() == 1);
    CHECK(it.ended[0].checkpoint.empty());
    CHECK(it.isEndListComplete);
}

TEST_CASE("of 100,000 rows some are read, and the list counts as incomplete")
{
    std::string running;
    std::string ended;
    for (int n = 1; n <= 100'000; ++n) {
        running += fmt::format(R"({}["1.0.0.{}",1])", n == 1 ? "" : ",", n);
        ended += fmt::format(R"({}[{},"1.0.0.{}",1,"done"])", n == 1 ? "" : ",", n, n);
    }
    const auto listing = [](const std::string& rows, const std::string& ends) {
        return decodeOrderOutcome(RenewLease {},
            answered(fmt::format(R"({{"clockMs":5,"born":9,"running":[{}],"finished":[{}]}})", rows, ends)));
    };
    const auto longRunning = listing(running, "");
    CHECK(longRunning.running.size() == 10'000);
    CHECK(!longRunning.isEndListComplete);
    const auto longEnded = listing("", ended);
    CHECK(longEnded.ended.size() == 500);
    CHECK(!longEnded.isEndListComplete);
}
