#include "placement/feasibility.h"

#include "placement/job_limits.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace teasel {

namespace {

    constexpr std::array<const char*, ResourceVector::kinds> kindNames { "milli-CPUs", "MiB of memory",
        "accelerators" };

} // namespace

Result<void> Feasibility::checkSpec(const schema::JobSpec& spec) const
{
    if (spec.kind() == schema::JOB_KIND_UNSPECIFIED)
        return fail(ErrorKind::BadRequest, "a job needs a kind");
    if (spec.tasks() == 0 || spec.tasks() > maxTasksPerJob)
        return fail(ErrorKind::BadRequest, fmt::format("a job has 1 to {} tasks", maxTasksPerJob));
    if (toVector(spec.resources()) == ResourceVector {})
        return fail(ErrorKind::BadRequest, "a task needs some processors, memory or accelerators");
    if (spec.min_available() > spec.tasks())
        return fail(ErrorKind::BadRequest, "min_available is more than the number of tasks");
    return {};
}

Result<void> Feasibility::checkCapacity(const schema::JobSpec& spec, const WorkerSet* allowed) const
{
    const ResourceVector need = toVector(spec.resources());
    ResourceVector largestCapacity;
    int64_t slots = 0;
    for (WorkerId id = 0; id < m_state.workers.all().size(); ++id) {
        if (!m_state.workers.contains(id) || (allowed && !allowed->contains(id)))
            continue;
        const auto& capacity = m_state.workers.at(id).capacity;
        for (size_t i = 0; i < ResourceVector::kinds; ++i)
            largestCapacity.amounts[i] = std::max(largestCapacity.amounts[i], capacity.amounts[i]);
        slots += need.copiesThatFitIn(capacity, spec.tasks());
    }
    for (size_t i = 0; i < ResourceVector::kinds; ++i) {
        if (need.amounts[i] > largestCapacity.amounts[i])
            return fail(ErrorKind::NeverPlaceable,
                fmt::format("a task needs {} {}, the largest allowed worker has {}", need.amounts[i], kindNames[i],
                    largestCapacity.amounts[i]));
    }
    if (slots == 0)
        return fail(ErrorKind::NeverPlaceable, fmt::format("no single allowed worker has {} together", describe(need)));
    if (spec.kind() == schema::JOB_KIND_GANG && slots < spec.tasks())
        return fail(ErrorKind::NeverPlaceable,
            fmt::format("all allowed workers together have room for {} of {} tasks at once", slots, spec.tasks()));
    return {};
}

Result<void> Feasibility::check(const schema::JobSpec& spec)
{
    BOOST_LEAF_CHECK(checkSpec(spec));
    const auto& selector = m_state.selectors.lookUp(spec.selector());
    if (!selector.error.empty())
        return fail(ErrorKind::BadRequest, selector.error);
    if (m_state.workers.size() == 0)
        return {};
    if (selector.matchesAll)
        return checkCapacity(spec, nullptr);
    if (selector.allowed.cardinality() > 0)
        return checkCapacity(spec, &selector.allowed);
    const std::string term = m_state.labels.blockingTerm(selector.compiled);
    if (term.empty())
        return fail(ErrorKind::NeverPlaceable, "no worker matches all terms of the selector together");
    return fail(ErrorKind::NeverPlaceable, fmt::format("no worker matches the term `{}`", term));
}

void Feasibility::failInfeasibleJobs(Instant now)
{
    std::vector<JobOrdinal> queued;
    for (const auto& [team, queue] : m_state.tasks.queues()) {
        for (const auto& it : queue)
            queued.push_back(it.job);
    }
    for (const auto ordinal : queued) {
        auto& job = m_state.tasks.job(ordinal);
        const auto outcome = valueOrError([&] { return check(job.spec); });
        const auto* error = std::get_if<Error>(&outcome);
        if (!error) {
            job.unplaceableSince = {};
            job.waitReason.clear();
            continue;
        }
        job.waitReason = error->message;
        if (job.unplaceableSince == Instant {})
            job.unplaceableSince = now;
        if (now >= job.unplaceableSince + m_state.options.unplaceableGrace)
            m_lifecycle.closeJob(ordinal, schema::JOB_PHASE_FAILED, "can never run: " + error->message, now);
    }
}

} // namespace teasel
