#include "core/worker_thread.h"

#include <utility>

namespace teasel {

WorkerThread::WorkerThread()
    : m_thread([this] { run(); })
{
}

WorkerThread::~WorkerThread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void WorkerThread::post(std::function<void()> job)
{
    {
        const std::lock_guard lock(m_mutex);
        m_jobs.push_back(std::move(job));
    }
    m_wake.notify_one();
}

void WorkerThread::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_isStopping || !m_jobs.empty(); });
        if (m_jobs.empty())
            return;
        auto job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace teasel
