#include "fleet/started_request_table.h"

#include <algorithm>

namespace teasel {

StartedRequestTable::Record* StartedRequestTable::find(TeamId team, const std::string& requestId)
{
    const auto it = m_records.find(Key { team, requestId });
    return it == m_records.end() ? nullptr : &it->second;
}

schema::BeginAnswer StartedRequestTable::begin(const schema::BeginRequest& request, uint64_t wallMs)
{
    schema::BeginAnswer answer;
    answer.set_request_id(request.request_id());
    answer.set_attempt(request.attempt());
    Record* record = find(request.team_id(), request.request_id());
    const bool full = record == nullptr && m_records.size() >= m_limits.maxRecords;
    if (request.attempt().empty() || full) {
        answer.set_verdict(schema::BEGIN_VERDICT_REFUSED);
        return answer;
    }
    if (record == nullptr) {
        Key key { request.team_id(), request.request_id() };
        record = &m_records[key];
        record->wallMs = wallMs;
        m_byAge.emplace_back(wallMs, std::move(key));
    }
    const auto& closed = record->closedAttempts;
    if (std::find(closed.begin(), closed.end(), request.attempt()) != closed.end()) {
        answer.set_verdict(schema::BEGIN_VERDICT_REFUSED);
        return answer;
    }
    if (record->attempt.empty())
        record->attempt = request.attempt();
    if (record->finished) {
        answer.set_verdict(schema::BEGIN_VERDICT_FINISHED);
        *answer.mutable_outcome() = record->outcome;
    } else if (record->attempt == request.attempt()) {
        answer.set_verdict(schema::BEGIN_VERDICT_BEGUN);
    } else {
        answer.set_verdict(schema::BEGIN_VERDICT_RUNNING);
    }
    return answer;
}

void StartedRequestTable::finish(const schema::FinishRequest& outcome)
{
    Record* record = find(outcome.team_id(), outcome.request_id());
    if (record == nullptr || record->finished || outcome.attempt().empty() || record->attempt != outcome.attempt())
        return;
    if (outcome.did_not_run())
        close(*record, outcome.attempt());
    else
        store(*record, outcome);
}

// A closed attempt is remembered: if a late resend of it began again, no instance would run the request or report its
// end.
void StartedRequestTable::close(Record& record, const std::string& attempt) const
{
    record.attempt.clear();
    record.closedAttempts.push_back(attempt);
    if (record.closedAttempts.size() > m_limits.maxClosedAttempts)
        record.closedAttempts.erase(record.closedAttempts.begin());
}

void StartedRequestTable::store(Record& record, const schema::FinishRequest& outcome)
{
    record.finished = true;
    record.outcome = outcome;
    record.closedAttempts.clear();
    const size_t n = outcome.body().size();
    if (n > m_limits.maxBodyBytes || m_bodyBytes + n > m_limits.maxTotalBodyBytes) {
        record.outcome.clear_body();
        record.outcome.set_body_left_out(true);
    }
    m_bodyBytes += record.outcome.body().size();
}

void StartedRequestTable::expire(uint64_t wallMs)
{
    while (!m_byAge.empty() && m_byAge.front().first + m_limits.maxAgeMs < wallMs) {
        const auto it = m_records.find(m_byAge.front().second);
        m_bodyBytes -= it->second.outcome.body().size();
        m_records.erase(it);
        m_byAge.pop_front();
    }
}

void StartedRequestTable::writeTo(schema::FleetSnapshot& snapshot) const
{
    for (const auto& [wallMs, key] : m_byAge) {
        const Record& record = m_records.at(key);
        auto& started = *snapshot.add_begun();
        started.set_team_id(key.first);
        started.set_request_id(key.second);
        started.set_attempt(record.attempt);
        started.set_wall_ms(wallMs);
        if (record.finished)
            *snapshot.add_finished() = record.outcome;
        for (const auto& it : record.closedAttempts) {
            auto& closed = *snapshot.add_closed_attempts();
            closed.set_team_id(key.first);
            closed.set_request_id(key.second);
            closed.set_attempt(it);
        }
    }
}

void StartedRequestTable::readFrom(const schema::FleetSnapshot& snapshot)
{
    m_records.clear();
    m_byAge.clear();
    m_bodyBytes = 0;
    for (const auto& it : snapshot.begun()) {
        Key key { it.team_id(), it.request_id() };
        Record& record = m_records[key];
        record.attempt = it.attempt();
        record.wallMs = it.wall_ms();
        m_byAge.emplace_back(it.wall_ms(), std::move(key));
    }
    for (const auto& it : snapshot.closed_attempts())
        if (Record* record = find(it.team_id(), it.request_id()))
            record->closedAttempts.push_back(it.attempt());
    for (const auto& it : snapshot.finished())
        if (Record* record = find(it.team_id(), it.request_id())) {
            record->finished = true;
            record->outcome = it;
            m_bodyBytes += it.body().size();
        }
}

} // namespace teasel
