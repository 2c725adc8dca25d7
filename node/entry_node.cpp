#include "node/entry_node.h"

#include "node/caller_limits.h"
#include "node/http_responses.h"
#include "node/leader_metrics.h"
#include "node/network_metrics.h"
#include "node/peer_settings.h"

#include <fmt/format.h>

#include <thread>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds tickInterval { 5 };
    constexpr size_t maxQueuedTasks = 200'000;
    constexpr Milliseconds needsUpdateInterval { 50 };
    constexpr Milliseconds metricsInterval { 500 };
    constexpr Milliseconds drainPollInterval { 20 };
    constexpr Milliseconds quietPeriod { 500 }; // without open requests, for callers that still hold connections open
    constexpr std::string_view requestsPath = "/v1/requests/";

    HttpServerOptions httpOptions(const schema::EntrySettings& settings)
    {
        return limitedToMachine({ settings.http_address(), settings.http_threads(), settings.max_connections(),
            settings.max_body_bytes(), settings.max_buffered_bytes() });
    }

    absl::flat_hash_map<std::string, std::vector<std::string>> membersByDataCentre(
        const schema::EntrySettings& settings)
    {
        absl::flat_hash_map<std::string, std::vector<std::string>> out;
        for (const auto& it : settings.entries())
            out[it.data_centre()].push_back(it.id());
        return out;
    }

    std::vector<std::string> ownMembers(const schema::EntrySettings& settings)
    {
        return membersByDataCentre(settings)[settings.instance().data_centre()];
    }

    StateClientOptions stateOptions(const schema::EntrySettings& settings)
    {
        StateClientOptions out;
        for (const auto& it : settings.states())
            out.states.push_back(it.id());
        return out;
    }

    DispatchOptions dispatchOptions(const schema::EntrySettings& settings, uint64_t seed)
    {
        DispatchOptions out;
        out.dataCentre = settings.instance().data_centre();
        out.members = ownMembers(settings);
        out.seed = seed;
        return out;
    }

    PlacementOptions placementOptions(const schema::EntrySettings& settings, uint64_t seed)
    {
        PlacementOptions out;
        out.dataCentre = settings.instance().data_centre();
        out.seed = seed;
        return out;
    }

    HolderOptions holderOptions(const schema::EntrySettings& settings, const ProcessContext& context)
    {
        HolderOptions out;
        out.instance = settings.instance().id();
        out.incarnation = context.incarnation;
        out.maxHeldRequests = settings.max_held_requests();
        out.seed = context.seed;
        out.startedAt = context.clock.now();
        return out;
    }

    schema::Envelope envelopeWith(const schema::GrantBatch& batch)
    {
        schema::Envelope out;
        *out.mutable_grants() = batch;
        return out;
    }

    schema::Envelope envelopeWith(const schema::TicketBatch& batch)
    {
        schema::Envelope out;
        *out.mutable_tickets() = batch;
        return out;
    }

    schema::Envelope envelopeWith(const schema::Forwarded& message)
    {
        schema::Envelope out;
        *out.mutable_forwarded() = message;
        return out;
    }

    schema::Envelope envelopeWith(const schema::LoadSummary& summary)
    {
        schema::Envelope out;
        *out.mutable_load() = summary;
        return out;
    }

} // namespace

EntryNode::EntryNode(schema::EntrySettings settings, ProcessContext context)
    : m_settings(std::move(settings))
    , m_context(context)
    , m_loop(tickInterval, maxQueuedTasks, context.clock, [this] { onTick(); })
    , m_network(networkOptions(m_settings, context.incarnation), peersOf(m_settings), context.clock,
          [this](schema::Envelope envelope) {
              m_loop.post([this, envelope = std::move(envelope)] { onEnvelope(envelope); });
          })
    , m_httpServer(
          httpOptions(m_settings), [this](HttpRequest request) { dispatchHttp(std::move(request)); },
          [this](uint64_t handle) {
              m_loop.post([this, handle] { m_requestGateway.onCallerDisconnected(handle, m_context.clock.now()); });
          })
    , m_httpClient({}, context.clock)
    , m_stateClient(stateOptions(m_settings), context.incarnation << 20,
          [this](std::string_view to, const schema::Propose& propose) {
              schema::Envelope out;
              *out.mutable_propose() = propose;
              send(to, std::move(out));
          })
    , m_authority(
          { m_settings.instance().id(), m_settings.instance().data_centre(), ownMembers(m_settings),
              context.incarnation, context.seed },
          context.clock, [this](std::string_view to, schema::Envelope it) { send(to, std::move(it)); },
          [this](schema::Envelope it) { sendToState(std::move(it)); },
          { [this](Epoch epoch) { onLeadershipGained(epoch); }, [this] { onLeadershipLost(); },
              [this] { onConfigChanged(); }, [this] { updatePlanes(); },
              [this](const JobsChanged& it) {
                  m_leaderPlanes.onJobs(it.jobs, { it.replacesAll, it.more }, m_context.clock.now());
              } })
    , m_leaderPlanes(
          dispatchOptions(m_settings, context.seed), placementOptions(m_settings, context.seed), m_nameTable,
          [this](std::string_view to, const schema::GrantBatch& batch) { send(to, envelopeWith(batch)); },
          [this](schema::Command command) {
              m_stateClient.propose(std::move(command), false, std::chrono::seconds(5), m_context.clock.now(),
                  [](const schema::CommandResult*, const Error*) {});
          })
    , m_loadExchange(
          { m_settings.instance().data_centre(), membersByDataCentre(m_settings) },
          [this](std::string_view to, const schema::LoadSummary& it) { send(to, envelopeWith(it)); },
          [this] { return m_leaderPlanes.loadSummary(); })
    , m_forwarder(
          { m_settings.instance().data_centre(), membersByDataCentre(m_settings) }, context.incarnation << 20,
          [this](std::string_view to, const schema::Forwarded& it) { send(to, envelopeWith(it)); },
          [this](const schema::Forwarded& it, const Forwarder::Reply& reply) {
              m_endpointGateway.handleLocally(it, reply);
          },
          [this] { return m_authority.leader(m_context.clock.now()); },
          [this] { return m_authority.isLeading(m_context.clock.now()); })
    , m_requestGateway(holderOptions(m_settings, context),
          { context.clock, m_httpServer, m_httpClient, m_loop, m_authority.config(), m_stateClient, context.metrics,
              [this](std::string_view to, const schema::TicketBatch& batch) { send(to, envelopeWith(batch)); } })
    , m_endpointGateway(m_settings.instance().data_centre(), context.clock, m_httpServer, m_forwarder, m_leaderPlanes,
          m_stateClient, m_authority.config())
    , m_configGateway(m_httpServer, m_stateClient, m_authority.config())
{
    for (const auto& it : m_settings.states())
        m_stateReplicas.insert(it.id());
    for (const auto& it : ownMembers(m_settings))
        m_otherMembers.insert(it);
    m_otherMembers.erase(m_settings.instance().id());
}

EntryNode::~EntryNode() { stop(); }

Result<void> EntryNode::start()
{
    BOOST_LEAF_CHECK(m_network.start());
    m_loop.start();
    BOOST_LEAF_CHECK(m_httpServer.start());
    m_context.log.info("entry_started",
        { { "id", m_settings.instance().id() }, { "data_centre", m_settings.instance().data_centre() } });
    return {};
}

void EntryNode::stop()
{
    if (m_isStopped)
        return;
    m_isStopped = true;
    m_isDraining = true;
    m_httpServer.closeAfterAnswers();
    m_loop.postAlways([this] {
        const auto now = m_context.clock.now();
        m_authority.resign(now);
        m_requestGateway.holder().beginShutdown(now);
    });
    const auto deadline = m_context.clock.now() + Milliseconds(static_cast<int64_t>(m_settings.stop_grace_ms()));
    auto quietSince = m_context.clock.now();
    while (m_context.clock.now() < deadline && m_context.clock.now() - quietSince < quietPeriod) {
        std::this_thread::sleep_for(drainPollInterval);
        if (!hasNoOpenRequests())
            quietSince = m_context.clock.now();
    }
    m_httpServer.stopListening();
    m_httpServer.refuseNewRequests();
    m_loop.postAlways([this] {
        m_requestGateway.stopStoringOutcomes();
        m_authority.leave(m_context.clock.now());
    });
    std::this_thread::sleep_for(drainPollInterval);
    m_httpServer.stop();
    m_httpClient.stop();
    m_network.stop();
    m_loop.stop();
}

bool EntryNode::hasNoOpenRequests() { return m_httpServer.pendingRequests() == 0; }

void EntryNode::send(std::string_view to, schema::Envelope envelope)
{
    if (to != m_settings.instance().id()) {
        m_network.send(to, std::move(envelope));
        return;
    }
    envelope.set_from(m_settings.instance().id());
    envelope.set_incarnation(m_context.incarnation);
    m_loop.postAlways([this, envelope = std::move(envelope)] { onEnvelope(envelope); });
}

void EntryNode::sendToState(schema::Envelope envelope)
{
    m_stateClient.expectAnswer(m_context.clock.now());
    m_network.send(m_stateClient.leader(), std::move(envelope));
}

void EntryNode::onEnvelope(const schema::Envelope& envelope)
{
    const auto now = m_context.clock.now();
    const bool fromState = m_stateReplicas.contains(envelope.from());
    if (fromState && envelope.body_case() != schema::Envelope::kProposeAnswer)
        m_stateClient.onContact(envelope.from(), now);
    if (m_otherMembers.contains(envelope.from()))
        m_leaderPlanes.onMemberContact(envelope.from(), now);
    if (m_authority.onEnvelope(envelope, fromState, now))
        return;
    switch (envelope.body_case()) {
    case schema::Envelope::kProposeAnswer:
        m_stateClient.onAnswer(envelope.from(), envelope.propose_answer(), now);
        return;
    case schema::Envelope::kTickets:
        if (m_authority.isLeading(now))
            m_leaderPlanes.dispatch().onTickets(envelope.from(), envelope.tickets(), now);
        return;
    case schema::Envelope::kGrants:
        m_requestGateway.holder().onGrants(envelope.grants(), now);
        return;
    case schema::Envelope::kForwarded:
        onForwarded(envelope, now);
        return;
    case schema::Envelope::kForwardedReply:
        m_forwarder.onReply(envelope.forwarded_reply());
        return;
    case schema::Envelope::kLoad:
        m_loadExchange.onSummary(envelope.from(), envelope.load(), now);
        if (m_authority.isLeading(now))
            m_leaderPlanes.onLoadSummary(envelope.load(), now);
        return;
    default:
        return;
    }
}

void EntryNode::onForwarded(const schema::Envelope& envelope, Instant now)
{
    auto reply = [this, to = envelope.from(), ticket = envelope.forwarded().ticket()](
                     schema::ForwardedReply it) { sendForwardedReply(to, ticket, std::move(it)); };
    m_forwarder.route(envelope.forwarded(), now, std::move(reply));
}

void EntryNode::sendForwardedReply(std::string_view to, uint64_t ticket, schema::ForwardedReply reply)
{
    reply.set_ticket(ticket);
    schema::Envelope out;
    *out.mutable_forwarded_reply() = std::move(reply);
    send(to, std::move(out));
}

void EntryNode::dispatchHttp(HttpRequest request)
{
    // Rendering many metric series is slow, so it is kept off the control thread.
    if (request.path == "/metrics") {
        m_httpServer.answer(
            request.handle, { 200, "text/plain; version=0.0.4", {}, m_context.metrics.renderMetrics() });
        return;
    }
    m_loop.postAlways([this, request = std::move(request)]() mutable { onHttp(std::move(request)); });
}

void EntryNode::onHttp(HttpRequest request)
{
    const auto now = m_context.clock.now();
    const std::string path = request.path;
    const bool mayServe = m_authority.mayServe(now);
    if (path == "/healthz") {
        const bool isHealthy = mayServe && !m_isDraining;
        m_httpServer.answer(
            request.handle, { isHealthy ? 200U : 503U, "text/plain", {}, isHealthy ? "ok\n" : "not serving\n" });
    } else if (path == "/v1/status") {
        m_httpServer.answer(request.handle, { 200, "application/json", {}, statusJson() });
    } else if (path.starts_with(requestsPath) && request.method == "POST") {
        m_requestGateway.onHttp(std::move(request), std::string_view(path).substr(requestsPath.size()), mayServe, now);
    } else if (!m_endpointGateway.onHttp(request, mayServe, now) && !m_configGateway.onHttp(request, now)) {
        const Error error { ErrorKind::NotFound, fmt::format("unknown API call: {} {}", request.method, path), {} };
        m_httpServer.answer(request.handle, errorResponse(error, {}));
    }
}

void EntryNode::onTick()
{
    const auto now = m_context.clock.now();
    m_authority.onTick(now);
    updateLeader(now);
    m_stateClient.onTick(now);
    m_forwarder.onTick(now);
    if (m_authority.isLeading(now)) {
        m_leaderPlanes.setLeaseExpiry(m_authority.leaseExpiry());
        m_leaderPlanes.onTick(now);
        m_loadExchange.onTick(now);
        m_leaderPlanes.executeActions(now);
    }
    m_requestGateway.holder().onTick(now);
    m_requestGateway.executeActions(now);
    if (now >= m_nextNeedsUpdate)
        updateNeeds(now);
}

void EntryNode::updateNeeds(Instant now)
{
    m_nextNeedsUpdate = now + needsUpdateInterval;
    if (m_authority.isLeading(now))
        m_authority.setNeeds(m_leaderPlanes.needs(), now);
    if (now >= m_nextMetricsUpdate)
        updateMetrics(now);
}

void EntryNode::updateLeader(Instant now)
{
    auto leader = m_authority.leader(now);
    const auto epoch = m_authority.leaderEpoch(now);
    if (leader == m_leader && epoch == m_leaderEpoch)
        return;
    m_leader = std::move(leader);
    m_leaderEpoch = epoch;
    m_requestGateway.holder().onLeader(m_leader, m_leaderEpoch, now);
}

void EntryNode::onLeadershipGained(Epoch epoch)
{
    const auto now = m_context.clock.now();
    m_context.log.info("data_centre_leadership_gained",
        { { "id", m_settings.instance().id() }, { "data_centre", m_settings.instance().data_centre() },
            { "epoch", epoch } });
    m_context.metrics.counter(ProcessCounter::LeaderChanges).Increment();
    m_leaderPlanes.setLeaseExpiry(m_authority.leaseExpiry());
    m_leaderPlanes.onLeadershipGained(epoch, now);
    updatePlanes();
}

void EntryNode::onLeadershipLost()
{
    m_context.log.info("data_centre_leadership_lost", { { "id", m_settings.instance().id() } });
    m_leaderPlanes.onLeadershipLost(m_context.clock.now());
}

void EntryNode::onConfigChanged()
{
    const auto now = m_context.clock.now();
    m_nameTable.configure(m_authority.config().config());
    m_context.metrics.counter(ProcessCounter::ConfigurationChanges).Increment();
    revokeKeys(now);
    updatePlanes();
}

void EntryNode::revokeKeys(Instant now)
{
    absl::btree_set<std::string> keys;
    for (const auto& it : m_authority.config().config().keys())
        keys.insert(it.id());
    std::vector<std::string> revoked;
    for (const auto& it : m_validKeys) {
        if (!keys.contains(it))
            revoked.push_back(it);
    }
    m_validKeys = std::move(keys);
    if (revoked.empty())
        return;
    m_leaderPlanes.dispatch().onKeysRevoked(revoked, now);
    m_requestGateway.holder().onKeysRevoked(revoked, now);
}

void EntryNode::updatePlanes()
{
    m_leaderPlanes.onConfig(m_authority.config(), m_authority.portions(), m_context.clock.now());
}

std::string EntryNode::statusJson() const
{
    const auto now = m_context.clock.now();
    const auto requests = m_leaderPlanes.dispatch().stats();
    const auto tasks = m_leaderPlanes.placement().stats();
    std::string teams;
    if (m_authority.isLeading(now)) {
        const auto load = m_leaderPlanes.loadSummary();
        for (const auto& it : load.teams()) {
            const auto* team = m_authority.config().team(it.team_id());
            teams += fmt::format(R"({}{{"team":{},"running":{},"waiting":{},"task_milli_cpus":{}}})",
                teams.empty() ? "" : ",", jsonString(team == nullptr ? "" : team->name()), it.running(), it.waiting(),
                it.tasks().milli_cpus());
        }
    }
    return fmt::format(
        R"({{"instance":{},"data_centre":{},"role":"{}","leader":{},"epoch":{},"revision":{},"may_serve":{},"cut_off":{},"draining":{},"held":{},"waiting":{},"in_flight":{},"executors":{},"workers":{},"tasks_running":{},"tasks_waiting":{},"teams":[{}]}})",
        jsonString(m_settings.instance().id()), jsonString(m_settings.instance().data_centre()),
        m_authority.isLeading(now) ? "leader" : "member", jsonString(m_leader), m_leaderEpoch,
        m_authority.config().revision(), m_authority.mayServe(now), m_authority.isCutOff(now), m_isDraining.load(),
        m_requestGateway.holder().stats().held, requests.waiting, requests.inFlight, requests.executors, tasks.workers,
        tasks.tasksPlaced, tasks.tasksWaiting, teams);
}

void EntryNode::updateMetrics(Instant now)
{
    m_nextMetricsUpdate = now + metricsInterval;
    auto& metrics = m_context.metrics;
    const bool leads = m_authority.isLeading(now);
    metrics.gauge(ProcessGauge::IsLeader).Set(leads ? 1 : 0);
    metrics.gauge(ProcessGauge::Epoch).Set(static_cast<double>(m_leaderEpoch));
    metrics.gauge(ProcessGauge::Revision).Set(static_cast<double>(m_authority.config().revision()));
    metrics.gauge(ProcessGauge::CutOff).Set(m_authority.isCutOff(now) ? 1 : 0);
    metrics.gauge(ProcessGauge::HeldRequests).Set(static_cast<double>(m_requestGateway.holder().stats().held));
    reportDrops(m_network, m_context);
    reportClosedCallers(m_httpServer, m_context);
    if (!leads)
        return;
    metrics.gauge(ProcessGauge::Executors).Set(static_cast<double>(m_leaderPlanes.dispatch().stats().executors));
    const auto leaseLeft = std::chrono::duration<double>(m_authority.leaseExpiry() - now);
    metrics.gauge(ProcessGauge::LeadershipLeaseLeft).Set(leaseLeft.count());
    reportLeaderMetrics(metrics, m_authority.config(), m_leaderPlanes.loadSummary(), m_authority.portions(),
        m_leaderPlanes.placement().stats());
}

} // namespace teasel
