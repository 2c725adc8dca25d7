// The configuration and the random draws of a load on the job plane's leader. A seed determines all draws.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "jobs_load_options.h"

#include "jobs.pb.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace teasel {

inline schema::JobConfiguration configurationOf(const JobsLoadOptions& options)
{
    constexpr uint64_t ticketValidMs = 2'500;
    schema::JobConfiguration out;
    out.set_version(1);
    for (const auto& it : options.kinds) {
        auto& queue = *out.add_queues();
        queue.set_name(it.name);
        queue.set_host("farm.example");
        queue.set_path_prefix("/" + it.name + "/");
        queue.set_service("filling");
        queue.set_timeout_ms(3'000);
        queue.set_target_latency_ms(it.targetLatencyMs);
        queue.set_priority(it.priority);
        queue.set_max_attempts(2);
        queue.set_slack_factor(it.slackFactor);
        if (it.adviceMs > 0) {
            queue.mutable_advice()->set_base_ms(it.adviceMs);
            queue.mutable_advice()->set_per_executor_ms(it.adviceMsPerExecutor);
            queue.mutable_advice()->set_ticket_valid_ms(ticketValidMs);
        }
    }
    out.add_services()->set_name("filling");
    for (const auto& it : options.teams) {
        auto& team = *out.add_teams();
        team.set_name(it.name);
        team.add_keys("key-" + it.name);
        team.set_weight(it.weight);
    }
    return out;
}

class LoadDraws {
public:
    // The options must outlive the draws.
    explicit LoadDraws(const JobsLoadOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    Duration untilNextJob(size_t kind, Duration sinceBegin)
    {
        const bool isBurst = sinceBegin >= m_options.burstFrom && sinceBegin < m_options.burstUntil;
        const double rate = m_options.kinds[kind].jobsPerSecond * m_options.scale * (isBurst ? m_options.burst : 1)
            * teamLoad(sinceBegin);
        return Duration(static_cast<int64_t>(-std::log(1 - m_random.unit()) / rate * 1e6));
    }

    // A job of this kind, and the run time of its tasks in milliseconds.
    std::pair<schema::JobRequest, double> job(const JobKind& it, uint64_t id)
    {
        schema::JobRequest request;
        request.set_id(id);
        request.set_payload("lot");
        auto& step = *request.add_steps();
        step.set_count(static_cast<uint32_t>(std::max(1.0, std::round(drawSize(it.tasks)))));
        step.set_gang(m_random.chance(it.gangShare));
        step.set_checkpoints(it.checkpoints);
        const double taskMs = std::max(50.0, drawSize(it.taskMs));
        step.set_estimate_ms(static_cast<uint64_t>(taskMs * (0.7 + 0.6 * m_random.unit())));
        step.mutable_need()->set_milli_cpus(static_cast<uint64_t>(std::max(500.0, drawSize(it.milliCpus))));
        step.mutable_need()->set_memory_mib(static_cast<uint64_t>(std::max(500.0, drawSize(it.memoryMib))));
        return { std::move(request), taskMs };
    }

    size_t team(Duration sinceBegin)
    {
        // The load of a single team must not depend on this draw.
        if (m_options.teams.size() == 1)
            return 0;
        double total = 0;
        for (const auto& it : m_options.teams)
            total += teamRate(it, sinceBegin);
        double left = m_random.unit() * total;
        for (size_t n = 0; n + 1 < m_options.teams.size(); ++n) {
            left -= teamRate(m_options.teams[n], sinceBegin);
            if (left < 0)
                return n;
        }
        return m_options.teams.size() - 1;
    }

    // A log-normal factor with mean 1.
    double taskFactor()
    {
        if (m_options.taskSpread == 0)
            return 1;
        constexpr double twoPi = 6.283185307179586;
        const double normal = std::sqrt(-2 * std::log(1 - m_random.unit())) * std::cos(twoPi * m_random.unit());
        return std::exp(m_options.taskSpread * normal - m_options.taskSpread * m_options.taskSpread / 2);
    }

private:
    double teamRate(const LoadTeam& it, Duration sinceBegin) const
    {
        const bool isHot = sinceBegin >= m_options.hotFrom && sinceBegin < m_options.hotUntil;
        return it.share * (isHot ? it.hotFactor : 1);
    }

    // Load of all teams relative to their usual load.
    double teamLoad(Duration sinceBegin) const
    {
        double usual = 0;
        double load = 0;
        for (const auto& it : m_options.teams) {
            usual += it.share;
            load += teamRate(it, sinceBegin);
        }
        return load / usual;
    }

    double drawSize(double mean) { return std::min(3 * mean, -mean * std::log(1 - m_random.unit()) * 0.75 + mean / 4); }

    const JobsLoadOptions& m_options;
    Random m_random;
};

} // namespace teasel
