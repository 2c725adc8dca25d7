#include "fleet/fleet_state.h"

#include "fleet/config_editor.h"
#include "fleet/key_material.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr Revision s_firstRevision = 1;
    constexpr size_t s_maxChangeIdLength = 128;

    void setFailure(schema::Failure& failure, const Error& error)
    {
        failure.set_kind(static_cast<uint32_t>(error.kind));
        failure.set_message(error.message);
        failure.set_retry_after_ms(static_cast<uint64_t>(error.retryAfter.count()));
    }

    schema::FleetConfig initialConfig(const schema::BootstrapSettings& settings)
    {
        schema::FleetConfig config;
        config.set_revision(s_firstRevision);
        config.set_next_team_id(1);
        config.set_next_subject_id(1);
        for (const auto& it : settings.schemes()) {
            auto& scheme = *config.add_schemes();
            scheme.set_id(static_cast<SchemeId>(config.schemes_size() - 1));
            scheme.set_name(it);
        }
        if (settings.operator_key_id().empty())
            return config;
        auto& key = *config.add_keys();
        key.set_id(settings.operator_key_id());
        key.set_role(schema::ROLE_OPERATOR);
        const auto bytes = [](const std::string& text) {
            auto value = valueOrError([&] { return fromHex(text); });
            return value.index() == 0 ? std::get<0>(std::move(value)) : std::string();
        };
        key.set_salt(bytes(settings.operator_key_salt()));
        key.set_hash(bytes(settings.operator_key_hash()));
        return config;
    }

} // namespace

FleetState::FleetState(const schema::BootstrapSettings& settings, const FleetLimits& limits)
    : m_limits(limits)
    , m_table(initialConfig(settings))
    , m_deltas(limits.maxDeltaEdits)
    , m_changes(limits.maxChangeRecords)
    , m_startedRequests(limits.startedRequests)
    , m_jobs(limits.jobs)
    , m_inForceRevision(s_firstRevision)
{
}

schema::CommandResult FleetState::apply(const schema::Command& command)
{
    schema::CommandResult result;
    m_wallMs = std::max(m_wallMs, command.wall_ms());
    m_startedRequests.expire(m_wallMs);
    m_jobs.expire(m_wallMs);
    const auto storeOutcome = [&](auto&& operation) {
        auto outcome = valueOrError(operation);
        if (const auto* error = std::get_if<Error>(&outcome))
            setFailure(*result.mutable_failure(), *error);
        else if constexpr (std::is_same_v<std::decay_t<decltype(std::get<0>(outcome))>, schema::JobRecord>)
            *result.mutable_job() = std::get<0>(outcome);
    };
    switch (command.body_case()) {
    case schema::Command::kConfigChange:
        applyChange(command.config_change(), result);
        break;
    case schema::Command::kBegin:
        *result.mutable_begin() = m_startedRequests.begin(command.begin(), m_wallMs);
        break;
    case schema::Command::kFinish:
        m_startedRequests.finish(command.finish());
        break;
    case schema::Command::kPortions:
        storeOutcome([&] { return m_portions.apply(command.portions()); });
        resolveWaitingTeams();
        break;
    case schema::Command::kSubmitJob:
        storeOutcome([&] { return m_jobs.submit(command.submit_job(), m_wallMs); });
        break;
    case schema::Command::kJobProgress:
        storeOutcome([&] { return m_jobs.progress(command.job_progress(), m_wallMs); });
        break;
    case schema::Command::kSession:
        applySession(command.session(), result);
        break;
    case schema::Command::kInForce:
        m_inForceRevision = std::max(m_inForceRevision, std::min(command.in_force().revision(), revision()));
        break;
    case schema::Command::BODY_NOT_SET:
        break;
    }
    return result;
}

void FleetState::applyChange(const schema::ConfigChange& change, schema::CommandResult& result)
{
    schema::ChangeAnswer& answer = *result.mutable_change();
    if (change.edits().empty())
        return answerQuery(change, answer);
    if (answerFromLog(change, answer))
        return;
    ConfigEditor editor(m_table, m_usedKeyIds, m_limits.maxUsedKeyIds, m_limits.maxConfigBytes);
    auto outcome = valueOrError([&]() -> Result<AppliedEdits> {
        BOOST_LEAF_CHECK(checkChange(change));
        return editor.run(change.edits());
    });
    if (const auto* error = std::get_if<Error>(&outcome))
        return refuse(change, *error, answer);
    AppliedEdits& applied = std::get<0>(outcome);
    rememberKeyIds(applied.edits);
    const std::vector<TeamId> waiting = applyLimits(applied.edits);
    commitEdits(std::move(applied.edits));
    answer.set_change_id(change.change_id());
    answer.set_state(schema::CHANGE_STATE_PENDING);
    answer.set_revision(revision());
    answer.mutable_team_ids()->Add(applied.createdTeams.begin(), applied.createdTeams.end());
    recordChange(change, answer, waiting);
}

// Answers a change without edits: a query for the result of the change with the same id. A query is not recorded.
void FleetState::answerQuery(const schema::ConfigChange& query, schema::ChangeAnswer& answer) const
{
    if (const auto* known = m_changes.find(query.made_by(), query.change_id())) {
        answer = known->answer();
        return;
    }
    answer.set_change_id(query.change_id());
    answer.set_state(schema::CHANGE_STATE_REFUSED);
    answer.set_revision(revision());
    setFailure(
        *answer.mutable_failure(), { ErrorKind::NotFound, "no change of this key with this id is remembered", {} });
}

// Answers a change whose id is in the log: a resend gets the first answer, a different change under the same id is
// refused. Returns whether an answer was given.
bool FleetState::answerFromLog(const schema::ConfigChange& change, schema::ChangeAnswer& answer) const
{
    const auto* known = m_changes.find(change.made_by(), change.change_id());
    // A change without edits only queries the result of an earlier change.
    if (known == nullptr && change.edits().empty()) {
        answer.set_change_id(change.change_id());
        answer.set_state(schema::CHANGE_STATE_REFUSED);
        answer.set_revision(revision());
        setFailure(*answer.mutable_failure(), { ErrorKind::NotFound, "this key made no change with this id", {} });
        return true;
    }
    if (known == nullptr)
        return false;
    if (change.edits().empty() || known->content_hash() == contentHash(change)) {
        answer = known->answer();
        return true;
    }
    answer.set_change_id(change.change_id());
    answer.set_state(schema::CHANGE_STATE_REFUSED);
    answer.set_revision(revision());
    answer.set_winning_change_id(known->answer().change_id());
    answer.set_winning_made_by(known->made_by());
    setFailure(*answer.mutable_failure(), { ErrorKind::RevisionConflict, "another change has this change id", {} });
    return true;
}

Result<void> FleetState::checkChange(const schema::ConfigChange& change) const
{
    if (change.change_id().empty() || change.change_id().size() > s_maxChangeIdLength || change.edits().empty())
        return fail(ErrorKind::BadRequest, "a change has an id and at least one edit");
    const schema::Key* key = m_table.key(change.made_by());
    if (key == nullptr || key->role() != schema::ROLE_OPERATOR)
        return fail(ErrorKind::Forbidden, "the change was not made with an operator's key in force");
    if (change.base_revision() != 0 && change.base_revision() != revision())
        return fail(ErrorKind::RevisionConflict,
            fmt::format("made on revision {}, current is {}", change.base_revision(), revision()));
    return {};
}

void FleetState::refuse(const schema::ConfigChange& change, const Error& error, schema::ChangeAnswer& answer)
{
    answer.set_change_id(change.change_id());
    answer.set_state(schema::CHANGE_STATE_REFUSED);
    answer.set_revision(revision());
    setFailure(*answer.mutable_failure(), error);
    const bool lostRace = change.base_revision() != 0 && change.base_revision() < revision();
    if (const auto* winner = lostRace ? m_changes.findByRevision(change.base_revision() + 1) : nullptr) {
        answer.set_winning_change_id(winner->answer().change_id());
        answer.set_winning_made_by(winner->made_by());
    }
    recordChange(change, answer, {});
}

void FleetState::recordChange(
    const schema::ConfigChange& change, const schema::ChangeAnswer& answer, const std::vector<TeamId>& waiting)
{
    schema::ChangeRecord record;
    *record.mutable_answer() = answer;
    record.set_made_by(change.made_by());
    record.set_content_hash(contentHash(change));
    record.mutable_waiting_team_ids()->Add(waiting.begin(), waiting.end());
    m_changes.add(std::move(record));
}

void FleetState::commitEdits(std::vector<schema::ConfigEdit> edits)
{
    schema::ConfigDelta delta;
    delta.set_from_revision(revision());
    m_table.setRevision(revision() + 1);
    delta.set_to_revision(revision());
    delta.set_digest(digest());
    for (auto& it : edits)
        *delta.add_edits() = std::move(it);
    m_deltas.append(std::move(delta));
}

void FleetState::rememberKeyIds(const std::vector<schema::ConfigEdit>& edits)
{
    for (const auto& it : edits) {
        // A revoked key may be one of the bootstrap settings, which no change granted.
        const bool revokes = it.edit_case() == schema::ConfigEdit::kWithdrawKey;
        if (!revokes && it.edit_case() != schema::ConfigEdit::kGrantKey)
            continue;
        const auto& id = revokes ? it.withdraw_key() : it.grant_key().id();
        if (m_usedKeyIds.insert(id).second)
            m_usedKeyOrder.push_back(id);
    }
}

// Applies the limits of the edited teams. Returns the teams whose portions exceed their new limit.
std::vector<TeamId> FleetState::applyLimits(const std::vector<schema::ConfigEdit>& edits)
{
    std::vector<TeamId> exceeded;
    for (const auto& it : edits) {
        if (it.has_put_team())
            applyLimit(it.put_team().id(), exceeded);
        else if (it.edit_case() == schema::ConfigEdit::kRemoveTeam)
            applyLimit(it.remove_team(), exceeded);
    }
    resolveWaitingTeams();
    return exceeded;
}

void FleetState::applyLimit(TeamId id, std::vector<TeamId>& exceeded)
{
    const schema::Team* team = m_table.team(id);
    m_portions.setLimit(id, team == nullptr ? Amounts {} : limitOf(*team));
    if (!m_portions.withinLimit(id))
        exceeded.push_back(id);
}

void FleetState::resolveWaitingTeams()
{
    std::vector<TeamId> resolved;
    for (const TeamId it : m_changes.waitingTeams())
        if (m_portions.withinLimit(it))
            resolved.push_back(it);
    for (const TeamId it : resolved)
        m_changes.clearWaitingTeam(it);
}

void FleetState::applySession(const schema::SessionRecord& session, schema::CommandResult& result)
{
    const auto it = m_sessions.find(session.data_centre());
    if (it != m_sessions.end() && it->second.epoch() > session.epoch()) {
        setFailure(*result.mutable_failure(), { ErrorKind::RevisionConflict, "a later leader has a session", {} });
        return;
    }
    m_sessions[session.data_centre()] = session;
    m_portions.bumpVersion();
}

bool FleetState::isAccepted(const schema::ChangeRecord& record) const
{
    return record.answer().state() != schema::CHANGE_STATE_REFUSED && record.answer().revision() <= m_inForceRevision
        && record.waiting_team_ids().empty();
}

schema::ConfigDelta FleetState::deltaSince(Revision from) const { return m_deltas.since(from, config(), digest()); }

schema::ConfigDelta FleetState::deltaFor(Revision from, uint64_t holderDigest) const
{
    const bool revisionMatches = from == revision() ? holderDigest == digest() : m_deltas.covers(from, holderDigest);
    return revisionMatches ? deltaSince(from) : fullDelta(config(), digest());
}

std::string FleetState::snapshot() const
{
    schema::FleetSnapshot snapshot;
    *snapshot.mutable_config() = config();
    for (const auto& it : m_changes.records())
        *snapshot.add_changes() = it;
    for (const auto& it : m_portions.all())
        *snapshot.add_portions() = it;
    snapshot.set_portions_version(m_portions.version());
    for (const auto& it : m_deltas.steps())
        *snapshot.add_recent_deltas() = it;
    for (const auto& it : m_usedKeyOrder)
        snapshot.add_used_key_ids(it);
    for (const auto& [name, session] : m_sessions)
        *snapshot.add_sessions() = session;
    snapshot.set_in_force_revision(m_inForceRevision);
    snapshot.set_wall_ms(m_wallMs);
    m_startedRequests.writeTo(snapshot);
    m_jobs.writeTo(snapshot);
    return snapshot.SerializeAsString();
}

Result<void> FleetState::restore(std::string_view bytes)
{
    schema::FleetSnapshot snapshot;
    if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !snapshot.has_config())
        return fail(ErrorKind::BadRequest, "the bytes are no snapshot of the fleet state");
    m_table = ConfigTable(snapshot.config());
    m_deltas.clear();
    for (const auto& it : snapshot.recent_deltas())
        m_deltas.append(it);
    m_changes = ChangeLog(m_limits.maxChangeRecords);
    for (const auto& it : snapshot.changes())
        m_changes.add(it);
    m_portions = PortionTable();
    for (const auto& it : config().teams())
        m_portions.setLimit(it.id(), limitOf(it));
    m_portions.restore(snapshot.portions(), snapshot.portions_version());
    m_usedKeyOrder.assign(snapshot.used_key_ids().begin(), snapshot.used_key_ids().end());
    m_usedKeyIds = { m_usedKeyOrder.begin(), m_usedKeyOrder.end() };
    m_sessions.clear();
    for (const auto& it : snapshot.sessions())
        m_sessions[it.data_centre()] = it;
    m_inForceRevision = snapshot.in_force_revision();
    m_wallMs = snapshot.wall_ms();
    m_startedRequests.readFrom(snapshot);
    m_jobs.readFrom(snapshot);
    return {};
}

} // namespace teasel
