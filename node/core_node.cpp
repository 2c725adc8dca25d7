#include "node/core_node.h"

#include "node/caller_limits.h"
#include "node/job_plane_common.h"
#include "node/log_limits.h"
#include "node/network_metrics.h"
#include "node/order_age.h"
#include "platform/call_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds tickInterval { 10 };
    constexpr size_t maxQueuedTasks = 100'000;
    constexpr Milliseconds voterPlanInterval { 250 };
    constexpr Milliseconds instanceUpdateInterval { 500 };
    constexpr Milliseconds metricsInterval { 1'000 };
    // Maximum time without a registration; several in a row are then missing.
    constexpr Milliseconds instanceTimeout { 1'500 };
    // Maximum time without a registration; orders sent through a silent instance would be delayed.
    constexpr Milliseconds orderSenderTimeout { 900 };
    constexpr Milliseconds handoverDelay { 600 };
    // On stop, calls that the leader has not answered by then are answered as unknown.
    constexpr Milliseconds stopTime { 2'100 };
    // One lease renewal, one poll and four other orders at a time. An executor accepts 64 connections, and those of
    // instances that lost power stay open there.
    constexpr unsigned connectionsPerExecutor = 6;
    // Up to this many executors, the leader also sends orders itself.
    constexpr size_t maxExecutorsForSendingLeader = 120;
    constexpr size_t maxRejectedCalls = 20'000;
    // Log records kept before a snapshot, so that replicas that were away for seconds catch up from the log.
    constexpr uint64_t keepLogRecords = 2'000;
    constexpr size_t maxControlBodyBytes = 4 << 20; // of a configuration

    // What is accepted can also be proposed, replicated and forwarded.
    constexpr size_t commandOverheadBytes = 64 << 10;
    static_assert(defaultMaxBatchBytes + defaultMaxChangeBytes + commandOverheadBytes <= defaultMaxCommandBytes);
    static_assert(defaultMaxCommandBytes + messageOverheadBytes <= maxEnvelopeBytes);
    static_assert(maxControlBodyBytes <= defaultMaxChangeBytes);
    static_assert(defaultMaxChangeBytes + messageOverheadBytes <= maxEnvelopeBytes);

    ReplicatedLogOptions logOptions(const schema::CoreSettings& settings, uint64_t seed)
    {
        ReplicatedLogOptions out;
        out.replica.id = settings.instance().peer_address();
        out.replica.seed = seed;
        out.replica.retainedRecords = keepLogRecords;
        // The settings name the voters only for the first start of the cluster; afterwards the log holds them.
        if (settings.first_start()) {
            for (const auto& it : seedPeers(settings))
                out.replica.bootstrap.add_voters(it);
        }
        out.replica.isReplacement = !settings.first_start();
        out.snapshotEveryRecords = settings.snapshot_every_records();
        setByteLimits(out, settings.snapshot_every_bytes());
        return out;
    }

    JobLeaderOptions leaderOptions(const schema::CoreSettings& core)
    {
        JobLeaderOptions out;
        for (const auto& it : core.data_centres())
            out.regions[it.name()] = it.region();
        const auto& settings = core.jobs();
        out.maxLease = Milliseconds(static_cast<int64_t>(settings.max_lease_ms()));
        out.stopTime = Milliseconds(static_cast<int64_t>(settings.stop_ms()));
        out.gangTimeout = Milliseconds(static_cast<int64_t>(settings.gang_wait_ms()));
        out.planner.remoteFactor = settings.remote_factor();
        out.capOvershootShare = settings.cap_overshoot();
        out.planner.capacityReserver.restoreTime = Milliseconds(static_cast<int64_t>(settings.restore_ms()));
        if (settings.has_evacuation_ms())
            out.evacuationTime = Milliseconds(static_cast<int64_t>(settings.evacuation_ms()));
        out.isContentionControlled = settings.contention_control();
        out.usesLearnedRunTimes = settings.run_times().order();
        out.usesLearnedSpeeds = settings.run_times().placement();
        out.endedJobRetention = Milliseconds(static_cast<int64_t>(settings.keep_ended_ms()));
        return out;
    }

    LeaderRelayOptions relayOptions(const schema::CoreSettings& settings, uint64_t incarnation)
    {
        LeaderRelayOptions out;
        out.self = settings.instance().peer_address();
        out.firstNumber = incarnation << callNumberBits;
        out.isCore = true;
        out.dataCentre = settings.instance().data_centre();
        out.seeds = seedPeers(settings);
        return out;
    }

    VoterPlannerOptions voterOptions(const schema::CoreSettings& settings)
    {
        VoterPlannerOptions out;
        out.toleratedLosses = settings.tolerated_losses();
        return out;
    }

} // namespace

CoreNode::CoreNode(schema::CoreSettings settings, ProcessContext context)
    : m_settings(std::move(settings))
    , m_context(context)
    , m_self(m_settings.instance().peer_address())
    , m_state(Milliseconds(static_cast<int64_t>(m_settings.jobs().keep_ended_ms())))
    , m_leader(leaderOptions(m_settings), m_state)
    , m_voters(voterOptions(m_settings))
    , m_disk(m_settings.data_folder())
    , m_loop(tickInterval, maxQueuedTasks, context.clock, [this] { onTick(); })
    , m_network(jobPlaneNetworkOptions(m_self, context.incarnation), {}, context.clock,
          [this](schema::Envelope envelope) {
              m_loop.post([this, envelope = std::move(envelope)] { onEnvelope(envelope); });
          })
    , m_controlServer(
          limitedToMachine({ m_settings.control_address(), 1, 1'024, maxControlBodyBytes, maxBufferedCallBytes }),
          [this](HttpRequest request) {
              if (platform::isConfigurationChange(request.method, request.path))
                  return m_decoder.post(
                      [this, request = std::move(request)]() mutable { onConfigurationChange(std::move(request)); });
              m_loop.postAlways([this, request = std::move(request)]() mutable { onHttp(std::move(request)); });
          },
          {})
    , m_metricsServer({ m_settings.metrics_address(), 1, 16 },
          [this](const HttpRequest& request) {
              m_metricsServer.answer(request.handle, metricsResponse(request, m_context.metrics));
          },
          {})
    , m_httpClient({ 1, connectionsPerExecutor, 4 << 20, true }, context.clock)
    , m_relay(
          relayOptions(m_settings, context.incarnation),
          [this](std::string_view to, schema::Envelope envelope) { sendEnvelope(to, std::move(envelope)); },
          [this](const std::string& leader, uint64_t term) {
              m_context.log.info("leader_found", { { "leader", leader }, { "term", term } });
          })
    , m_rejectedCalls(maxRejectedCalls)
{
}

CoreNode::~CoreNode() { stop(); }

Result<void> CoreNode::start()
{
    BOOST_LEAF_CHECK(m_disk.open());
    m_log.emplace(
        logOptions(m_settings, m_context.seed), m_context.clock, m_disk, m_state,
        [this](std::string_view to, const schema::ConsensusMessage& message) {
            schema::Envelope envelope;
            *envelope.mutable_consensus() = message;
            m_network.send(to, std::move(envelope));
        },
        [this](std::function<void()> task) { m_loop.postAlways(std::move(task)); },
        ReplicatedLogEvents {
            [this](uint64_t ticket, const std::string&) { m_leader.onCommitted(ticket, m_context.clock.now()); },
            [](uint64_t) {}, // A proposal is dropped only when leadership is lost, which drops all open calls.
            [this](bool serving) { onServingChanged(serving); },
            [this](const Error& error) {
                m_failed = true;
                m_context.log.error("storage_failed", { { "reason", error.message } });
            } });
    const auto now = m_context.clock.now();
    BOOST_LEAF_CHECK(m_log->start(now));
    BOOST_LEAF_CHECK(m_network.start());
    BOOST_LEAF_CHECK(m_controlServer.start());
    BOOST_LEAF_CHECK(m_metricsServer.start());
    m_loop.start();
    m_context.log.info("core_started",
        { { "id", m_settings.instance().id() }, { "address", m_self },
            { "data_centre", m_settings.instance().data_centre() }, { "first_start", m_settings.first_start() },
            { "may_vote", m_log->replica().mayVote() }, { "records", m_log->replica().log().lastIndex() },
            { "configuration", m_state.configuration().version() }, { "jobs", m_state.jobs().size() } });
    return {};
}

void CoreNode::reload(const schema::CoreSettings& settings)
{
    m_loop.postAlways([this, seeds = seedPeers(settings)] { m_relay.addSeeds(seeds); });
    m_context.log.info("settings_reloaded", { { "seeds", settings.seeds_size() } });
}

void CoreNode::stop()
{
    if (std::exchange(m_isStopping, true))
        return;
    const auto begin = m_context.clock.now();
    const auto grace = Milliseconds(static_cast<int64_t>(m_settings.stop_grace_ms()));
    const auto answerBy = begin + std::min(stopTime, grace / 2);
    m_controlServer.closeAfterAnswers();
    m_loop.postAlways([this, answerBy] {
        m_relay.setStopping();
        m_relay.answerAllBy(answerBy);
        if (m_log)
            m_log->transferLeadership(m_context.clock.now());
    });
    std::this_thread::sleep_for(std::min<Duration>(handoverDelay, answerBy - begin));
    m_controlServer.stopListening();
    drainRequests(m_controlServer, m_context.clock, answerBy, begin + grace);
    m_controlServer.stop();
    m_metricsServer.stop();
    m_httpClient.stop();
    m_network.stop();
    m_loop.stop();
}

// ---- Leadership ----------------------------------------------------------

void CoreNode::onServingChanged(bool serving)
{
    const auto now = m_context.clock.now();
    m_context.log.info(serving ? "core_leadership_gained" : "core_leadership_lost",
        { { "id", m_settings.instance().id() }, { "term", m_log->replica().term() },
            { "applied", m_log->replica().appliedIndex() } });
    m_context.metrics.counter(ProcessCounter::LeaderChanges).Increment();
    if (serving) {
        startLeading(now);
        return;
    }
    m_leader.onLostLeadership();
    for (const auto& [handle, it] : m_pendingCalls)
        returnRoutedCall(it.origin);
    m_pendingCalls.clear();
}

void CoreNode::startLeading(Instant now)
{
    m_rejectedCalls.onBecameLeader();
    m_instances.clear();
    m_orderSenders.clear();
    m_orderBatches.clear();
    m_voters.onBecameLeader(m_log->replica().voters(), now);
    m_lagReporter.onBecameLeader(now, m_log->replica().lastLeaderContactAt());
    m_leader.onBecameLeader(m_log->replica().term(), now, m_context.clock.wallNow());
    m_leader.setAdviceInstances({ m_self });
    executeActions(now);
    schema::CoreView view = makeView(now);
    m_relay.onView(m_self, view, now);
    // Core instances are notified of the new leader at once; the others find it with their next registration.
    for (const auto& it : m_relay.coreInstances()) {
        if (it == m_self)
            continue;
        schema::Envelope envelope;
        *envelope.mutable_core_view() = view;
        m_network.send(it, std::move(envelope));
    }
}

schema::CoreView CoreNode::makeView(Instant now) const
{
    schema::CoreView view;
    view.set_is_leader(m_log && m_leader.isLeading() && m_log->holdsLease(now));
    view.set_term(m_log ? m_log->replica().term() : 0);
    view.set_sent_at_ms(batchClockMs(now));
    view.set_leader(std::string(m_log ? m_log->leaderHint() : std::string_view()));
    if (view.is_leader()) {
        for (const auto& it : m_log->replica().voters().voters())
            view.add_core(it);
        for (const auto& it : m_log->replica().voters().learners())
            view.add_core(it);
    } else {
        for (const auto& it : m_relay.coreInstances())
            view.add_core(it);
    }
    return view;
}

void CoreNode::planVoters(Instant now)
{
    m_nextVoterPlan = now + voterPlanInterval;
    const auto change = m_voters.nextChange(m_log->replica().voters(), m_self, now);
    if (!change)
        return;
    const auto outcome = valueOrError([&] { return m_log->changeVoters(*change, now); });
    const auto* error = std::get_if<Error>(&outcome);
    m_context.log.info("voters_change",
        { { "instance", change->replica }, { "kind", static_cast<int>(change->kind) },
            { "voters", m_log->replica().voters().voters_size() },
            { "outcome", error == nullptr ? "proposed" : error->message } });
}

void CoreNode::updateInstances(Instant now)
{
    m_nextInstanceUpdate = now + instanceUpdateInterval;
    std::vector<std::string> advisers { m_self };
    m_orderSenders.clear();
    for (auto it = m_instances.begin(); it != m_instances.end();) {
        if (now - it->second.lastContactAt > instanceTimeout) {
            m_context.log.info("instance_silent", { { "instance", it->first } });
            it = m_instances.erase(it);
            continue;
        }
        advisers.push_back(it->first);
        if (it->second.isCore && now - it->second.lastContactAt <= orderSenderTimeout)
            m_orderSenders[it->second.dataCentre].push_back(it->first);
        ++it;
    }
    m_leader.setAdviceInstances(std::move(advisers));
    // With many executors, the core instances of the other data centres also send the orders for the leader's own
    // data centre, so that the leader has more time for scheduling.
    auto& own = m_orderSenders[m_settings.instance().data_centre()];
    if (m_state.executors().size() > maxExecutorsForSendingLeader) {
        for (const auto& [dataCentre, others] : m_orderSenders) {
            if (dataCentre != m_settings.instance().data_centre())
                own.insert(own.end(), others.begin(), others.end());
        }
    }
    if (own.empty())
        own.push_back(m_self);
}

// ---- Messages ------------------------------------------------------------

void CoreNode::sendEnvelope(std::string_view to, schema::Envelope envelope)
{
    if (to != m_self) {
        m_network.send(to, std::move(envelope));
        return;
    }
    // The network does not deliver to the sender.
    envelope.set_from(m_self);
    envelope.set_incarnation(m_context.incarnation);
    m_loop.postAlways([this, envelope = std::move(envelope)] { onEnvelope(envelope); });
}

void CoreNode::onEnvelope(const schema::Envelope& envelope)
{
    const auto now = m_context.clock.now();
    switch (envelope.body_case()) {
    case schema::Envelope::kConsensus:
        m_log->onMessage(envelope.from(), envelope.consensus(), now);
        return;
    case schema::Envelope::kCoreHello:
        return onRegistration(envelope.from(), envelope.core_hello(), now);
    case schema::Envelope::kCoreView:
        return m_relay.onView(envelope.from(), envelope.core_view(), now);
    case schema::Envelope::kRoutedCall:
        return onRoutedCall(envelope, now);
    case schema::Envelope::kRoutedAnswer:
        return m_relay.onAnswer(envelope.routed_answer(), now);
    case schema::Envelope::kAdviceCall:
        sendAdviceCall(envelope.advice_call(), [this, from = envelope.from()](schema::AdviceResult result) {
            schema::Envelope out;
            *out.mutable_advice_result() = std::move(result);
            sendEnvelope(from, std::move(out));
        });
        return;
    case schema::Envelope::kAdviceResult:
        return onAdvice(envelope.advice_result(), now);
    case schema::Envelope::kOrderBatch:
        return onOrderBatch(envelope.from(), envelope.order_batch(), now);
    case schema::Envelope::kResultBatch:
        return onResultBatch(envelope.result_batch(), now);
    default:
        return;
    }
}

void CoreNode::onRegistration(const std::string& from, const schema::CoreHello& registration, Instant now)
{
    if (registration.is_core()) {
        if (registration.is_stopping())
            m_voters.onStopping(from);
        else
            m_voters.onRegistration(from, now);
    }
    auto& instance = m_instances[from];
    if (now - instance.lastContactAt > instanceTimeout && m_leader.isLeading())
        m_context.log.info("instance_registered", { { "instance", from }, { "is_core", registration.is_core() } });
    instance = { now, registration.is_core(), registration.data_centre(), registration.sent_at_ms() };
    schema::Envelope out;
    *out.mutable_core_view() = makeView(now);
    sendEnvelope(from, std::move(out));
}

// ---- Actions -------------------------------------------------------------

void CoreNode::onTick()
{
    const auto now = m_context.clock.now();
    m_log->onTick(now);
    m_relay.setHasState(m_log->replica().mayVote());
    m_relay.onTick(now);
    if (m_leader.isLeading()) {
        m_leader.onTick(now, m_context.clock.wallNow());
        // What is ready does not wait for the planning of further starts.
        sendActions(now);
        finishLeaderBatch(m_context.clock.now());
        if (now >= m_nextVoterPlan)
            planVoters(now);
        if (now >= m_nextInstanceUpdate)
            updateInstances(now);
    }
    sendActions(m_context.clock.now());
    m_leader.onLag(m_loop.batchAge(), now);
    if (now >= m_nextMetricsUpdate)
        updateMetrics(now);
}

void CoreNode::finishLeaderBatch(Instant now)
{
    const auto rounds = m_leader.counters().planningRounds;
    m_leader.finishBatch(now, m_context.clock.wallNow());
    if (m_leader.counters().planningRounds != rounds) {
        const auto took = m_context.clock.now() - now;
        m_leader.onRoundMeasured(took);
        m_lagReporter.onRound(took);
    }
    m_leader.setDetailLogged(m_context.log.keepsDetail());
}

void CoreNode::executeActions(Instant now)
{
    for (auto actions = m_leader.takeActions(); !actions.empty(); actions = m_leader.takeActions()) {
        for (auto& it : actions)
            std::visit([&](auto& action) { execute(action, now); }, it);
    }
}

void CoreNode::sendActions(Instant now)
{
    executeActions(now);
    flushOrders();
    m_log->flushProposals();
}

void CoreNode::execute(ProposeJobs& action, Instant now)
{
    auto command = action.command.SerializeAsString();
    const auto bytes = command.size();
    if (m_log->propose(std::move(command), action.ticket, now))
        return;
    m_context.log.warning("proposal_rejected",
        { { "ticket", action.ticket }, { "bytes", bytes }, { "leads", m_log->isLeader() },
            { "log_bytes", m_log->replica().log().bytes() } });
    // The changes can't be taken back, and later ones depend on them: the next leader starts from what is committed.
    m_loop.postAlways([this] { m_log->transferLeadership(m_context.clock.now()); });
}

void CoreNode::execute(JobLogLine& action, Instant)
{
    m_context.log.infoWithFields(action.event, action.fields, action.priority);
}

void CoreNode::updateMetrics(Instant now)
{
    m_nextMetricsUpdate = now + metricsInterval;
    m_context.metrics.gauge(ProcessGauge::IsLeader).Set(m_leader.isLeading() ? 1 : 0);
    m_context.metrics.gauge(ProcessGauge::Revision).Set(static_cast<double>(m_state.configuration().version()));
    m_context.metrics.gauge(ProcessGauge::Epoch).Set(static_cast<double>(m_log->replica().term()));
    m_context.metrics.gauge(ProcessGauge::Executors).Set(static_cast<double>(m_leader.usableExecutors(now)));
    m_context.metrics.gauge(ProcessGauge::WaitingTasks).Set(static_cast<double>(m_leader.waitingTasks()));
    m_context.metrics.gauge(ProcessGauge::RunningTasks).Set(static_cast<double>(m_leader.runningTasks()));
    m_context.metrics.gauge(ProcessGauge::RunsToEvacuate).Set(static_cast<double>(m_leader.runsToEvacuate()));
    const auto evacuated = m_leader.counters().evacuatedRuns;
    m_context.metrics.counter(ProcessCounter::EvacuatedRuns)
        .Increment(static_cast<double>(evacuated - std::exchange(m_reportedEvacuatedRuns, evacuated)));
    m_context.metrics.gauge(ProcessGauge::HeldRequests).Set(static_cast<double>(m_relay.pendingCalls()));
    m_logMetrics.update(*m_log);
    m_lagReporter.report(m_leader, m_loop.takeReport());
    reportDrops(m_network, m_context);
    reportClosedCallers(m_controlServer, m_context);
}

} // namespace teasel
