#include "node/core_node.h"

#include "jobs/order_messages.h"
#include "node/batch_parts.h"
#include "node/job_plane_common.h"
#include "node/log_limits.h"
#include "node/network_metrics.h"
#include "node/order_age.h"
#include "platform/call_codec.h"
#include "platform/order_codec.h"

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
    constexpr size_t maxRefusals = 20'000;
    // One lease renewal, one poll and four other orders at a time. An executor accepts 64 connections, and those of
    // instances that lost power stay open there.
    constexpr unsigned connectionsPerExecutor = 6;
    // Up to this many executors, the leader also sends orders itself.
    constexpr size_t maxExecutorsForSendingLeader = 120;
    // Log records kept before a snapshot, so that replicas that were away for seconds catch up from the log.
    constexpr uint64_t keepLogRecords = 2'000;
    constexpr Milliseconds announcementTimeout { 900 }; // an executor waits one second for the answer
    constexpr Milliseconds operatorTimeout { 2'500 };
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
        out.planner.capacityReserver.restoreTime = Milliseconds(static_cast<int64_t>(settings.restore_ms()));
        if (settings.has_evacuation_ms())
            out.evacuationTime = Milliseconds(static_cast<int64_t>(settings.evacuation_ms()));
        out.isContentionControlled = settings.contention_control();
        out.usesLearnedRunTimes = settings.run_times().order();
        out.usesLearnedSpeeds = settings.run_times().placement();
        out.endedJobRetention = Milliseconds(static_cast<int64_t>(settings.keep_ended_ms()));
        return out;
    }

    schema::RoutedCall makeControlCall(HttpRequest& request)
    {
        schema::RoutedCall call;
        call.set_surface(schema::RoutedCall::CONTROL);
        call.set_method(request.method);
        call.set_path(request.path);
        call.set_body(std::move(request.body));
        return call;
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
    , m_loop(tickInterval, maxQueuedTasks, [this] { onTick(); })
    , m_network(jobPlaneNetworkOptions(m_self, context.incarnation), {}, context.clock,
          [this](schema::Envelope envelope) {
              m_loop.post([this, envelope = std::move(envelope)] { onEnvelope(envelope); });
          })
    , m_controlServer({ m_settings.control_address(), 1, 1'024, maxControlBodyBytes, maxBufferedCallBytes },
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
    // Status 0 tells the forwarding instances to resend these calls to the next leader.
    for (const auto& [handle, it] : m_pendingCalls) {
        schema::RoutedAnswer answer;
        answer.set_number(it.number);
        sendRoutedAnswer(it.from, std::move(answer));
    }
    m_pendingCalls.clear();
}

void CoreNode::startLeading(Instant now)
{
    m_instances.clear();
    m_orderSenders.clear();
    m_orderBatches.clear();
    m_voters.onBecameLeader(m_log->replica().voters(), now);
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

void CoreNode::sendRoutedAnswer(const std::string& to, schema::RoutedAnswer answer)
{
    schema::Envelope out;
    *out.mutable_routed_answer() = std::move(answer);
    sendEnvelope(to, std::move(out));
}

void CoreNode::onRoutedCall(const schema::Envelope& envelope, Instant now)
{
    const auto& call = envelope.routed_call();
    if (!m_leader.isLeading() || !m_log->holdsLease(now) || call.term() != m_log->replica().term()) {
        schema::RoutedAnswer answer;
        answer.set_number(call.number());
        answer.set_leader(std::string(m_log->leaderHint()));
        sendRoutedAnswer(envelope.from(), std::move(answer));
        return;
    }
    // The caller may have left, have cancelled the job elsewhere, and count on it that the call has no effect any more.
    if (call.surface() == schema::RoutedCall::CALLERS && call.method() == "POST" && mayBeExpired(call, now)) {
        m_context.log.info("call_expired",
            { { "path", call.path() }, { "from", envelope.from() }, { "time_left_ms", call.time_left_ms() } });
        schema::RoutedAnswer answer;
        answer.set_number(call.number());
        sendRoutedAnswer(envelope.from(), std::move(answer));
        return;
    }
    const CallId callId { envelope.from(), envelope.incarnation(), call.number() };
    if (const auto it = m_refusals.find(callId); it != m_refusals.end()) {
        sendRoutedAnswer(envelope.from(), it->second);
        return;
    }
    auto decoded = platform::decodeCall(call);
    if (auto* answer = std::get_if<schema::RoutedAnswer>(&decoded)) {
        m_context.log.info(
            "call_invalid", { { "path", call.path() }, { "status", answer->status() }, { "reason", answer->body() } });
        answer->set_number(call.number());
        sendRoutedAnswer(envelope.from(), std::move(*answer));
        return;
    }
    const auto handle = ++m_lastHandle;
    auto& jobCall = std::get<JobCall>(decoded);
    PendingCall pending { JobCall(GetConfiguration {}), envelope.from(), envelope.incarnation(), call.number(), now };
    // Encoding the answer needs only the type of the call; its contents move to the job leader.
    pending.call = std::visit([](const auto& it) { return JobCall(std::decay_t<decltype(it)> {}); }, jobCall);
    m_pendingCalls.emplace(handle, std::move(pending));
    m_leader.onCall(handle, std::move(jobCall), now, m_context.clock.wallNow());
}

void CoreNode::onConfigurationChange(HttpRequest request)
{
    auto call = makeControlCall(request);
    if (auto answer = platform::decodeConfigurationIn(call)) {
        m_context.log.info(
            "call_invalid", { { "path", call.path() }, { "status", answer->status() }, { "reason", answer->body() } });
        return m_controlServer.answer(request.handle, toHttpResponse(std::move(*answer)));
    }
    m_loop.postAlways([this, handle = request.handle, call = std::move(call)]() mutable {
        forwardControlCall(handle, std::move(call));
    });
}

void CoreNode::onHttp(HttpRequest request)
{
    auto call = makeControlCall(request);
    // Malformed orders are answered at once, also while there is no leader.
    if (platform::isEvacuation(call.path())) {
        auto decoded = platform::decodeCall(call);
        if (auto* answer = std::get_if<schema::RoutedAnswer>(&decoded)) {
            m_context.log.info("call_invalid",
                { { "path", call.path() }, { "status", answer->status() }, { "reason", answer->body() } });
            return m_controlServer.answer(request.handle, toHttpResponse(std::move(*answer)));
        }
    }
    forwardControlCall(request.handle, std::move(call));
}

void CoreNode::forwardControlCall(uint64_t handle, schema::RoutedCall call)
{
    const bool isAnnouncement = platform::isAnnouncement(call.path());
    call.set_time_left_ms(static_cast<uint64_t>((isAnnouncement ? announcementTimeout : operatorTimeout).count()));
    m_relay.call(
        std::move(call),
        [this, handle](
            schema::RoutedAnswer answer) { m_controlServer.answer(handle, toHttpResponse(std::move(answer))); },
        m_context.clock.now());
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
        m_leader.finishBatch(now, m_context.clock.wallNow());
        if (now >= m_nextVoterPlan)
            planVoters(now);
        if (now >= m_nextInstanceUpdate)
            updateInstances(now);
    }
    executeActions(now);
    flushOrders();
    if (now >= m_nextMetricsUpdate)
        updateMetrics(now);
}

void CoreNode::executeActions(Instant now)
{
    for (auto actions = m_leader.takeActions(); !actions.empty(); actions = m_leader.takeActions()) {
        for (auto& it : actions)
            std::visit([&](auto& action) { execute(action, now); }, it);
    }
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

void CoreNode::execute(AnswerCall& action, Instant now)
{
    const auto found = m_pendingCalls.find(action.handle);
    if (found == m_pendingCalls.end())
        return;
    auto pending = std::move(found->second);
    m_pendingCalls.erase(found);
    // Any answer but a refusal is only valid while this replica's state is the latest.
    if (!m_log->holdsLease(now) && !platform::isRefusal(action.answer)) {
        schema::RoutedAnswer answer;
        answer.set_number(pending.number);
        sendRoutedAnswer(pending.from, std::move(answer));
        return;
    }
    auto answer = platform::encodeAnswer(pending.call, action.answer);
    answer.set_number(pending.number);
    if (platform::isRefusal(action.answer) && std::holds_alternative<SubmitJob>(pending.call)) {
        const CallId callId { pending.from, pending.incarnation, pending.number };
        m_refusals[callId] = answer;
        m_refusalOrder.push_back(callId);
        if (m_refusalOrder.size() > maxRefusals) {
            m_refusals.erase(m_refusalOrder.front());
            m_refusalOrder.pop_front();
        }
    }
    sendRoutedAnswer(pending.from, std::move(answer));
}

const std::string& CoreNode::orderSenderFor(const std::string& dataCentre, uint64_t executor) const
{
    static const std::string own;
    const auto found = m_orderSenders.find(dataCentre);
    if (found == m_orderSenders.end())
        return own;
    return found->second[executor % found->second.size()];
}

void CoreNode::execute(SendOrder& action, Instant now)
{
    // After a pause, another leader may have taken over and decided otherwise.
    if (!m_log->holdsLease(now)) {
        m_leader.onOrderResult(action.number, { OrderOutcome::NotSent }, now);
        return;
    }
    const auto& sender = orderSenderFor(action.dataCentre, action.executorNumber);
    if (!sender.empty() && sender != m_self) {
        auto& batch = m_orderBatches[sender];
        batch.set_term(m_log->replica().term());
        if (const auto it = m_instances.find(sender); it != m_instances.end())
            batch.set_registered_at_ms(it->second.registeredAtMs);
        *batch.add_orders() = toMessage(action);
        return;
    }
    const auto number = action.number;
    sendOrder(std::move(action), [this, number](OrderResult result) mutable {
        m_loop.postAlways([this, number, result = std::move(result)]() mutable {
            m_leader.onOrderResult(number, std::move(result), m_context.clock.now());
        });
    });
}

void CoreNode::sendOrder(SendOrder order, std::function<void(OrderResult)> done)
{
    auto call = platform::encodeOrder(order);
    m_httpClient.start(
        std::move(call), [order = std::move(order.order), done = std::move(done)](const HttpOutcome& outcome) {
            done(platform::decodeOrderOutcome(order, outcome));
        });
}

void CoreNode::flushOrders()
{
    for (auto& [sender, batch] : m_orderBatches) {
        for (auto& part : partsOf(std::move(batch))) {
            schema::Envelope out;
            *out.mutable_order_batch() = std::move(part);
            m_network.send(sender, std::move(out));
        }
    }
    m_orderBatches.clear();
    for (auto& [leader, batch] : m_resultBatches) {
        for (auto& part : partsOf(std::move(batch))) {
            schema::Envelope out;
            *out.mutable_result_batch() = std::move(part);
            m_network.send(leader.first, std::move(out));
        }
    }
    m_resultBatches.clear();
}

void CoreNode::onOrderBatch(const std::string& from, const schema::OrderBatch& batch, Instant now)
{
    const auto addResult = [this, from, term = batch.term()](schema::RelayedResult message) {
        auto& results = m_resultBatches[{ from, term }];
        results.set_term(term);
        *results.add_results() = std::move(message);
    };
    const auto fault = faultOf(batch, m_log->replica().term(), now);
    if (fault != BatchFault::None) {
        m_context.log.info("orders_dropped",
            { { "leader", from }, { "term", batch.term() }, { "orders", batch.orders_size() },
                { "reason", fault == BatchFault::OldTerm ? "there is a later term" : "too old" } });
        for (const auto& it : batch.orders())
            addResult(toMessage(it.number(), { OrderOutcome::NotSent }));
        return;
    }
    for (const auto& it : batch.orders()) {
        const auto number = it.number();
        if (!isValid(it)) {
            addResult(toMessage(number, {}));
            continue;
        }
        sendOrder(fromMessage(it), [this, number, addResult](const OrderResult& result) {
            m_loop.postAlways([addResult, message = toMessage(number, result)] { addResult(message); });
        });
    }
}

void CoreNode::onResultBatch(const schema::ResultBatch& batch, Instant now)
{
    if (!m_leader.isLeading() || batch.term() != m_log->replica().term())
        return;
    for (const auto& it : batch.results())
        m_leader.onOrderResult(it.number(), fromMessage(it), now);
}

void CoreNode::execute(AskAdvice& action, Instant)
{
    schema::AdviceCall call;
    call.set_number(action.number);
    call.set_address(m_settings.jobs().advice_address());
    call.set_step(stepText(action.step));
    for (auto& it : action.executors)
        call.add_executors(std::move(it));
    call.set_timeout_ms(static_cast<uint64_t>(action.timeout.count()));
    if (action.instance == m_self) {
        sendAdviceCall(call, [this](schema::AdviceResult result) {
            m_loop.postAlways([this, result = std::move(result)] { onAdvice(result, m_context.clock.now()); });
        });
        return;
    }
    schema::Envelope out;
    *out.mutable_advice_call() = std::move(call);
    m_network.send(action.instance, std::move(out));
}

void CoreNode::execute(JobLogLine& action, Instant) { m_context.log.infoWithFields(action.event, action.fields); }

void CoreNode::sendAdviceCall(const schema::AdviceCall& call, std::function<void(schema::AdviceResult)> done)
{
    const auto number = call.number();
    m_httpClient.start(platform::encodeAdviceCall(call), [number, done = std::move(done)](const HttpOutcome& outcome) {
        done(platform::decodeAdviceOutcome(number, outcome));
    });
}

void CoreNode::onAdvice(const schema::AdviceResult& result, Instant now)
{
    std::vector<std::pair<std::string, std::string>> granted;
    for (const auto& it : result.granted())
        granted.emplace_back(it.executor(), it.ticket());
    m_leader.onAdvice(result.number(), result.answered(), granted, now);
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
    reportDrops(m_network, m_context);
}

} // namespace teasel
