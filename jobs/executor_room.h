// What a round of planning knows of executors, and what it may do by rules that
// it does not know itself.
#pragma once

#include "core/clock.h"
#include "jobs/ready_step.h"

#include <google/protobuf/repeated_ptr_field.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// A run that could be stopped now and go on elsewhere from its checkpoint.
struct PreemptibleRun {
    TaskKey task;
    ResourceVector need;
    Instant latestStart {}; // of its step, for its job to meet the objective
};

struct CandidateExecutor {
    uint32_t number = 0;
    ResourceVector capacity;
    ResourceVector free;
    ResourceVector stopping; // held by runs that are being stopped
    ResourceVector freedSoon; // expected to come free within a gang's patience
    ResourceVector claimed; // of these three, by steps that wait for room
    std::string_view service;
    std::string_view rack;
    const google::protobuf::RepeatedPtrField<std::string>* labels = nullptr;
    double slowness = 1; // times the run time of a sound executor
    bool isDegraded = false; // recently failed or slow: taken last
};

struct StartConstraints {
    // The executors that the step may run on now, in any order; nothing if it may run on all.
    std::function<std::optional<std::vector<uint32_t>>(const ReadyStep&)> allowedNow;
    // The same once tickets are renewed.
    std::function<std::optional<std::vector<uint32_t>>(const ReadyStep&)> allowedLater;
    // Tasks of the step that are on the executor.
    std::function<uint32_t(const StepKey&, uint32_t executor)> tasksOn;
    // How many more tasks with this need the team's cap allows.
    std::function<int64_t(std::string_view team, const ResourceVector& need)> tasksLeftInCap;
    // Runs of an executor that may yield to others.
    std::function<std::vector<PreemptibleRun>(uint32_t executor)> preemptibleRuns;
};

} // namespace teasel
