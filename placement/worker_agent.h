// The worker's half of placement: what it reports, and what it does with orders.
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

// What a worker says of itself.
struct WorkerAgentOptions {
    std::string name;
    std::string scheme; // naming scheme of the name and the label keys; empty: the first
    uint64_t incarnation = 1; // higher after each restart
    schema::Resources capacity;
    std::string rack;
    std::string dataCentre;
    std::vector<schema::Label> labels;
};

// Run this attempt now. The host answers with onTaskStarted and, at the end, onTaskEnded.
struct RunTask {
    AttemptKey key;
    schema::StartTask order;
};

// End this attempt, saving a checkpoint first if asked. The host answers with onTaskEnded.
struct EndTask {
    AttemptKey key;
    bool checkpoint = false;
};

// Hold this attempt to an amount.
struct ThrottleTask {
    AttemptKey key;
    schema::Resources to;
};

using AgentAction = std::variant<RunTask, EndTask, ThrottleTask>;

// A state machine without I/O. The host sends makeReport() and hands in each
// reply with the time at which that report was sent: the lease runs from there.
// After a pause the host calls onTick before anything else.
class WorkerAgent {
public:
    explicit WorkerAgent(WorkerAgentOptions);

    // The report to send now.
    schema::WorkerReport makeReport(Instant now);

    // Takes the reply to the report sent at `sentAt`. Orders of an earlier
    // epoch, or older than orders already taken, are ignored.
    void onOrders(const schema::WorkerOrders&, Instant sentAt, Instant now);

    // Ends every task at once when the lease has run out.
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
    uint64_t nextReportMs() const { return m_nextMs; }
    // Attempts that run or are about to, and what they hold.
    size_t liveTasks() const;
    ResourceVector committed() const;

private:
    enum class Ending : uint8_t { None, Checkpoint, Stop };

    struct Task {
        schema::StartTask order;
        schema::TaskState state = schema::TASK_STATE_STARTING;
        schema::Resources used;
        schema::Resources throttledTo;
        std::string message;
        uint64_t ranMs = 0;
        Ending ending = Ending::None;
        bool throttled = false;
        bool live() const { return state == schema::TASK_STATE_STARTING || state == schema::TASK_STATE_RUNNING; }
    };

    void acknowledge(const schema::WorkerOrders&);
    void stop(const schema::StopTask&);
    void start(const schema::StartTask&, Epoch);
    bool mayStart(const AttemptKey&, const schema::StartTask&) const;
    void confirmUnknown(const AttemptKey&, const schema::StopTask&);
    void end(const AttemptKey&, Task&, Ending);
    schema::TaskReport reportOf(const AttemptKey&, const Task&) const;

    WorkerAgentOptions m_options;
    std::map<AttemptKey, Task> m_tasks;
    std::vector<AgentAction> m_actions;
    Epoch m_epoch = 0;
    uint64_t m_appliedSequence = 0;
    uint64_t m_reportSequence = 0;
    uint64_t m_nextMs = 0;
    Instant m_leaseEnd {};
    bool m_leaving = false;
};

} // namespace teasel
