// The event loop of a process: one thread runs all scheduling and state changes.
// I/O threads post tasks to it through a bounded queue.
#pragma once

#include "core/clock.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace teasel {

class ControlLoop {
public:
    using Task = std::function<void()>;

    // `afterBatch` runs on the control thread after each batch of tasks, and
    // at the latest `tickInterval` after the previous batch.
    ControlLoop(Milliseconds tickInterval, size_t maxQueued, Task afterBatch);
    ~ControlLoop();
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    void start();
    void stop();

    // Queues a task. Returns false when the queue is full. Thread-safe.
    bool post(Task);

    // Queues a task that must not be dropped, even when the queue is full. For
    // results of work already started, whose number that work bounds. Thread-safe.
    void postAlways(Task);

    // Number of tasks that post() rejected.
    uint64_t dropped() const { return m_dropped; }

private:
    void run();

    Milliseconds m_tickInterval;
    size_t m_maxQueued;
    Task m_afterBatch;
    std::mutex m_mutex;
    std::condition_variable m_wakeCondition;
    std::vector<Task> m_queue; // guarded by m_mutex
    bool m_stopping = false; // guarded by m_mutex
    std::atomic<uint64_t> m_dropped = 0;
    std::thread m_thread;
};

} // namespace teasel
