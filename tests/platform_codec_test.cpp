#include "platform/call_codec.h"
#include "platform/order_codec.h"

#include "jobs/order_messages.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace teasel;
using namespace teasel::platform;

namespace {

constexpr std::string_view validConfiguration
    = R"({"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/p/","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"s","maxAttempts":3,"slackFactor":1.5,"recommendation":{"decideMs":9.3,"intervalMs":0.13,"validityMs":2500}}],"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["k1","k2"],"weight":33,"cap":{"cpu":870867}}]})";

template <class Function> std::string failureOf(Function&& function)
{
    const auto outcome = valueOrError(std::forward<Function>(function));
    const auto* error = std::get_if<Error>(&outcome);
    return error == nullptr ? std::string() : error->message;
}

std::string replaceOnce(std::string_view text, std::string_view what, std::string_view with)
{
    std::string out(text);
    const auto at = out.find(what);
    REQUIRE(at != std::string::npos);
    return out.replace(at, what.size(), with);
}

schema::RoutedCall callersCall(std::string method, std::string path, std::string body = {})
{
    schema::RoutedCall call;
    call.set_method(std::move(method));
    call.set_host("a.example");
    call.set_path(std::move(path));
    call.set_key("k1");
    call.set_body(std::move(body));
    return call;
}

HttpOutcome answered(unsigned status, std::string body)
{
    HttpOutcome out;
    out.result = HttpCallResult::Answered;
    out.status = status;
    out.body = std::move(body);
    return out;
}

const TaskKey task { { 0x5c0e7a21d94b36f8, 0, 1 }, 17 };

} // namespace

TEST_CASE("a configuration is decoded into queues, services and teams")
{
    const auto decoded = valueOrError([] { return decodeConfiguration(validConfiguration); });
    REQUIRE(std::holds_alternative<schema::JobConfiguration>(decoded));
    const auto& it = std::get<schema::JobConfiguration>(decoded);
    CHECK(it.version() == 7);
    CHECK(it.queues(0).advice().per_executor_ms() == doctest::Approx(0.13));
    CHECK(it.queues(0).target_latency_ms() == 250);
    CHECK(it.teams(0).keys_size() == 2);
    CHECK(it.teams(0).cap().milli_cpus() == 870'867);
    CHECK(it.document() == validConfiguration);
}

TEST_CASE("every kind of invalid configuration is refused")
{
    const auto refused
        = [](std::string_view text) { return !failureOf([&] { return decodeConfiguration(text); }).empty(); };
    CHECK(refused(validConfiguration.substr(0, validConfiguration.size() - 20)));
    CHECK(refused(replaceOnce(validConfiguration, R"("service":"s")", R"("service":"other")")));
    CHECK(refused(replaceOnce(validConfiguration, R"("timeoutMs":3000)", R"("timeoutMs":0)")));
    CHECK(refused(replaceOnce(validConfiguration, R"("timeoutMs":3000,)", "")));
    CHECK(refused(replaceOnce(validConfiguration, R"("weight":33)", R"("weight":0)")));
    CHECK(refused(replaceOnce(validConfiguration, R"("version":7)", R"("version":"7")")));
    CHECK(refused(
        replaceOnce(validConfiguration, R"("tenants":[)", R"("tenants":[{"name":"u","apiKeys":["k2"],"weight":1},)")));
    CHECK(refused(replaceOnce(validConfiguration, R"("routes":[)",
        R"("routes":[{"name":"q","host":"a.example","pathPrefix":"/p/","timeoutMs":1,"service":"s"},)")));
}

TEST_CASE("callers' calls are distinguished by method and path")
{
    const auto kind = [](const schema::RoutedCall& call) { return std::get<JobCall>(decodeCall(call)).index(); };
    CHECK(kind(callersCall("GET", "/p/")) == JobCall(QueryQueue {}).index());
    CHECK(kind(callersCall("GET", "/p/5c0e7a21d94b36f8")) == JobCall(QueryJob {}).index());
    CHECK(kind(callersCall("DELETE", "/p/5c0e7a21d94b36f8")) == JobCall(CancelJob {}).index());
    CHECK(std::get<schema::RoutedAnswer>(decodeCall(callersCall("PATCH", "/p/x"))).status() == 405);
}

// Guards against an order that changes the state although it is malformed, or that reaches the wrong path.
TEST_CASE("orders on the evacuation of a data centre are decoded, and malformed ones are answered at once")
{
    const auto control = [](std::string method, std::string path, std::string body = {}) {
        auto call = callersCall(std::move(method), std::move(path), std::move(body));
        call.clear_host();
        call.set_surface(schema::RoutedCall::CONTROL);
        return decodeCall(call);
    };
    const auto status = [&](std::string method, std::string path, std::string body = {}) {
        const auto decoded = control(std::move(method), std::move(path), std::move(body));
        const auto* it = std::get_if<schema::RoutedAnswer>(&decoded);
        return it == nullptr ? 0 : it->status();
    };
    const auto start = std::get<OrderEvacuation>(std::get<JobCall>(control("POST", "/evacuation/a-1/start")));
    CHECK(start.dataCentre == "a-1");
    CHECK(start.isActive);
    const auto finish = std::get<OrderEvacuation>(std::get<JobCall>(control("POST", "/evacuation/a-1/finish")));
    CHECK(!finish.isActive);
    CHECK(std::holds_alternative<ListEvacuations>(std::get<JobCall>(control("GET", "/evacuation"))));
    for (const char* method : { "GET", "PUT", "DELETE" }) {
        CHECK(status(method, "/evacuation/a/start") == 405);
        CHECK(status(method, "/evacuation/a/finish") == 405);
    }
    CHECK(status("POST", "/evacuation") == 405);
    CHECK(status("POST", "/evacuation/a/start", "{}") == 400);
    CHECK(status("POST", "/evacuation/a/finish", " ") == 400);
    for (const char* path :
        { "/evacuation/", "/evacuation/a", "/evacuation/a/", "/evacuation//start", "/evacuation/a/stop",
            "/evacuation/a/start/", "/evacuation/a/start/b", "/evacuations", "/evacuationx/start" })
        CHECK_MESSAGE(status("POST", path) == 404, path);
    const JobCall order = OrderEvacuation { "c", true };
    CHECK(encodeAnswer(order, { CallStatus::Ok, {} }).status() == 200);
    CHECK(encodeAnswer(order, { CallStatus::Ok, {} }).body().empty());
    CHECK(encodeAnswer(order, { CallStatus::Unprocessable, "no such data centre" }).status() == 422);
    CallAnswer list;
    list.evacuations.push_back({ "a", true, 5, 3, 700, 900 });
    CHECK(encodeAnswer(ListEvacuations {}, list).body()
        == R"({"evacuations":[{"active":true,"dataCentre":"a","expectedEndMs":900,"oldestRunMs":700,"orderedAtMs":5,"runs":3}]})");
}

// Guards against restrictions that are dropped or misread in silence.
TEST_CASE("regions of a route and the cold start of a service are decoded and checked")
{
    const auto text = replaceOnce(
        replaceOnce(validConfiguration, R"("services":[{)", R"("services":[{"coldStartS":2.5,"coldPerS":0.5,)"),
        R"("routes":[{)", R"("routes":[{"allowedRegions":["north","south"],)");
    const auto decoded = valueOrError([&] { return decodeConfiguration(text); });
    REQUIRE(std::holds_alternative<schema::JobConfiguration>(decoded));
    const auto& it = std::get<schema::JobConfiguration>(decoded);
    CHECK(it.queues(0).allowed_regions_size() == 2);
    CHECK(it.services(0).cold_start_s() == doctest::Approx(2.5));
    CHECK(it.services(0).cold_per_s() == doctest::Approx(0.5));
    const auto problem = [&](std::string_view what, std::string_view with) {
        return failureOf([&] { return decodeConfiguration(replaceOnce(text, what, with)); });
    };
    const auto negative = problem(R"("coldStartS":2.5)", R"("coldStartS":-1)");
    CHECK(negative.find("coldStartS: expected a number from 0 up, found -1") != std::string::npos);
    CHECK(problem(R"("coldPerS":0.5)", R"("coldPerS":"x")").find("found \"x\"") != std::string::npos);
    CHECK(problem(R"(["north","south"])", R"(["north",7])").find("allowedRegions: expected text, found 7")
        != std::string::npos);
    CHECK(!problem(R"(["north","south"])", R"("north")").empty());
}

TEST_CASE("a malformed job is refused without a crash")
{
    const auto problem
        = [](std::string_view id, std::string_view body) { return failureOf([&] { return decodeJob(id, body); }); };
    CHECK(problem("5c0e7a21d94b36f8", R"({"spec":"x","steps":[{"count":4,"cpu":500}]})").empty());
    CHECK(!problem("5C0E7A21D94B36F8", R"({"steps":[]})").empty());
    CHECK(!problem("5c0e", R"({"steps":[]})").empty());
    for (const char* body :
        { "", "[", "[]", "null", R"({"steps":7})", R"({"steps":[7]})", R"({"steps":[{"count":"4"}]})",
            R"({"steps":[{"count":-4}]})", R"({"spec":7,"steps":[]})", R"({"steps":[{"dependsOn":[-1]}]})" })
        CHECK_MESSAGE(!problem("5c0e7a21d94b36f8", body).empty(), body);
}

TEST_CASE("an announcement with missing or invalid fields is refused")
{
    const std::string validAnnouncement
        = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready","capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"sequence":4,"born":12})";
    const auto problem
        = [](std::string_view body) { return failureOf([&] { return decodeAnnouncement("i-1", body); }); };
    CHECK(problem(validAnnouncement).empty());
    const auto decoded = valueOrError([&] { return decodeAnnouncement("i-1", validAnnouncement); });
    CHECK(std::get<ExecutorAnnouncement>(decoded).record.rack() == "r1-3");
    CHECK(std::get<ExecutorAnnouncement>(decoded).record.born_ms() == 12);
    CHECK(std::get<ExecutorAnnouncement>(decoded).coldRemainingMs == 0);
    const auto cold = replaceOnce(validAnnouncement, R"("sequence":4)", R"("sequence":4,"coldRemainingMs":1500)");
    const auto decodedCold = valueOrError([&] { return decodeAnnouncement("i-1", cold); });
    CHECK(std::get<ExecutorAnnouncement>(decodedCold).coldRemainingMs == 1'500);
    CHECK(!problem(replaceOnce(cold, "1500", "-1")).empty());
    CHECK(!problem(replaceOnce(validAnnouncement, R"("state":"ready")", R"("state":"asleep")")).empty());
    CHECK(!problem(replaceOnce(validAnnouncement, R"("sequence":4,)", "")).empty());
    CHECK(!problem(replaceOnce(validAnnouncement, R"("address":"10.0.0.1:80")", R"("address":80)")).empty());
    CHECK(!problem("\xff\xfe").empty());
}

TEST_CASE("a lease renewal carries the fence, the received ends and the lease, and the lists in its answer are parsed")
{
    SendOrder order { 3, "10.0.0.1:80", "i-1", 7, Milliseconds(500), RenewLease { 486'000, 57, Milliseconds(1'000) }, 1,
        "z" };
    const auto call = encodeOrder(order);
    CHECK(call.url == "http://10.0.0.1:80/hold");
    const auto body = nlohmann::json::parse(*call.body);
    CHECK(body["fencingToken"] == 7);
    CHECK(body["lastSeen"] == 57);
    CHECK(body["deadlineMs"] == 486'000);
    CHECK(body["waitMs"] == 1'000);
    const auto result = decodeOrderOutcome(order.order,
        answered(200,
            R"({"clockMs":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,800]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"));
    CHECK(result.outcome == OrderOutcome::Done);
    CHECK(result.clockMs == 482'113);
    CHECK(result.bornMs == 9);
    REQUIRE(result.running.size() == 1);
    CHECK(result.running[0].task == task);
    CHECK(result.running[0].metric == 800);
    REQUIRE(result.ended.size() == 1);
    CHECK(result.ended[0].number == 58);
    CHECK(result.ended[0].outcome == schema::RUN_OUTCOME_DONE);
}

TEST_CASE("an executor's answer determines whether an order may have been executed")
{
    const ExecutorOrder order = StopRun { task, 2 };
    const auto end = [&](const HttpOutcome& it) { return decodeOrderOutcome(order, it).outcome; };
    CHECK(end(answered(409, R"({"reason":"fence"})")) == OrderOutcome::StaleFence);
    CHECK(end(answered(409, R"({"reason":"late"})")) == OrderOutcome::LeaseExpired);
    CHECK(end(answered(409, R"({"reason":"room"})")) == OrderOutcome::InsufficientCapacity);
    CHECK(end(answered(409, R"({"reason":"ticket"})")) == OrderOutcome::InvalidTicket);
    CHECK(end(answered(421, "")) == OrderOutcome::OtherIncarnation);
    CHECK(end(answered(503, "")) == OrderOutcome::Refused);
    CHECK(end(answered(504, "")) == OrderOutcome::UnknownOutcome);
    HttpOutcome outcome;
    outcome.result = HttpCallResult::ConnectFailed;
    CHECK(end(outcome) == OrderOutcome::NotSent);
    outcome.result = HttpCallResult::TimedOut;
    CHECK(end(outcome) == OrderOutcome::UnknownOutcome);
}

TEST_CASE("a truncated or malformed list leaves the outcome unknown")
{
    const ExecutorOrder order = RenewLease {};
    CHECK(decodeOrderOutcome(order, answered(200, R"({"clockMs":1,"running":[["x")")).outcome
        == OrderOutcome::UnknownOutcome);
    CHECK(decodeOrderOutcome(order, answered(200, R"({"clockMs":1,"running":[]})")).outcome
        == OrderOutcome::UnknownOutcome);
    CHECK(decodeOrderOutcome(order, answered(200, R"({"clockMs":1,"running":7,"finished":[]})")).outcome
        == OrderOutcome::UnknownOutcome);
    const auto unreadable
        = decodeOrderOutcome(order, answered(200, R"({"clockMs":1,"running":[["a.b.c.d",1]],"finished":[]})"));
    CHECK(unreadable.running.empty());
    CHECK_FALSE(unreadable.isEndListComplete);
}

TEST_CASE("orders and results keep their contents when relayed through another core instance")
{
    const SendOrder order { 3, "10.0.0.1:80", "i-1", 7, Milliseconds(500),
        StartRun { task, 2, "lot", "cp", "ticket", 486'000 }, 0, {} };
    const auto decodedOrder = fromMessage(toMessage(order));
    CHECK(decodedOrder.number == 3);
    CHECK(decodedOrder.fence == 7);
    CHECK(decodedOrder.timeout == Milliseconds(500));
    const auto& start = std::get<StartRun>(decodedOrder.order);
    CHECK(start.task == task);
    CHECK(start.run == 2);
    CHECK(start.checkpoint == "cp");
    CHECK(start.leaseUntilMs == 486'000);
    OrderResult result;
    result.outcome = OrderOutcome::Done;
    result.clockMs = 5;
    result.running.push_back({ task, 2, "cp", 100, -1 });
    result.ended.push_back({ 4, task, 1, schema::RUN_OUTCOME_FAILED, "" });
    result.isEndListComplete = false;
    const auto decodedResult = fromMessage(toMessage(9, result));
    CHECK(decodedResult.outcome == OrderOutcome::Done);
    CHECK(decodedResult.running[0].metric == -1);
    CHECK(decodedResult.ended[0].outcome == schema::RUN_OUTCOME_FAILED);
    CHECK(!decodedResult.isEndListComplete);
}
