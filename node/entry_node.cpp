#include "node/entry_node.h"

#include "node/http_answers.h"
#include "node/leader_metrics.h"
#include "node/peer_settings.h"

#include <fmt/format.h>

#include <thread>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds tickEvery { 5 };
    constexpr size_t maxQueuedTasks = 200'000;
    constexpr Milliseconds reviewEvery { 50 };
    constexpr Milliseconds metricsEvery { 500 };
    constexpr Milliseconds drainCheckEvery { 20 };
    constexpr Milliseconds quietTime { 500 }; // after the last answer, for connections that callers still hold open
    constexpr std::string_view requestsPath = "/v1/requests/";

    HttpServerOptions httpOptions(const schema::EntrySettings& settings)
    {
        return { settings.http_address(), settings.http_threads(), settings.max_connections(),
            settings.max_body_bytes() };
    }

    absl::flat_hash_map<std::string, std::vector<std::string>> membersOf(const schema::EntrySettings& settings)
    {
        absl::flat_hash_map<std::string, std::vector<std::string>> out;
        for (const auto& it : settings.entries())
            out[it.data_centre()].push_back(it.id());
        return out;
    }

    std::vector<std::string> ownMembers(const schema::EntrySettings& settings)
    {
        return membersOf(settings)[settings.instance().data_centre()];
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

    HolderOptions holderOptions(const schema::EntrySettings& settings, const ProcessLinks& links)
    {
        HolderOptions out;
        out.instance = settings.instance().id();
        out.incarnation = links.incarnation;
        out.maxHeld = settings.max_held_requests();
        out.seed = links.seed;
        out.startedAt = links.clock.now();
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

EntryNode::EntryNode(schema::EntrySettings settings, ProcessLinks links)
    : m_settings(std::move(settings))
    , m_links(links)
    , m_loop(tickEvery, maxQueuedTasks, [this] { onTick(); })
    , m_network(networkOptions(m_settings, links.incarnation), peersOf(m_settings), links.clock,
          [this](schema::Envelope envelope) {
              m_loop.post([this, envelope = std::move(envelope)] { onEnvelope(envelope); });
          })
    , m_http(
          httpOptions(m_settings), [this](HttpRequest request) { takeHttp(std::move(request)); },
          [this](uint64_t handle) {
              m_loop.post([this, handle] { m_requests.onCallerGone(handle, m_links.clock.now()); });
          })
    , m_client({})
    , m_state(stateOptions(m_settings), links.incarnation << 20,
          [this](std::string_view to, const schema::Propose& propose) {
              schema::Envelope out;
              *out.mutable_propose() = propose;
              send(to, std::move(out));
          })
    , m_authority(
          { m_settings.instance().id(), m_settings.instance().data_centre(), ownMembers(m_settings), links.incarnation,
              links.seed },
          links.clock, [this](std::string_view to, schema::Envelope it) { send(to, std::move(it)); },
          [this](schema::Envelope it) { sendToState(std::move(it)); },
          { [this](Epoch epoch) { onGained(epoch); }, [this] { onLost(); }, [this] { onConfigChanged(); },
              [this] { refreshPlanes(); },
              [this](const JobsChanged& it) {
                  m_planes.onJobs(it.jobs, { it.whole, it.more }, m_links.clock.now());
              } })
    , m_planes(
          dispatchOptions(m_settings, links.seed), placementOptions(m_settings, links.seed), m_names,
          [this](std::string_view to, const schema::GrantBatch& batch) { send(to, envelopeWith(batch)); },
          [this](schema::Command command) {
              m_state.propose(std::move(command), false, std::chrono::seconds(5), m_links.clock.now(),
                  [](const schema::CommandResult*, const Error*) {});
          })
    , m_loads(
          { m_settings.instance().data_centre(), membersOf(m_settings) },
          [this](std::string_view to, const schema::LoadSummary& it) { send(to, envelopeWith(it)); },
          [this] { return m_planes.loadSummary(); })
    , m_forwarder(
          { m_settings.instance().data_centre(), membersOf(m_settings) }, links.incarnation << 20,
          [this](std::string_view to, const schema::Forwarded& it) { send(to, envelopeWith(it)); },
          [this](const schema::Forwarded& it, const Forwarder::Reply& reply) { m_endpoints.handleHere(it, reply); },
          [this] { return m_authority.leader(m_links.clock.now()); },
          [this] { return m_authority.leads(m_links.clock.now()); })
    , m_requests(holderOptions(m_settings, links),
          { links.clock, m_http, m_client, m_loop, m_authority.config(), m_state, links.metrics,
              [this](std::string_view to, const schema::TicketBatch& batch) { send(to, envelopeWith(batch)); } })
    , m_endpoints(m_settings.instance().data_centre(), links.clock, m_http, m_forwarder, m_planes, m_state,
          m_authority.config())
    , m_configuration(m_http, m_state, m_authority.config())
{
    for (const auto& it : m_settings.states())
        m_states.insert(it.id());
    for (const auto& it : ownMembers(m_settings))
        m_members.insert(it);
    m_members.erase(m_settings.instance().id());
}

EntryNode::~EntryNode() { stop(); }

Result<void> EntryNode::start()
{
    BOOST_LEAF_CHECK(m_network.start());
    m_loop.start();
    BOOST_LEAF_CHECK(m_http.start());
    m_links.log.info("entry_started",
        { { "id", m_settings.instance().id() }, { "data_centre", m_settings.instance().data_centre() } });
    return {};
}

void EntryNode::stop()
{
    if (m_stopped)
        return;
    m_stopped = true;
    m_draining = true;
    m_loop.postAlways([this] {
        const auto now = m_links.clock.now();
        m_authority.resign(now);
        m_requests.holder().beginShutdown(now);
    });
    const auto until = m_links.clock.now() + Milliseconds(static_cast<int64_t>(m_settings.stop_grace_ms()));
    auto quietSince = m_links.clock.now();
    while (m_links.clock.now() < until && m_links.clock.now() - quietSince < quietTime) {
        std::this_thread::sleep_for(drainCheckEvery);
        if (!drained())
            quietSince = m_links.clock.now();
    }
    m_http.stopListening();
    m_loop.postAlways([this] {
        m_requests.stopStoring();
        m_authority.leave(m_links.clock.now());
    });
    std::this_thread::sleep_for(drainCheckEvery);
    m_http.stop();
    m_client.stop();
    m_network.stop();
    m_loop.stop();
}

bool EntryNode::drained() { return m_http.waiting() == 0; }

void EntryNode::send(std::string_view to, schema::Envelope envelope)
{
    if (to != m_settings.instance().id()) {
        m_network.send(to, std::move(envelope));
        return;
    }
    envelope.set_from(m_settings.instance().id());
    envelope.set_incarnation(m_links.incarnation);
    m_loop.postAlways([this, envelope = std::move(envelope)] { onEnvelope(envelope); });
}

void EntryNode::sendToState(schema::Envelope envelope)
{
    m_state.expectAnswer(m_links.clock.now());
    m_network.send(m_state.leader(), std::move(envelope));
}

void EntryNode::onEnvelope(const schema::Envelope& envelope)
{
    const auto now = m_links.clock.now();
    const bool fromState = m_states.contains(envelope.from());
    if (fromState && envelope.body_case() != schema::Envelope::kProposeAnswer)
        m_state.onHeard(envelope.from(), now);
    if (m_members.contains(envelope.from()))
        m_planes.onMemberHeard(envelope.from(), now);
    if (m_authority.onEnvelope(envelope, fromState, now))
        return;
    switch (envelope.body_case()) {
    case schema::Envelope::kProposeAnswer:
        m_state.onAnswer(envelope.from(), envelope.propose_answer(), now);
        return;
    case schema::Envelope::kTickets:
        if (m_authority.leads(now))
            m_planes.dispatch().onTickets(envelope.from(), envelope.tickets(), now);
        return;
    case schema::Envelope::kGrants:
        m_requests.holder().onGrants(envelope.grants(), now);
        return;
    case schema::Envelope::kForwarded:
        onForwarded(envelope, now);
        return;
    case schema::Envelope::kForwardedReply:
        m_forwarder.onReply(envelope.forwarded_reply());
        return;
    case schema::Envelope::kLoad:
        m_loads.onSummary(envelope.from(), envelope.load(), now);
        if (m_authority.leads(now))
            m_planes.onLoadSummary(envelope.load(), now);
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

void EntryNode::takeHttp(HttpRequest request)
{
    // Rendering takes long with many series; it stays off the control thread.
    if (request.path == "/metrics") {
        m_http.answer(request.handle, { 200, "text/plain; version=0.0.4", {}, m_links.metrics.renderMetrics() });
        return;
    }
    m_loop.postAlways([this, request = std::move(request)]() mutable { onHttp(std::move(request)); });
}

void EntryNode::onHttp(HttpRequest request)
{
    const auto now = m_links.clock.now();
    const std::string path = request.path;
    const bool mayServe = m_authority.mayServe(now);
    if (path == "/healthz") {
        const bool well = mayServe && !m_draining;
        m_http.answer(request.handle, { well ? 200U : 503U, "text/plain", {}, well ? "ok\n" : "not serving\n" });
    } else if (path == "/v1/status") {
        m_http.answer(request.handle, { 200, "application/json", {}, statusJson() });
    } else if (path.starts_with(requestsPath) && request.method == "POST") {
        m_requests.onHttp(std::move(request), std::string_view(path).substr(requestsPath.size()), mayServe, now);
    } else if (!m_endpoints.onHttp(request, mayServe, now) && !m_configuration.onHttp(request, now)) {
        const Error error { ErrorKind::NotFound, fmt::format("{} {} is not a call of this API", request.method, path),
            {} };
        m_http.answer(request.handle, errorResponse(error, {}));
    }
}

void EntryNode::onTick()
{
    const auto now = m_links.clock.now();
    m_authority.onTick(now);
    followLeader(now);
    m_state.onTick(now);
    m_forwarder.onTick(now);
    if (m_authority.leads(now)) {
        m_planes.onLeaseUntil(m_authority.leaseUntil());
        m_planes.onTick(now);
        m_loads.onTick(now);
        m_planes.carryOut(now);
    }
    m_requests.holder().onTick(now);
    m_requests.carryOut(now);
    if (now >= m_nextReview)
        reviewNeeds(now);
}

void EntryNode::reviewNeeds(Instant now)
{
    m_nextReview = now + reviewEvery;
    if (m_authority.leads(now))
        m_authority.setNeeds(m_planes.needs(), now);
    if (now >= m_nextMetrics)
        updateMetrics(now);
}

void EntryNode::followLeader(Instant now)
{
    auto leader = m_authority.leader(now);
    const auto epoch = m_authority.leaderEpoch(now);
    if (leader == m_leader && epoch == m_leaderEpoch)
        return;
    m_leader = std::move(leader);
    m_leaderEpoch = epoch;
    m_requests.holder().onLeader(m_leader, m_leaderEpoch, now);
}

void EntryNode::onGained(Epoch epoch)
{
    const auto now = m_links.clock.now();
    m_links.log.info("data_centre_leadership_gained",
        { { "id", m_settings.instance().id() }, { "data_centre", m_settings.instance().data_centre() },
            { "epoch", epoch } });
    m_links.metrics.counter(ProcessCounter::LeaderChanges).Increment();
    m_planes.onLeaseUntil(m_authority.leaseUntil());
    m_planes.onGained(epoch, now);
    refreshPlanes();
}

void EntryNode::onLost()
{
    m_links.log.info("data_centre_leadership_lost", { { "id", m_settings.instance().id() } });
    m_planes.onLost(m_links.clock.now());
}

void EntryNode::onConfigChanged()
{
    const auto now = m_links.clock.now();
    m_names.configure(m_authority.config().config());
    m_links.metrics.counter(ProcessCounter::ConfigurationChanges).Increment();
    withdrawKeys(now);
    refreshPlanes();
}

void EntryNode::withdrawKeys(Instant now)
{
    absl::btree_set<std::string> keys;
    for (const auto& it : m_authority.config().config().keys())
        keys.insert(it.id());
    std::vector<std::string> withdrawn;
    for (const auto& it : m_keys) {
        if (!keys.contains(it))
            withdrawn.push_back(it);
    }
    m_keys = std::move(keys);
    if (withdrawn.empty())
        return;
    m_planes.dispatch().onKeysWithdrawn(withdrawn, now);
    m_requests.holder().onKeysWithdrawn(withdrawn, now);
}

void EntryNode::refreshPlanes()
{
    m_planes.onConfig(m_authority.config(), m_authority.portions(), m_links.clock.now());
}

std::string EntryNode::statusJson() const
{
    const auto now = m_links.clock.now();
    const auto requests = m_planes.dispatch().stats();
    const auto tasks = m_planes.placement().stats();
    std::string teams;
    if (m_authority.leads(now)) {
        const auto load = m_planes.loadSummary();
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
        m_authority.leads(now) ? "leader" : "member", jsonString(m_leader), m_leaderEpoch,
        m_authority.config().revision(), m_authority.mayServe(now), m_authority.cutOff(now), m_draining.load(),
        m_requests.holder().stats().held, requests.waiting, requests.inFlight, requests.executors, tasks.workers,
        tasks.tasksPlaced, tasks.tasksWaiting, teams);
}

void EntryNode::updateMetrics(Instant now)
{
    m_nextMetrics = now + metricsEvery;
    auto& metrics = m_links.metrics;
    const bool leads = m_authority.leads(now);
    metrics.gauge(ProcessGauge::IsLeader).Set(leads ? 1 : 0);
    metrics.gauge(ProcessGauge::Epoch).Set(static_cast<double>(m_leaderEpoch));
    metrics.gauge(ProcessGauge::Revision).Set(static_cast<double>(m_authority.config().revision()));
    metrics.gauge(ProcessGauge::CutOff).Set(m_authority.cutOff(now) ? 1 : 0);
    metrics.gauge(ProcessGauge::HeldRequests).Set(static_cast<double>(m_requests.holder().stats().held));
    if (!leads)
        return;
    metrics.gauge(ProcessGauge::Executors).Set(static_cast<double>(m_planes.dispatch().stats().executors));
    const auto leaseLeft = std::chrono::duration<double>(m_authority.leaseUntil() - now);
    metrics.gauge(ProcessGauge::LeadershipLeaseLeft).Set(leaseLeft.count());
    reportLeaderMetrics(
        metrics, m_authority.config(), m_planes.loadSummary(), m_authority.portions(), m_planes.placement().stats());
}

} // namespace teasel
