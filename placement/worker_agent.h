// The worker's side of placement: builds reports and executes orders.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "placement.pb.h"
#include "placement/attempt.h"
#include "placement/resource_vector.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace teasel {

// How a worker identifies and describes itself.
struct WorkerAgentOptions {
    std::string name;
    std::string scheme; // naming scheme of the name and the label keys; empty: the first
    uint64_t incarnation = 1; // increases with each restart
    schema::Resources capacity;
    std::string rack;
    std::string dataCentre;
    std::vector<schema::Label> labels;
};

// Starts an attempt. The host calls onTaskStarted and, when it ends, onTaskEnded.
struct RunTask {
    AttemptKey key;
    schema::StartTask order;
};

// Ends an attempt, after saving a checkpoint if requested. The host calls onTaskEnded.
struct EndTask {
    AttemptKey key;
    bool checkpoint = false;
};

// Limits the resources of an attempt.
struct ThrottleTask {
    AttemptKey key;
    schema::Resources limit;
};

using AgentAction = std::variant<RunTask, EndTask, ThrottleTask>;

// A state machine without I/O. The host sends the reports from makeReport() and
// passes each reply with the time at which its report was sent, from which the
// lease is counted. After a pause of the process, the host must call onTick() first.
class WorkerAgent {
public:
    explicit WorkerAgent(WorkerAgentOptions);

    // Builds the report to send now.
    schema::WorkerReport makeReport(Instant now);

    // Applies the reply to the report sent at `sentAt`. Orders for another incarnation, of
    // an earlier epoch, or older than orders already applied, are ignored.
    void onOrders(const schema::WorkerOrders&, Instant sentAt, Instant now);

    // Ends all tasks immediately if the lease has expired.
    void onTick(Instant now);

    void onTaskStarted(const AttemptKey&);
    // `state` is Succeeded, Failed, Stopped or Checkpointed.
    void onTaskEnded(const AttemptKey&, schema::TaskState state, std::string message = {});
    void onUsage(const AttemptKey&, const schema::Resources& used, uint64_t ranMs);
    void setCapacity(const schema::Resources& capacity) { m_options.capacity = capacity; }
    void setLeaving(bool leaving) { m_leaving = leaving; }

    std::vector<AgentAction> takeActions();

    Instant leaseEnd() const { return m_leaseEnd; }
    Epoch epoch() const { return m_epoch; }
    uint64_t reportIntervalMs() const { return m_reportIntervalMs; }
    // Number of attempts that are starting or running, and the resources committed to them.
    size_t liveTasks() const;
    ResourceVector committed() const;

private:
    enum class StopMode : uint8_t { None, Checkpoint, Stop };

    struct Task {
        schema::StartTask order;
        schema::TaskState state = schema::TASK_STATE_STARTING;
        schema::Resources used;
        schema::Resources throttledTo;
        std::string message;
        uint64_t ranMs = 0;
        StopMode stopMode = StopMode::None;
        bool throttled = false;
        bool live() const { return state == schema::TASK_STATE_STARTING || state == schema::TASK_STATE_RUNNING; }
    };

    void acknowledge(const schema::WorkerOrders&);
    void handleStop(const schema::StopTask&);
    void handleStart(const schema::StartTask&, Epoch);
    bool mayStart(const AttemptKey&, const schema::StartTask&) const;
    void confirmUnknownStop(const AttemptKey&, const schema::StopTask&);
    void requestEnd(const AttemptKey&, Task&, StopMode);
    schema::TaskReport reportOf(const AttemptKey&, const Task&) const;

    WorkerAgentOptions m_options;
    std::map<AttemptKey, Task> m_tasks;
    std::vector<AgentAction> m_actions;
    Epoch m_epoch = 0;
    uint64_t m_appliedSequence = 0;
    uint64_t m_reportSequence = 0;
    uint64_t m_reportIntervalMs = 0;
    Instant m_leaseEnd {};
    bool m_leaving = false;
};

} // namespace teasel
