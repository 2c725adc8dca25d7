#include "fleet/session_ledger.h"

#include <algorithm>

namespace teasel {

namespace {

    // The lowest revision that an instance of the data centre with a lease may act on.
    Revision lowestActiveRevision(const schema::SessionRenew& renew)
    {
        Revision revision = renew.applied_revision();
        for (const auto& it : renew.members())
            if (it.lease_left_ms() > 0)
                revision = std::min(revision, it.revision());
        return revision;
    }

} // namespace

void SessionLedger::reset(const absl::btree_map<std::string, schema::SessionRecord>& sessions, Instant end)
{
    m_entries.clear();
    for (const auto& [name, session] : sessions)
        if (session.open())
            m_entries[name].authorityEnd = end;
}

void SessionLedger::handleReport(
    SessionEntry& entry, const std::string& from, const schema::SessionRenew& renew, Instant now)
{
    entry.needsComplete = entry.hasReported && renew.sequence() > entry.sequence;
    entry.hasReported = true;
    entry.lastContactAt = now;
    entry.address = from;
    entry.epoch = renew.epoch();
    entry.sequence = renew.sequence();
    entry.appliedRevision = renew.applied_revision();
    entry.digest = renew.config_digest();
    entry.inForceRevision = std::max(entry.inForceRevision, lowestActiveRevision(renew));
    entry.portionsVersion = renew.portions_version();
    entry.jobsVersion = renew.jobs_version();
    for (const auto& it : renew.needs()) {
        ReportedNeed& need = entry.needs[it.team_id()];
        need.inUse = toAmounts(it.requests_in_use(), it.tasks_in_use());
        need.wanted = toAmounts(it.requests_wanted(), it.tasks_wanted());
        need.held = toAmounts(it.requests_held(), it.tasks_held());
        need.version = it.returned_portion_version();
    }
}

void SessionLedger::clearReports(SessionEntry& entry)
{
    entry.hasReported = false;
    entry.needsComplete = false;
    entry.sequence = 0;
    entry.needs.clear();
    entry.targets.clear();
    entry.pushDue = false;
}

std::vector<std::string> SessionLedger::dataCentresNotReached(Revision revision, Instant now) const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : m_entries)
        if (entry.authorityEnd > now && entry.inForceRevision < revision)
            names.push_back(name);
    return names;
}

Revision SessionLedger::inForceRevision(Revision current, Instant now) const
{
    for (const auto& [name, entry] : m_entries)
        if (entry.authorityEnd > now)
            current = std::min(current, entry.inForceRevision);
    return current;
}

} // namespace teasel
