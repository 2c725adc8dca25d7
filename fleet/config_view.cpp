#include "fleet/config_view.h"

#include "fleet/key_material.h"

#include <fmt/format.h>

namespace teasel {

Result<void> ConfigView::apply(const schema::ConfigDelta& delta)
{
    if (delta.to_revision() < revision())
        return {};
    if (delta.has_whole())
        return applyFull(delta);
    if (delta.to_revision() == revision())
        return checkDigest(delta);
    return applyEdits(delta);
}

Result<void> ConfigView::applyFull(const schema::ConfigDelta& delta)
{
    if (!m_isInconsistent && delta.to_revision() == revision() && delta.digest() == digest())
        return {};
    m_table = ConfigTable(delta.whole());
    m_deltas.clear();
    m_isInconsistent = false;
    return checkDigest(delta);
}

Result<void> ConfigView::applyEdits(const schema::ConfigDelta& delta)
{
    if (m_isInconsistent || delta.from_revision() > revision())
        return fail(ErrorKind::RevisionConflict,
            fmt::format("a delta from revision {} does not follow revision {}", delta.from_revision(), revision()));
    const Revision from = revision();
    for (const auto& it : delta.edits())
        m_table.apply(it);
    m_table.setRevision(delta.to_revision());
    BOOST_LEAF_CHECK(checkDigest(delta));
    schema::ConfigDelta step = delta;
    step.set_from_revision(from);
    m_deltas.append(std::move(step));
    return {};
}

Result<void> ConfigView::checkDigest(const schema::ConfigDelta& delta)
{
    if (delta.digest() == digest())
        return {};
    m_isInconsistent = true;
    return fail(ErrorKind::RevisionConflict, fmt::format("configuration digest mismatch at revision {}", revision()));
}

Result<KeyIdentity> ConfigView::identify(std::string_view bearerToken) const
{
    BOOST_LEAF_AUTO(parts, splitToken(bearerToken));
    static const schema::Key unknown = [] {
        schema::Key key;
        key.set_salt(std::string(16, '\0'));
        return key;
    }();
    const schema::Key* key = m_table.key(parts.id);
    const bool matches = secretMatches(key == nullptr ? unknown : *key, parts.secret);
    if (key == nullptr || !matches)
        return fail(ErrorKind::Unauthenticated, "unknown key or wrong secret");
    return KeyIdentity { key->id(), key->team_id(), key->role() };
}

schema::ConfigDelta ConfigView::deltaFor(Revision from, uint64_t holderDigest) const
{
    const bool revisionMatches = from == revision() ? holderDigest == digest() : m_deltas.covers(from, holderDigest);
    return revisionMatches ? m_deltas.since(from, config(), digest()) : fullDelta(config(), digest());
}

} // namespace teasel
