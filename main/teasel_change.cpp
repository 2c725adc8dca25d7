#include "main/teasel_change.h"

#include "fleet/key_material.h"
#include "main/teasel_json.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/rand.h>

namespace teasel {

namespace {

    constexpr size_t idBytes = 16;
    constexpr std::chrono::milliseconds answerMargin { 5'000 };
    constexpr int firstServerError = 500;

    ExitCode exitCodeOf(schema::ChangeState state)
    {
        if (state == schema::CHANGE_STATE_ACCEPTED)
            return ExitCode::Accepted;
        return state == schema::CHANGE_STATE_PENDING ? ExitCode::Pending : ExitCode::Refused;
    }

} // namespace

Result<std::string> randomId()
{
    std::string buf(idBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(buf.data()), static_cast<int>(buf.size())) != 1)
        return fail(ErrorKind::Internal, "no random bytes to be had");
    return toHex(buf);
}

std::variant<schema::FleetConfig, ExitCode> ConfigChanges::read()
{
    const auto outcome = m_client.send({ "GET", "/v1/config", {}, {} }, Resend::Always);
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        return m_out.unreachable(*failure, "check --server; nothing was sent");
    const auto& reply = std::get<HttpReply>(outcome);
    if (reply.status != 200)
        return m_out.refused(reply);
    schema::FleetConfig config;
    const auto parsed = valueOrError([&] { return fromJson(reply.body, config); });
    if (const auto* error = std::get_if<Error>(&parsed))
        return m_out.refused(*error);
    return config;
}

ChangeOutcome ConfigChanges::judge(const HttpOutcome& outcome, std::string_view next)
{
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        return { m_out.unreachable(*failure, next), std::nullopt };
    const auto& reply = std::get<HttpReply>(outcome);
    schema::ChangeAnswer answer;
    const auto parsed = valueOrError([&] { return fromJson(reply.body, answer); });
    if (!std::holds_alternative<Error>(parsed) && answer.state() != schema::CHANGE_STATE_UNSPECIFIED)
        return { exitCodeOf(answer.state()), answer };
    if (reply.status < firstServerError)
        return { m_out.refused(reply), std::nullopt };
    // The instance answered, but not for the fleet state.
    const auto message = fmt::format("HTTP {}: {}", reply.status, readErrorBody(reply.body).message);
    return { m_out.unreachable({ true, message }, next), std::nullopt };
}

ChangeOutcome ConfigChanges::send(const ChangeOptions& options, const EditMaker& maker)
{
    auto config = read();
    if (const auto* code = std::get_if<ExitCode>(&config))
        return { *code, std::nullopt };
    schema::ConfigChange change;
    const auto made = valueOrError([&]() -> Result<void> {
        BOOST_LEAF_AUTO(edits, maker(std::get<schema::FleetConfig>(config)));
        BOOST_LEAF_AUTO(fresh, randomId());
        change.set_change_id(options.changeId.empty() ? fresh : options.changeId);
        change.mutable_edits()->Assign(edits.begin(), edits.end());
        return {};
    });
    if (const auto* error = std::get_if<Error>(&made))
        return { m_out.refused(*error), std::nullopt };
    change.set_base_revision(options.baseRevision.value_or(std::get<schema::FleetConfig>(config).revision()));
    HttpCall call { "POST", "/v1/config/changes",
        { { "Content-Type", "application/json" }, { "Teasel-Wait-Ms", fmt::format("{}", options.waitMs) } },
        toJson(change), answerMargin + std::chrono::milliseconds(options.waitMs) };
    const auto next = fmt::format("the change may have been made: run the same command with --change-id {} "
                                  "--base-revision {}; it is made once at most",
        change.change_id(), change.base_revision());
    return judge(m_client.send(std::move(call), Resend::Always), next);
}

ExitCode ConfigChanges::make(const ChangeOptions& options, const EditMaker& maker)
{
    const auto outcome = send(options, maker);
    if (outcome.answer)
        show(*outcome.answer);
    return outcome.code;
}

ExitCode ConfigChanges::showStatus(const std::string& changeId)
{
    HttpCall call;
    call.path = fmt::format("/v1/config/changes/{}", changeId);
    const auto outcome = judge(m_client.send(std::move(call), Resend::Always), "check --server and ask again");
    if (outcome.answer)
        show(*outcome.answer);
    return outcome.code;
}

std::string ConfigChanges::describe(const schema::ChangeAnswer& answer) const
{
    switch (answer.state()) {
    case schema::CHANGE_STATE_ACCEPTED:
        return fmt::format(
            "accepted: change {} is in force everywhere as revision {}", answer.change_id(), answer.revision());
    case schema::CHANGE_STATE_PENDING:
        return fmt::format("pending: change {} is committed as revision {} and will not be undone; not yet in force "
                           "in: {}\nnext: teasel config change-status {}",
            answer.change_id(), answer.revision(), fmt::join(answer.data_centres_not_reached(), ", "),
            answer.change_id());
    default:
        break;
    }
    const auto& advice = answerOf(errorKindFromNumber(answer.failure().kind())).advice;
    auto text = fmt::format("refused: change {} was not made: {}", answer.change_id(), answer.failure().message());
    if (answer.winning_change_id() == answer.change_id())
        return text
            + "\nnext: to send that change again, give the --base-revision that it had and the same values; "
              "for another change, leave --change-id out";
    if (!answer.winning_change_id().empty())
        text += fmt::format("\nwon by: change {} of key {}", answer.winning_change_id(), answer.winning_made_by());
    return text + fmt::format("\nnext: {}; the current revision is {}", advice, answer.revision());
}

void ConfigChanges::show(const schema::ChangeAnswer& answer)
{
    if (m_out.json())
        m_out.raw(toJson(answer));
    else if (answer.state() == schema::CHANGE_STATE_REFUSED)
        m_out.note(describe(answer));
    else
        m_out.line(describe(answer));
}

} // namespace teasel
