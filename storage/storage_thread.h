// One thread that runs disk jobs in order.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace teasel {

class StorageThread {
public:
    StorageThread();

    // Waits for the jobs that were handed in.
    ~StorageThread();
    StorageThread(const StorageThread&) = delete;
    StorageThread& operator=(const StorageThread&) = delete;

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
