// One run of a task as the model of run times sees it.
#pragma once

#include <cstdint>
#include <string_view>

namespace teasel {

// The end of a run. The views have to stay valid only during the call.
struct RunObservation {
    std::string_view queue;
    std::string_view team;
    std::string_view executor; // id; empty: unknown
    uint64_t estimateMs = 0; // by the caller; 0: none
    uint64_t step = 0; // identifies the step among the recent ones, such as a hash of job and step; 0: unknown
    uint32_t tasks = 1; // of the step
    double tookMs = 0; // time that the run took, or ran until it was stopped
    bool isRemote = false; // ran away from its data
    bool isComplete = true; // false: stopped, expired or lost, so its run time is at least tookMs
    bool isFromCheckpoint = false; // gives no information on the length of a run
};

} // namespace teasel
