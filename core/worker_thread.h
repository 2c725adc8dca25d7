// A thread that runs jobs in the order in which they are posted.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace teasel {

class WorkerThread {
public:
    WorkerThread();

    // Waits for all posted jobs.
    ~WorkerThread();
    WorkerThread(const WorkerThread&) = delete;
    WorkerThread& operator=(const WorkerThread&) = delete;

    // Safe to call from any thread.
    void post(std::function<void()> job);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_jobs;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace teasel
