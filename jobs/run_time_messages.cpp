#include "jobs/run_time_messages.h"

#include <algorithm>
#include <limits>
#include <string>

namespace teasel {

namespace {

    template <class Bins> std::string toBytes(const Bins& bins) { return { bins.begin(), bins.end() }; }

    template <class Bins> void fromBytes(const std::string& bytes, Bins& bins)
    {
        std::copy_n(bytes.begin(), std::min(bytes.size(), bins.size()), bins.begin());
    }

    template <class Number> Number narrowed(int64_t value)
    {
        return static_cast<Number>(
            std::clamp<int64_t>(value, std::numeric_limits<Number>::min(), std::numeric_limits<Number>::max()));
    }

    void fillTeam(const RunTimeSummary::Team& it, schema::RunTimeTeamImage& out)
    {
        out.set_team(it.team);
        out.set_level(it.level);
        out.set_level_variance(it.levelVariance);
        out.set_slope(it.slope);
        out.set_slope_variance(it.slopeVariance);
        out.set_spread(it.spread);
        out.set_runs(it.runs);
    }

    void fillQueue(const RunTimeSummary::Queue& it, schema::RunTimeQueueImage& out)
    {
        out.set_queue(it.queue);
        out.set_reference(it.reference);
        out.set_level(it.level);
        out.set_level_variance(it.levelVariance);
        out.set_slope(it.slope);
        out.set_slope_variance(it.slopeVariance);
        out.set_variance(it.variance);
        out.set_task_variance(it.taskVariance);
        out.set_runs(it.runs);
        out.set_residuals(toBytes(it.residuals));
        out.set_task_residuals(toBytes(it.taskResiduals));
        for (const auto& team : it.teams)
            fillTeam(team, *out.add_teams());
    }

    RunTimeSummary::Queue readQueue(const schema::RunTimeQueueImage& image)
    {
        RunTimeSummary::Queue out;
        out.queue = image.queue();
        out.reference = image.reference();
        out.level = image.level();
        out.levelVariance = image.level_variance();
        out.slope = image.slope();
        out.slopeVariance = image.slope_variance();
        out.variance = image.variance();
        out.taskVariance = image.task_variance();
        out.runs = image.runs();
        fromBytes(image.residuals(), out.residuals);
        fromBytes(image.task_residuals(), out.taskResiduals);
        for (const auto& it : image.teams())
            out.teams.push_back({ it.team(), it.level(), it.level_variance(), it.slope(), it.slope_variance(),
                it.spread(), it.runs() });
        return out;
    }

} // namespace

schema::RunTimeImage toMessage(const RunTimeSummary& summary)
{
    schema::RunTimeImage out;
    out.set_remote(summary.remote);
    out.set_remote_variance(summary.remoteVariance);
    for (const auto& it : summary.queues)
        fillQueue(it, *out.add_queues());
    for (const auto& it : summary.executors) {
        auto& executor = *out.add_executors();
        executor.set_executor(it.executor);
        executor.set_log_speed(it.logSpeed);
        executor.set_deviation(it.deviation);
        executor.set_slow_share(it.slowShare);
    }
    return out;
}

RunTimeSummary fromMessage(const schema::RunTimeImage& image)
{
    RunTimeSummary out;
    out.remote = image.remote();
    out.remoteVariance = image.remote_variance();
    for (const auto& it : image.queues())
        out.queues.push_back(readQueue(it));
    for (const auto& it : image.executors())
        out.executors.push_back({ it.executor(), narrowed<int16_t>(it.log_speed()), narrowed<uint8_t>(it.deviation()),
            narrowed<uint8_t>(it.slow_share()) });
    return out;
}

} // namespace teasel
