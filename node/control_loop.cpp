#include "node/control_loop.h"

#include <utility>

namespace teasel {

ControlLoop::ControlLoop(Milliseconds tickInterval, size_t maxQueued, Task afterBatch)
    : m_tickInterval(tickInterval)
    , m_maxQueued(maxQueued)
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

bool ControlLoop::post(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= m_maxQueued) {
            ++m_dropped;
            return false;
        }
        m_queue.push_back(std::move(task));
    }
    m_wakeCondition.notify_one();
    return true;
}

void ControlLoop::postAlways(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(task));
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
        lock.unlock();
        for (auto& it : batch)
            it();
        batch.clear();
        m_afterBatch();
        lock.lock();
    }
}

} // namespace teasel
