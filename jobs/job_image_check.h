// Checks a job in a snapshot before it becomes part of the state, which is indexed by the numbers of its steps and
// tasks.
#pragma once

#include "jobs.pb.h"

#include <algorithm>

namespace teasel {

// Whether the job has a known phase, and its open occurrences have the steps and tasks of its request.
inline bool isConsistent(const schema::JobImage& image)
{
    const auto hasShape = [&](const schema::OccurrenceImage& occurrence) {
        return std::equal(occurrence.steps().begin(), occurrence.steps().end(), image.request().steps().begin(),
            image.request().steps().end(), [](const auto& step, const auto& spec) {
                return static_cast<uint32_t>(step.tasks_size()) == spec.count();
            });
    };
    const bool isPhaseKnown = image.phase() != schema::JOB_PLANE_PHASE_UNSPECIFIED
        && schema::JobPlanePhase_IsValid(static_cast<int>(image.phase()));
    const bool isRepeated = std::adjacent_find(image.open().begin(), image.open().end(),
                                [](const auto& a, const auto& b) { return a.occurrence() >= b.occurrence(); })
        != image.open().end();
    return isPhaseKnown && !isRepeated && std::all_of(image.open().begin(), image.open().end(), hasShape);
}

} // namespace teasel
