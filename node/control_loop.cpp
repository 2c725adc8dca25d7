#include "node/control_loop.h"

#include <algorithm>
#include <utility>

namespace teasel {

ControlLoop::ControlLoop(Milliseconds tickInterval, size_t maxQueued, const Clock& clock, Task afterBatch)
    : m_tickInterval(tickInterval)
    , m_maxQueued(maxQueued)
    , m_clock(clock)
    , m_afterBatch(std::move(afterBatch))
{
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void ControlLoop::stop()
{
    if (!m_thread.joinable())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeCondition.notify_all();
    m_thread.join();
}

void ControlLoop::enqueue(Task task)
{
    if (m_queue.empty())
        m_oldestAt = m_clock.now();
    m_queue.push_back(std::move(task));
}

bool ControlLoop::post(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= m_maxQueued) {
            ++m_dropped;
            return false;
        }
        enqueue(std::move(task));
    }
    m_wakeCondition.notify_one();
    return true;
}

void ControlLoop::postAlways(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        enqueue(std::move(task));
    }
    m_wakeCondition.notify_one();
}

void ControlLoop::run()
{
    std::vector<Task> batch;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wakeCondition.wait_for(lock, m_tickInterval, [this] { return m_stopping || !m_queue.empty(); });
        batch.swap(m_queue);
        const auto oldestAt = m_oldestAt;
        lock.unlock();
        const auto began = m_clock.now();
        m_batchOldestAt = batch.empty() ? began : oldestAt;
        m_report.longestWait = std::max(m_report.longestWait, began - m_batchOldestAt);
        for (auto& it : batch)
            it();
        const auto tasks = batch.size();
        batch.clear();
        m_afterBatch();
        const auto took = m_clock.now() - began;
        ++m_report.batches;
        m_report.tasks += tasks;
        m_report.busy += took;
        m_report.longestBatch = std::max(m_report.longestBatch, took);
        lock.lock();
    }
}

} // namespace teasel
