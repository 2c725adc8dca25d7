#include "node/front_node.h"

#include "node/caller_limits.h"
#include "node/http_responses.h"
#include "node/job_plane_common.h"
#include "node/network_metrics.h"
#include "platform/call_codec.h"
#include "platform/order_codec.h"

#include <thread>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds tickInterval { 50 };
    constexpr Milliseconds metricsInterval { 1'000 };
    constexpr Milliseconds normalPause { 200 }; // several ticks
    constexpr Milliseconds defaultTimeLimit { 3'000 }; // of a call that names none
    constexpr size_t maxQueuedTasks = 50'000;
    // The load balancer checks readiness once a second and acts on two equal answers.
    constexpr Milliseconds balancerDrainDelay { 2'600 };
    // At the end of the grace time, for sending the last answers.
    constexpr Milliseconds closingTime { 600 };

    LeaderRelayOptions relayOptions(const schema::FrontSettings& settings, uint64_t incarnation)
    {
        LeaderRelayOptions out;
        out.self = settings.instance().peer_address();
        out.firstNumber = incarnation << callNumberBits;
        out.seeds = seedPeers(settings);
        return out;
    }

} // namespace

FrontNode::FrontNode(schema::FrontSettings settings, ProcessContext context)
    : m_settings(std::move(settings))
    , m_context(context)
    , m_self(m_settings.instance().peer_address())
    , m_loop(tickInterval, maxQueuedTasks, context.clock, [this] { onTick(); })
    , m_network(jobPlaneNetworkOptions(m_self, context.incarnation), {}, context.clock,
          [this](schema::Envelope envelope) {
              m_loop.post([this, envelope = std::move(envelope)] { onEnvelope(envelope); });
          })
    , m_callerServer(limitedToMachine({ m_settings.callers_address(), 1, m_settings.max_connections(),
                         m_settings.max_body_bytes(), m_settings.max_buffered_bytes() }),
          [this](HttpRequest request) {
              m_loop.postAlways([this, request = std::move(request)]() mutable { onHttp(std::move(request)); });
          },
          {})
    , m_readinessServer(
          { m_settings.ready_address(), 1, 32 }, [this](const HttpRequest& request) { onReadinessCheck(request); }, {})
    , m_metricsServer({ m_settings.metrics_address(), 1, 16 },
          [this](const HttpRequest& request) {
              m_metricsServer.answer(request.handle, metricsResponse(request, m_context.metrics));
          },
          {})
    , m_httpClient({ 1, 0, 1 << 20 }, context.clock)
    , m_relay(
          relayOptions(m_settings, context.incarnation),
          [this](std::string_view to, schema::Envelope envelope) { m_network.send(to, std::move(envelope)); },
          [this](const std::string& leader, uint64_t term) {
              m_context.log.info("leader_found", { { "leader", leader }, { "term", term } });
          })
    , m_stalls(normalPause)
{
}

FrontNode::~FrontNode() { stop(); }

Result<void> FrontNode::start()
{
    BOOST_LEAF_CHECK(m_network.start());
    BOOST_LEAF_CHECK(m_callerServer.start());
    BOOST_LEAF_CHECK(m_readinessServer.start());
    BOOST_LEAF_CHECK(m_metricsServer.start());
    m_loop.start();
    m_context.log.info("front_started",
        { { "id", m_settings.instance().id() }, { "address", m_self },
            { "data_centre", m_settings.instance().data_centre() }, { "seeds", m_settings.seeds_size() } });
    return {};
}

void FrontNode::reload(const schema::FrontSettings& settings)
{
    m_loop.postAlways([this, seeds = seedPeers(settings)] { m_relay.addSeeds(seeds); });
    m_context.log.info("settings_reloaded", { { "seeds", settings.seeds_size() } });
}

void FrontNode::stop()
{
    if (m_isStopping.exchange(true))
        return;
    const auto begin = m_context.clock.now();
    const auto grace = Milliseconds(static_cast<int64_t>(m_settings.stop_grace_ms()));
    const auto answerBy = begin + std::max(grace / 2, grace - closingTime);
    m_callerServer.closeAfterAnswers();
    m_loop.postAlways([this, answerBy] { m_relay.answerAllBy(answerBy); });
    std::this_thread::sleep_for(std::min<Duration>(balancerDrainDelay, answerBy - begin));
    m_callerServer.stopListening();
    drainRequests(m_callerServer, m_context.clock, answerBy, begin + grace);
    m_callerServer.stop();
    m_readinessServer.stop();
    m_metricsServer.stop();
    m_httpClient.stop();
    m_network.stop();
    m_loop.stop();
}

void FrontNode::onTick()
{
    const auto now = m_context.clock.now();
    m_stalls.onActivity(now);
    m_relay.onTick(now);
    const bool hasLeader = m_relay.hasLeader(now);
    if (std::exchange(m_hadLeader, hasLeader) != hasLeader)
        m_context.log.info(hasLeader ? "leader_regained" : "leader_lost",
            { { "leader", m_relay.leader() }, { "open_calls", m_relay.pendingCalls() } });
    m_isReady = hasLeader;
    if (now >= m_nextMetricsUpdate) {
        m_nextMetricsUpdate = now + metricsInterval;
        reportDrops(m_network, m_context);
        reportClosedCallers(m_callerServer, m_context);
    }
}

void FrontNode::onEnvelope(const schema::Envelope& envelope)
{
    const auto now = m_context.clock.now();
    switch (envelope.body_case()) {
    case schema::Envelope::kCoreView:
        return m_relay.onView(envelope.from(), envelope.core_view(), now);
    case schema::Envelope::kRoutedAnswer:
        return m_relay.onAnswer(envelope.routed_answer(), now);
    case schema::Envelope::kAdviceCall:
        return sendAdviceCall(envelope);
    default:
        return;
    }
}

void FrontNode::sendAdviceCall(const schema::Envelope& envelope)
{
    const auto number = envelope.advice_call().number();
    m_httpClient.start(platform::encodeAdviceCall(envelope.advice_call()),
        [this, number, from = envelope.from()](const HttpOutcome& outcome) {
            schema::Envelope out;
            *out.mutable_advice_result() = platform::decodeAdviceOutcome(number, outcome);
            m_network.send(from, std::move(out));
        });
}

void FrontNode::onHttp(HttpRequest request)
{
    schema::RoutedCall call;
    call.set_surface(schema::RoutedCall::CALLERS);
    call.set_method(request.method);
    call.set_path(request.path);
    const auto host = request.header("host");
    call.set_host(std::string(host.substr(0, host.find(':'))));
    call.set_key(std::string(bearerToken(request)));
    call.set_time_left_ms(platform::parseDeadlineMs(request.header("deadline-ms")));
    call.set_body(std::move(request.body));
    const auto handle = request.handle;
    const auto receivedAt = m_context.clock.now();
    m_stalls.onActivity(receivedAt);
    if (const auto age = m_stalls.possibleAge(receivedAt); age > Duration(0) && isOutdated(request, call, age)) {
        m_context.log.info("call_outdated",
            { { "method", request.method }, { "path", request.path },
                { "waited_ms", std::chrono::duration_cast<Milliseconds>(age).count() } });
        m_callerServer.answer(handle,
            { 503, "application/json", { { "Retry-After", "1" } },
                R"({"error":"the call may be older than its time limit; it had no effect"})" });
        return;
    }
    m_relay.call(
        std::move(call),
        [this, handle, receivedAt, method = request.method, path = request.path](schema::RoutedAnswer answer) {
            logAnswer(method, path, answer, receivedAt);
            auto response = toHttpResponse(std::move(answer));
            if (m_isStopping)
                response.headers.emplace_back("Connection", "close");
            m_callerServer.answer(handle, std::move(response));
        },
        m_context.clock.now());
}

bool FrontNode::isOutdated(const HttpRequest& request, schema::RoutedCall& call, Duration age)
{
    const auto limit
        = call.time_left_ms() == 0 ? defaultTimeLimit : Milliseconds(static_cast<int64_t>(call.time_left_ms()));
    const auto left = std::chrono::duration_cast<Milliseconds>(limit - age);
    if (left.count() > 0)
        call.set_time_left_ms(static_cast<uint64_t>(left.count()));
    // A late query or cancellation does no harm.
    return request.method == "POST" && (left.count() <= 0 || m_callerServer.hasCallerLeft(request.handle));
}

void FrontNode::logAnswer(
    std::string_view method, std::string_view path, const schema::RoutedAnswer& answer, Instant receivedAt)
{
    constexpr uint32_t firstFailure = 400;
    const auto now = m_context.clock.now();
    const auto took = std::chrono::duration_cast<Milliseconds>(now - receivedAt);
    m_context.metrics.waitingTime("all", method).Observe(std::chrono::duration<double>(now - receivedAt).count());
    if (answer.status() < firstFailure)
        return;
    m_context.log.info("call_failed",
        { { "method", method }, { "path", path }, { "status", answer.status() }, { "reason", answer.body() },
            { "took_ms", took.count() }, { "leader", m_relay.leader() }, { "has_leader", m_relay.hasLeader(now) },
            { "open_calls", m_relay.pendingCalls() } });
}

void FrontNode::onReadinessCheck(const HttpRequest& request)
{
    const bool isReady = m_isReady && !m_isStopping;
    m_readinessServer.answer(
        request.handle, { isReady ? 200U : 503U, "text/plain", {}, isReady ? "ready\n" : "not ready\n" });
}

} // namespace teasel
