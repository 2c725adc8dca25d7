#include "main/teasel_config_client.h"

#include "fleet/key_material.h"
#include "main/teasel_json.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/rand.h>

namespace teasel {

namespace {

    constexpr size_t idSizeBytes = 16;
    constexpr std::chrono::milliseconds responseTimeoutMargin { 5'000 };
    constexpr int firstServerErrorStatus = 500;

    ExitCode exitCodeOf(schema::ChangeState state)
    {
        if (state == schema::CHANGE_STATE_ACCEPTED)
            return ExitCode::Accepted;
        return state == schema::CHANGE_STATE_PENDING ? ExitCode::Pending : ExitCode::Refused;
    }

} // namespace

Result<std::string> randomId()
{
    std::string buf(idSizeBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(buf.data()), static_cast<int>(buf.size())) != 1)
        return fail(ErrorKind::Internal, "the random number generator failed");
    return toHex(buf);
}

std::variant<schema::FleetConfig, ExitCode> ConfigClient::read()
{
    const auto outcome = m_client.send({ "GET", "/v1/config", {}, {} }, RetryPolicy::Always);
    if (const auto* failure = std::get_if<ApiFailure>(&outcome))
        return m_out.reportUnreachable(*failure, "check --server; no change was sent");
    const auto& response = std::get<ApiResponse>(outcome);
    if (response.status != 200)
        return m_out.reportRefusal(response);
    schema::FleetConfig config;
    const auto parsed = valueOrError([&] { return fromJson(response.body, config); });
    if (const auto* error = std::get_if<Error>(&parsed))
        return m_out.reportRefusal(*error);
    return config;
}

ChangeOutcome ConfigClient::parseAnswer(const ApiResult& outcome, std::string_view advice)
{
    if (const auto* failure = std::get_if<ApiFailure>(&outcome))
        return { m_out.reportUnreachable(*failure, advice), std::nullopt };
    const auto& response = std::get<ApiResponse>(outcome);
    schema::ChangeAnswer answer;
    const auto parsed = valueOrError([&] { return fromJson(response.body, answer); });
    if (!std::holds_alternative<Error>(parsed) && answer.state() != schema::CHANGE_STATE_UNSPECIFIED)
        return { exitCodeOf(answer.state()), answer };
    if (response.status < firstServerErrorStatus)
        return { m_out.reportRefusal(response), std::nullopt };
    // The instance answered, but could not get an answer from the fleet state.
    const auto message = fmt::format("HTTP {}: {}", response.status, readErrorBody(response.body).message);
    return { m_out.reportUnreachable({ true, message }, advice), std::nullopt };
}

ChangeOutcome ConfigClient::send(const ChangeOptions& options, const EditBuilder& buildEdits)
{
    auto config = read();
    if (const auto* code = std::get_if<ExitCode>(&config))
        return { *code, std::nullopt };
    schema::ConfigChange change;
    const auto prepared = valueOrError([&]() -> Result<void> {
        BOOST_LEAF_AUTO(edits, buildEdits(std::get<schema::FleetConfig>(config)));
        BOOST_LEAF_AUTO(newId, randomId());
        change.set_change_id(options.changeId.empty() ? newId : options.changeId);
        change.mutable_edits()->Assign(edits.begin(), edits.end());
        return {};
    });
    if (const auto* error = std::get_if<Error>(&prepared))
        return { m_out.reportRefusal(*error), std::nullopt };
    change.set_base_revision(options.baseRevision.value_or(std::get<schema::FleetConfig>(config).revision()));
    ApiRequest request { "POST", "/v1/config/changes",
        { { "Content-Type", "application/json" }, { "Teasel-Wait-Ms", fmt::format("{}", options.waitMs) } },
        toJson(change), responseTimeoutMargin + std::chrono::milliseconds(options.waitMs) };
    const auto advice = fmt::format("the change may have been applied: run the same command with --change-id {} "
                                    "--base-revision {}; it is applied at most once",
        change.change_id(), change.base_revision());
    return parseAnswer(m_client.send(std::move(request), RetryPolicy::Always), advice);
}

ExitCode ConfigClient::submit(const ChangeOptions& options, const EditBuilder& buildEdits)
{
    const auto outcome = send(options, buildEdits);
    if (outcome.answer)
        show(*outcome.answer);
    return outcome.code;
}

ExitCode ConfigClient::showStatus(const std::string& changeId)
{
    ApiRequest request;
    request.path = fmt::format("/v1/config/changes/{}", changeId);
    const auto outcome
        = parseAnswer(m_client.send(std::move(request), RetryPolicy::Always), "check --server and try again");
    if (outcome.answer)
        show(*outcome.answer);
    return outcome.code;
}

std::string ConfigClient::describe(const schema::ChangeAnswer& answer) const
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
    const auto& advice = errorInfo(errorKindFromNumber(answer.failure().kind())).advice;
    auto text = fmt::format("refused: change {} was not applied: {}", answer.change_id(), answer.failure().message());
    if (answer.winning_change_id() == answer.change_id())
        return text
            + "\nnext: to send that change again, give its original --base-revision and the same values; "
              "for another change, omit --change-id";
    if (!answer.winning_change_id().empty())
        text += fmt::format("\nwon by: change {} of key {}", answer.winning_change_id(), answer.winning_made_by());
    return text + fmt::format("\nnext: {}; the current revision is {}", advice, answer.revision());
}

void ConfigClient::show(const schema::ChangeAnswer& answer)
{
    if (m_out.isJson())
        m_out.print(toJson(answer));
    else if (answer.state() == schema::CHANGE_STATE_REFUSED)
        m_out.printError(describe(answer));
    else
        m_out.printLine(describe(answer));
}

} // namespace teasel
