// The event loop of a process: one thread runs all scheduling and state changes.
// I/O threads post tasks to it through a bounded queue.
#pragma once

#include "core/clock.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace teasel {

// What a control loop has done since its last report.
struct ControlLoopReport {
    uint64_t batches = 0;
    uint64_t tasks = 0;
    Duration busy { 0 };
    Duration longestBatch { 0 };
    Duration longestWait { 0 }; // of a task in the queue, until its batch began
};

class ControlLoop {
public:
    using Task = std::function<void()>;

    // `afterBatch` runs on the control thread after each batch of tasks, and
    // at the latest `tickInterval` after the previous batch.
    ControlLoop(Milliseconds tickInterval, size_t maxQueued, const Clock&, Task afterBatch);
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

    // How long the oldest task of the batch in progress has waited and taken so far. Called on the control thread only.
    Duration batchAge() const { return m_clock.now() - m_batchOldestAt; }

    // Called on the control thread only. The batch in progress counts in the next report.
    ControlLoopReport takeReport() { return std::exchange(m_report, {}); }

private:
    void run();
    void enqueue(Task);

    Milliseconds m_tickInterval;
    size_t m_maxQueued;
    const Clock& m_clock;
    Task m_afterBatch;
    std::mutex m_mutex;
    std::condition_variable m_wakeCondition;
    std::vector<Task> m_queue; // guarded by m_mutex
    Instant m_oldestAt {}; // when the first task of the queue was posted; guarded by m_mutex
    bool m_stopping = false; // guarded by m_mutex
    Instant m_batchOldestAt {}; // when the first task of the batch in progress was posted
    ControlLoopReport m_report;
    std::atomic<uint64_t> m_dropped = 0;
    std::thread m_thread;
};

} // namespace teasel
