// Translates what the model of run times has learned between its summary and the replicated state.
#pragma once

#include "jobs.pb.h"
#include "runtimes/run_time_summary.h"

namespace teasel {

schema::RunTimeImage toMessage(const RunTimeSummary&);
RunTimeSummary fromMessage(const schema::RunTimeImage&);

} // namespace teasel
