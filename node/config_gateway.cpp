#include "node/config_gateway.h"

#include "node/forwarder.h"
#include "node/http_answers.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

namespace teasel {

namespace {

    constexpr std::string_view changesPath = "/v1/config/changes";
    constexpr Milliseconds defaultWait { 3'000 };
    constexpr Milliseconds longestWait { 60'000 };

    Duration waitFrom(const HttpRequest& request)
    {
        const std::string text(request.header("teasel-wait-ms"));
        if (text.empty())
            return defaultWait;
        return std::min(longestWait, Milliseconds(std::strtoll(text.c_str(), nullptr, 10)));
    }

    HttpResponse responseFrom(const schema::ChangeAnswer& answer)
    {
        if (answer.state() == schema::CHANGE_STATE_REFUSED) {
            const auto kind = errorKindFromNumber(answer.failure().kind());
            return messageResponse(answer, answerOf(kind).httpStatus);
        }
        return messageResponse(answer, answer.state() == schema::CHANGE_STATE_PENDING ? 202 : 200);
    }

} // namespace

ConfigGateway::ConfigGateway(HttpServer& server, StateClient& state, const ConfigView& config)
    : m_server(server)
    , m_state(state)
    , m_config(config)
{
}

bool ConfigGateway::onHttp(const HttpRequest& request, Instant now)
{
    const std::string_view path = request.path;
    if (path == changesPath && request.method == "POST")
        change(request, now);
    else if (path.starts_with(changesPath) && path.size() > changesPath.size() + 1)
        showChange(request, path.substr(changesPath.size() + 1), now);
    else if (path == "/v1/config")
        showConfig(request);
    else
        return false;
    return true;
}

void ConfigGateway::refuse(const HttpRequest& request, const Error& error)
{
    m_server.answer(request.handle, errorResponse(error, request.header("teasel-request-id")));
}

Result<KeyIdentity> ConfigGateway::identify(const HttpRequest& request, bool mayChange) const
{
    BOOST_LEAF_AUTO(identity, m_config.identify(bearerToken(request)));
    if (mayChange && identity.role != schema::ROLE_OPERATOR)
        return fail(ErrorKind::Forbidden, "only an operator's key changes the configuration");
    return identity;
}

void ConfigGateway::change(const HttpRequest& request, Instant now)
{
    schema::ConfigChange wanted;
    const auto read = valueOrError([&]() -> Result<void> {
        BOOST_LEAF_AUTO(identity, identify(request, true));
        BOOST_LEAF_CHECK(readJson(request.body, wanted));
        if (wanted.change_id().empty())
            return fail(ErrorKind::BadRequest,
                "change_id is missing: send one of your own, and the same one when you send again");
        if (wanted.edits().empty())
            return fail(ErrorKind::BadRequest, "the change has no edits");
        wanted.set_made_by(identity.keyId);
        return {};
    });
    if (const auto* error = std::get_if<Error>(&read)) {
        refuse(request, *error);
        return;
    }
    propose(request, std::move(wanted), waitFrom(request), now);
}

void ConfigGateway::showChange(const HttpRequest& request, std::string_view changeId, Instant now)
{
    const auto identity = valueOrError([&] { return identify(request, false); });
    if (const auto* error = std::get_if<Error>(&identity)) {
        refuse(request, *error);
        return;
    }
    // A change without edits asks for the answer of the one with its id.
    schema::ConfigChange asked;
    asked.set_change_id(std::string(changeId));
    asked.set_made_by(std::get<KeyIdentity>(identity).keyId);
    propose(request, std::move(asked), Milliseconds(0), now);
}

void ConfigGateway::propose(const HttpRequest& request, schema::ConfigChange change, Duration wait, Instant now)
{
    schema::Command command;
    *command.mutable_config_change() = std::move(change);
    m_state.propose(std::move(command), true, wait, now,
        [this, handle = request.handle](const schema::CommandResult* result, const Error* error) {
            if (error != nullptr)
                m_server.answer(handle, errorResponse(*error, {}));
            else if (result->has_failure())
                m_server.answer(handle, errorResponse(errorFrom(result->failure()), {}));
            else
                m_server.answer(handle, responseFrom(result->change()));
        });
}

void ConfigGateway::showConfig(const HttpRequest& request)
{
    const auto identity = valueOrError([&] { return identify(request, false); });
    if (const auto* error = std::get_if<Error>(&identity)) {
        refuse(request, *error);
        return;
    }
    auto shown = m_config.config();
    for (auto& it : *shown.mutable_keys()) {
        it.clear_hash();
        it.clear_salt();
    }
    m_server.answer(request.handle, messageResponse(shown));
}

} // namespace teasel
