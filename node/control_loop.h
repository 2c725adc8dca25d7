// The one thread that owns all decisions of a process. Traffic threads hand it
// work through a bounded queue.
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
    // at least once every `tick`.
    ControlLoop(Milliseconds tick, size_t maxQueued, Task afterBatch);
    ~ControlLoop();
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    void start();
    void stop();

    // Hands over a task; false when the queue is full. Safe from any thread.
    bool post(Task);

    // Hands over a task that must not be lost, beyond the bound if need be:
    // outcomes of work already begun, whose number is bounded by that work.
    void postAlways(Task);

    uint64_t dropped() const { return m_dropped; }

private:
    void run();

    Milliseconds m_tick;
    size_t m_maxQueued;
    Task m_afterBatch;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Task> m_queue; // guarded by m_mutex
    bool m_stopping = false; // guarded by m_mutex
    std::atomic<uint64_t> m_dropped = 0;
    std::thread m_thread;
};

} // namespace teasel
