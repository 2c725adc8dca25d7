// Input of a planning round: the candidate executors, and constraints that the planner evaluates through callbacks.
#pragma once

#include "core/clock.h"
#include "jobs/admission.h"
#include "jobs/ready_step.h"

#include <google/protobuf/repeated_ptr_field.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// A run that can be stopped now and resume from its checkpoint on any executor.
struct PreemptibleRun {
    TaskKey task;
    ResourceVector need;
    Instant latestStart {}; // of its step, for the job to meet its objective
};

struct CandidateExecutor {
    uint32_t number = 0;
    ResourceVector capacity;
    ResourceVector free;
    ResourceVector stopping; // used by runs that are being stopped
    ResourceVector freedSoon; // expected to come free while a gang can wait
    ResourceRate freedPerSecond {}; // expected from runs that end
    ResourceVector claimed; // the part of these three reserved in this round for steps that wait for capacity
    std::string_view service;
    std::string_view rack;
    std::string_view region; // empty: not known
    const google::protobuf::RepeatedPtrField<std::string>* labels = nullptr;
    double slowness = 1; // factor on the run time of a healthy executor
    bool hasSuspect = false; // a suspect task was started there just now
    bool isDegraded = false; // recently failed, or cold after its start: used last
};

// Whether the step's tasks may run on an executor with these properties.
inline bool mayRunOn(const ReadyStep& step, std::string_view service, std::string_view region,
    const google::protobuf::RepeatedPtrField<std::string>& labels)
{
    const auto& regions = step.allowedRegions;
    return service == step.service
        && (regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end())
        && (step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end());
}

// Equal for steps for which mayRunOn() always gives the same.
inline std::string constraintKeyOf(const ReadyStep& step)
{
    constexpr char separator = '\0';
    auto key = step.service + separator + step.requiredLabel;
    for (const auto& it : step.allowedRegions)
        key += separator + it;
    return key;
}

// Whether the step's tasks may run on the executor and fit on it when it is empty.
inline bool canEverRun(const ReadyStep& step, const CandidateExecutor& it)
{
    return step.need.fitsIn(it.capacity) && mayRunOn(step, it.service, it.region, *it.labels);
}

struct StartConstraints {
    // The executors that the step may run on now, in any order; nullopt for all.
    std::function<std::optional<std::vector<uint32_t>>(const ReadyStep&)> allowedNow;
    // The same, assuming that expired tickets are renewed.
    std::function<std::optional<std::vector<uint32_t>>(const ReadyStep&)> allowedLater;
    // Number of tasks of the step on the executor.
    std::function<uint32_t(const StepKey&, uint32_t executor)> tasksOn;
    // How many waiting tasks of the step its team's cap lets start, beside the starts `planned` for this team.
    std::function<int64_t(const ReadyStep&, const ResourceVector& planned)> tasksThatMayStart;
    // How many tasks may start in this round besides those of the most urgent queues and lasting ones.
    int64_t relaxedStarts = std::numeric_limits<int64_t>::max();
    // Runs on the executor that may be preempted.
    std::function<std::vector<PreemptibleRun>(uint32_t executor)> preemptibleRuns;
};

} // namespace teasel
