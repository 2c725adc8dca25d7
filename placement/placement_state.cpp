#include "placement/placement_state.h"

namespace teasel {

void PlacementState::clearClusterState()
{
    claims.clear();
    reservation = {};
    for (WorkerId id = 0; id < workers.all().size(); ++id) {
        if (workers.contains(id))
            labels.remove(id);
    }
    workers.clear();
    tasks.clear();
    shares.clearUse();
    quarantine.clear();
}

void PlacementState::addClaim(const Claim& claim)
{
    workers.claim(claim.worker, claim.need * claim.tasks);
    auto& job = tasks.job(claim.job);
    // The portion of a gang is reserved as a whole with its GangReservation.
    if (!job.isGang()) {
        ++job.openClaims;
        shares.claim(job.team, claim.need * claim.tasks);
    }
    claims.push_back(claim);
    tasks.refreshQueue(claim.job);
}

void PlacementState::dropClaim(size_t position)
{
    const Claim claim = claims[position];
    claims[position] = claims.back();
    claims.pop_back();
    workers.unclaim(claim.worker, claim.need * claim.tasks);
    auto& job = tasks.job(claim.job);
    if (!job.isGang()) {
        --job.openClaims;
        shares.unclaim(job.team, claim.need * claim.tasks);
    }
    tasks.refreshQueue(claim.job);
    workPending = true;
}

void PlacementState::dropClaimsOf(JobOrdinal job)
{
    for (size_t i = claims.size(); i-- > 0;) {
        if (claims[i].job == job)
            dropClaim(i);
    }
    if (reservation.job == job)
        dropReservation();
}

void PlacementState::dropClaimsOn(WorkerId worker)
{
    for (size_t i = claims.size(); i-- > 0;) {
        if (claims[i].worker == worker)
            dropClaim(i);
    }
}

void PlacementState::dropReservation()
{
    if (reservation.job == noJob)
        return;
    const JobOrdinal job = reservation.job;
    shares.unreserve(tasks.job(job).team, reservation.portion);
    reservation = {};
    dropClaimsOf(job);
}

} // namespace teasel
