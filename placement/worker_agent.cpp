#include "placement/worker_agent.h"

#include <utility>

namespace teasel {

namespace {

    constexpr uint64_t defaultReportIntervalMs = 500;

    bool isEnd(schema::TaskState state)
    {
        return state != schema::TASK_STATE_STARTING && state != schema::TASK_STATE_RUNNING
            && state != schema::TASK_STATE_UNSPECIFIED;
    }

} // namespace

WorkerAgent::WorkerAgent(WorkerAgentOptions options)
    : m_options(std::move(options))
    , m_reportIntervalMs(defaultReportIntervalMs)
{
}

schema::WorkerReport WorkerAgent::makeReport(Instant now)
{
    onTick(now);
    schema::WorkerReport report;
    report.set_name(m_options.name);
    report.set_scheme(m_options.scheme);
    report.set_incarnation(m_options.incarnation);
    report.set_sequence(++m_reportSequence);
    *report.mutable_capacity() = m_options.capacity;
    report.set_rack(m_options.rack);
    report.set_data_centre(m_options.dataCentre);
    report.set_orders_applied(m_appliedSequence);
    report.set_orders_epoch(m_epoch);
    report.set_leaving(m_leaving);
    for (const auto& label : m_options.labels)
        *report.add_labels() = label;
    for (const auto& [key, task] : m_tasks)
        *report.add_tasks() = reportOf(key, task);
    return report;
}

schema::TaskReport WorkerAgent::reportOf(const AttemptKey& key, const Task& task) const
{
    schema::TaskReport report;
    report.set_job_id(key.job);
    report.set_index(key.index);
    report.set_attempt(key.attempt.number);
    report.set_attempt_epoch(key.attempt.epoch);
    report.set_state(task.state);
    *report.mutable_used() = task.used;
    *report.mutable_committed() = task.order.resources();
    report.set_team_id(task.order.team_id());
    report.set_message(task.message);
    report.set_ran_ms(task.ranMs);
    report.set_spec_digest(task.order.spec_digest());
    return report;
}

void WorkerAgent::onOrders(const schema::WorkerOrders& orders, Instant sentAt, Instant now)
{
    onTick(now);
    if (orders.incarnation() != m_options.incarnation || orders.epoch() < m_epoch)
        return;
    if (orders.epoch() == m_epoch && orders.sequence() <= m_appliedSequence)
        return;
    m_epoch = orders.epoch();
    m_appliedSequence = orders.sequence();
    m_leaseEnd = std::max(m_leaseEnd, sentAt + Milliseconds(orders.lease_ms()));
    if (orders.next_ms() > 0)
        m_reportIntervalMs = orders.next_ms();
    acknowledge(orders);
    for (const auto& it : orders.stops())
        handleStop(it);
    if (now >= m_leaseEnd)
        return;
    for (const auto& it : orders.starts())
        handleStart(it, orders.epoch());
}

void WorkerAgent::acknowledge(const schema::WorkerOrders& orders)
{
    for (const auto& it : orders.acknowledged_ends()) {
        auto found = m_tasks.find({ it.job_id(), it.index(), { it.attempt_epoch(), it.attempt() } });
        if (found != m_tasks.end() && !found->second.live())
            m_tasks.erase(found);
    }
}

void WorkerAgent::handleStop(const schema::StopTask& order)
{
    const AttemptKey key { order.job_id(), order.index(), { order.attempt_epoch(), order.attempt() } };
    auto found = m_tasks.find(key);
    if (found == m_tasks.end())
        return confirmUnknownStop(key, order);
    auto& task = found->second;
    if (!task.live())
        return;
    if (order.manner() == schema::STOP_MANNER_THROTTLE) {
        const bool same = task.throttled && toVector(task.throttledTo) == toVector(order.throttle_to());
        if (!same)
            m_actions.emplace_back(ThrottleTask { key, order.throttle_to() });
        task.throttled = true;
        task.throttledTo = order.throttle_to();
        return;
    }
    requestEnd(key, task, order.manner() == schema::STOP_MANNER_CHECKPOINT ? StopMode::Checkpoint : StopMode::Stop);
}

// Confirms the stop of an attempt that was never received, and keeps its key so
// that a delayed start of it is refused.
void WorkerAgent::confirmUnknownStop(const AttemptKey& key, const schema::StopTask& order)
{
    if (order.manner() == schema::STOP_MANNER_THROTTLE)
        return;
    Task task;
    task.state = schema::TASK_STATE_STOPPED;
    m_tasks.emplace(key, std::move(task));
}

void WorkerAgent::requestEnd(const AttemptKey& key, Task& task, StopMode stopMode)
{
    if (!task.live() || task.stopMode >= stopMode)
        return;
    task.stopMode = stopMode;
    m_actions.emplace_back(EndTask { key, stopMode == StopMode::Checkpoint });
}

bool WorkerAgent::mayStart(const AttemptKey& key, const schema::StartTask& order) const
{
    if (m_tasks.contains(key))
        return false;
    // Every other attempt at the same task must have ended, and none may be later than this one.
    const AttemptKey firstAttempt { key.job, key.index, {} };
    for (auto it = m_tasks.lower_bound(firstAttempt); it != m_tasks.end(); ++it) {
        if (it->first.job != key.job || it->first.index != key.index)
            break;
        if (it->second.live() || it->first.attempt > key.attempt)
            return false;
    }
    return (committed() + toVector(order.resources())).fitsIn(toVector(m_options.capacity));
}

void WorkerAgent::handleStart(const schema::StartTask& order, Epoch epoch)
{
    AttemptKey key { order.job_id(), order.index(), { epoch, order.attempt() } };
    if (!mayStart(key, order))
        return;
    Task task;
    task.order = order;
    m_tasks.emplace(key, std::move(task));
    m_actions.emplace_back(RunTask { std::move(key), order });
}

void WorkerAgent::onTick(Instant now)
{
    if (now < m_leaseEnd)
        return;
    for (auto& [key, task] : m_tasks)
        requestEnd(key, task, StopMode::Stop);
}

void WorkerAgent::onTaskStarted(const AttemptKey& key)
{
    auto found = m_tasks.find(key);
    if (found != m_tasks.end() && found->second.state == schema::TASK_STATE_STARTING)
        found->second.state = schema::TASK_STATE_RUNNING;
}

void WorkerAgent::onTaskEnded(const AttemptKey& key, schema::TaskState state, std::string message)
{
    auto found = m_tasks.find(key);
    if (found == m_tasks.end() || !found->second.live() || !isEnd(state))
        return;
    found->second.state = state;
    found->second.message = std::move(message);
    found->second.used.Clear();
}

void WorkerAgent::onUsage(const AttemptKey& key, const schema::Resources& used, uint64_t ranMs)
{
    auto found = m_tasks.find(key);
    if (found == m_tasks.end())
        return;
    found->second.used = used;
    found->second.ranMs = ranMs;
}

std::vector<AgentAction> WorkerAgent::takeActions() { return std::exchange(m_actions, {}); }

size_t WorkerAgent::liveTasks() const
{
    size_t n = 0;
    for (const auto& [key, task] : m_tasks)
        n += task.live() ? 1 : 0;
    return n;
}

ResourceVector WorkerAgent::committed() const
{
    ResourceVector sum;
    for (const auto& [key, task] : m_tasks) {
        if (task.live())
            sum += toVector(task.order.resources());
    }
    return sum;
}

} // namespace teasel
