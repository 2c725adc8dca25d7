#include "node/state_node.h"

#include "node/http_responses.h"
#include "node/log_limits.h"
#include "node/network_metrics.h"
#include "node/peer_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds tickInterval { 10 };
    constexpr size_t maxQueuedTasks = 200'000;
    constexpr size_t maxHttpBodyBytes = 64 << 10; // of calls, none of which needs a body
    constexpr Milliseconds metricsInterval { 500 };
    constexpr Milliseconds handoverTimeout { 500 };

    ReplicatedLogOptions logOptions(const schema::StateSettings& settings, uint64_t seed)
    {
        ReplicatedLogOptions out;
        out.replica.id = settings.instance().id();
        out.replica.seed = seed;
        for (const auto& it : settings.states())
            out.replica.bootstrap.add_voters(it.id());
        out.replica.isReplacement = settings.replacement();
        out.snapshotEveryRecords = settings.snapshot_every_records();
        setByteLimits(out, settings.snapshot_every_bytes());
        return out;
    }

    FleetServiceOptions serviceOptions(const schema::StateSettings& settings)
    {
        FleetServiceOptions out;
        for (const auto& it : settings.entries())
            if (std::find(out.dataCentres.begin(), out.dataCentres.end(), it.data_centre()) == out.dataCentres.end())
                out.dataCentres.push_back(it.data_centre());
        out.authority = Milliseconds(static_cast<int64_t>(settings.cut_off().serve_for_ms()));
        return out;
    }

} // namespace

StateNode::StateNode(schema::StateSettings settings, ProcessContext context)
    : m_settings(std::move(settings))
    , m_context(context)
    , m_state(m_settings.bootstrap(), FleetLimits {})
    , m_stateMachine(m_state)
    , m_service(serviceOptions(m_settings), m_state)
    , m_leaseVoter({}, context.clock.now())
    , m_disk(m_settings.data_folder())
    , m_loop(tickInterval, maxQueuedTasks, context.clock, [this] { onTick(); })
    , m_network(networkOptions(m_settings, context.incarnation), peersOf(m_settings), context.clock,
          [this](schema::Envelope envelope) {
              m_loop.post([this, envelope = std::move(envelope)] { onEnvelope(envelope); });
          })
    , m_httpServer(
          { m_settings.http_address(), 1, 256, maxHttpBodyBytes },
          [this](HttpRequest request) { m_loop.post([this, request = std::move(request)] { onHttp(request); }); },
          [](uint64_t) {})
    , m_log(
          logOptions(m_settings, context.seed), context.clock, m_disk, m_stateMachine,
          [this](std::string_view to, const schema::ConsensusMessage& message) {
              schema::Envelope envelope;
              *envelope.mutable_consensus() = message;
              m_network.send(to, std::move(envelope));
          },
          [this](std::function<void()> task) { m_loop.postAlways(std::move(task)); },
          { [this](uint64_t ticket, const std::string& result) { onApplied(ticket, result); },
              [this](uint64_t ticket) {
                  m_pendingCommands.erase(ticket);
                  m_service.onOutcomeUnknown(ticket, m_context.clock.now());
              },
              [this](bool serving) { onServingChanged(serving); },
              [this](const Error& error) {
                  m_failed = true;
                  m_context.log.error("storage_failed", { { "reason", error.message } });
              } })
{
}

StateNode::~StateNode() { stop(); }

Result<void> StateNode::start()
{
    BOOST_LEAF_CHECK(m_disk.open());
    BOOST_LEAF_CHECK(m_log.start(m_context.clock.now()));
    BOOST_LEAF_CHECK(m_network.start());
    BOOST_LEAF_CHECK(m_httpServer.start());
    m_loop.start();
    m_context.log.info("state_started",
        { { "id", m_settings.instance().id() }, { "data_centre", m_settings.instance().data_centre() },
            { "revision", m_state.revision() } });
    return {};
}

void StateNode::stop()
{
    std::promise<void> steppedDown;
    if (m_loop.post([&] {
            m_log.transferLeadership(m_context.clock.now());
            steppedDown.set_value();
        }))
        steppedDown.get_future().wait_for(handoverTimeout);
    std::this_thread::sleep_for(handoverTimeout);
    m_httpServer.stop();
    m_network.stop();
    m_loop.stop();
}

void StateNode::onEnvelope(const schema::Envelope& envelope)
{
    const auto now = m_context.clock.now();
    switch (envelope.body_case()) {
    case schema::Envelope::kConsensus:
        m_log.onMessage(envelope.from(), envelope.consensus(), now);
        return;
    case schema::Envelope::kSessionRenew:
        if (m_log.holdsLease(now))
            m_service.onRenew(envelope.from(), envelope.session_renew(), now);
        else
            sendNotLeader(envelope.from(), 0);
        return;
    case schema::Envelope::kPropose:
        onPropose(envelope, now);
        return;
    case schema::Envelope::kLeadership:
        onLeadership(envelope, now);
        return;
    default:
        return;
    }
}

void StateNode::onPropose(const schema::Envelope& envelope, Instant now)
{
    if (!m_log.holdsLease(now)) {
        sendNotLeader(envelope.from(), envelope.propose().ticket());
        return;
    }
    if (envelope.propose().wait_in_force())
        sendAcknowledgement(envelope);
    m_service.onPropose(envelope.from(), envelope.propose(), now);
}

void StateNode::sendAcknowledgement(const schema::Envelope& envelope)
{
    schema::Envelope out;
    out.mutable_propose_answer()->set_ticket(envelope.propose().ticket());
    out.mutable_propose_answer()->set_received(true);
    m_network.send(envelope.from(), std::move(out));
}

void StateNode::onLeadership(const schema::Envelope& envelope, Instant now)
{
    // Only the leader votes, and only while its lease rules out that another replica has been elected.
    if (!m_log.holdsLease(now)) {
        sendNotLeader(envelope.from(), 0);
        return;
    }
    auto answer = m_leaseVoter.onMessage(envelope.from(), envelope.leadership(), now);
    if (!answer)
        return;
    schema::Envelope out;
    *out.mutable_leadership() = std::move(*answer);
    m_network.send(envelope.from(), std::move(out));
}

void StateNode::sendNotLeader(std::string_view to, uint64_t ticket)
{
    schema::Envelope out;
    auto& answer = *out.mutable_propose_answer();
    answer.set_ticket(ticket);
    answer.set_not_leader(true);
    const auto hint = m_log.leaderHint();
    answer.set_leader_hint(hint == m_settings.instance().id() ? std::string() : std::string(hint));
    m_network.send(to, std::move(out));
}

void StateNode::onServingChanged(bool serving)
{
    const auto now = m_context.clock.now();
    m_context.log.info(serving ? "state_leadership_gained" : "state_leadership_lost",
        { { "id", m_settings.instance().id() }, { "revision", m_state.revision() } });
    // The votes of the previous leader are unknown here; restarting the voter waits until they have expired.
    m_leaseVoter.restart(now);
    m_service.onLeadership(serving, now);
    m_context.metrics.counter(ProcessCounter::LeaderChanges).Increment();
}

void StateNode::onApplied(uint64_t ticket, const std::string& result)
{
    const auto it = m_pendingCommands.find(ticket);
    if (it == m_pendingCommands.end())
        return;
    const auto command = std::move(it->second);
    m_pendingCommands.erase(it);
    schema::CommandResult parsed;
    parsed.ParseFromString(result);
    m_context.metrics.counter(ProcessCounter::Commits).Increment();
    m_service.onApplied(ticket, command, parsed, m_context.clock.now());
}

void StateNode::onTick()
{
    const auto now = m_context.clock.now();
    m_log.onTick(now);
    m_service.onTick(now);
    executeActions(now);
    m_log.flushProposals();
    if (now >= m_nextMetricsUpdate)
        updateMetrics(now);
}

void StateNode::executeActions(Instant now)
{
    while (true) {
        auto actions = m_service.takeActions();
        if (actions.empty())
            return;
        for (auto& it : actions) {
            if (auto* proposal = std::get_if<ProposeCommand>(&it))
                execute(*proposal, now);
            else if (auto* grant = std::get_if<SendGrant>(&it))
                execute(*grant);
            else if (auto* answer = std::get_if<SendAnswer>(&it))
                execute(*answer);
        }
    }
}

void StateNode::execute(SendGrant& action)
{
    schema::Envelope out;
    *out.mutable_session_grant() = std::move(action.grant);
    m_network.send(action.to, std::move(out));
}

void StateNode::execute(SendAnswer& action)
{
    schema::Envelope out;
    *out.mutable_propose_answer() = std::move(action.answer);
    m_network.send(action.to, std::move(out));
}

void StateNode::execute(ProposeCommand& action, Instant now)
{
    action.command.set_wall_ms(static_cast<uint64_t>(m_context.clock.wallNow().time_since_epoch().count()));
    auto bytes = action.command.SerializeAsString();
    m_pendingCommands[action.ticket] = std::move(action.command);
    if (!m_log.propose(std::move(bytes), action.ticket, now)) {
        m_pendingCommands.erase(action.ticket);
        m_service.onOutcomeUnknown(action.ticket, now);
    }
}

void StateNode::onHttp(const HttpRequest& request)
{
    if (request.path == "/metrics")
        m_httpServer.answer(
            request.handle, { 200, "text/plain; version=0.0.4", {}, m_context.metrics.renderMetrics() });
    else if (request.path == "/healthz")
        m_httpServer.answer(
            request.handle, { m_failed ? 503U : 200U, "text/plain", {}, m_failed ? "storage failed\n" : "ok\n" });
    else if (request.path == "/v1/status")
        m_httpServer.answer(request.handle, { 200, "application/json", {}, statusJson() });
    else
        m_httpServer.answer(request.handle,
            errorResponse(
                { ErrorKind::NotFound, "a state replica serves only /metrics, /healthz and /v1/status", {} }, {}));
}

std::string StateNode::statusJson() const
{
    const auto& counters = m_log.counters();
    return fmt::format(
        R"({{"instance":{},"data_centre":{},"role":"{}","leader":{},"revision":{},"committed":{},"may_vote":{},"records_applied":{},"begun":{}}})",
        jsonString(m_settings.instance().id()), jsonString(m_settings.instance().data_centre()),
        m_log.isServing() ? "state_leader" : "state_follower", jsonString(m_log.leaderHint()), m_state.revision(),
        m_log.replica().committedIndex(), m_log.replica().mayVote(), counters.recordsApplied,
        m_state.startedRequests().size());
}

void StateNode::updateMetrics(Instant now)
{
    m_nextMetricsUpdate = now + metricsInterval;
    m_context.metrics.gauge(ProcessGauge::IsLeader).Set(m_log.isServing() ? 1 : 0);
    m_context.metrics.gauge(ProcessGauge::Revision).Set(static_cast<double>(m_state.revision()));
    m_logMetrics.update(m_log);
    reportDrops(m_network, m_context);
    reportClosedCallers(m_httpServer, m_context);
}

} // namespace teasel
