#include "node/config_gateway.h"

#include "node/forwarder.h"
#include "node/http_responses.h"

#include <string>
#include <utility>

namespace teasel {

namespace {

    constexpr std::string_view changesPath = "/v1/config/changes";
    HttpResponse responseFrom(const schema::ChangeAnswer& answer)
    {
        if (answer.state() == schema::CHANGE_STATE_REFUSED) {
            const auto kind = errorKindFromNumber(answer.failure().kind());
            return messageResponse(answer, errorInfo(kind).httpStatus);
        }
        return messageResponse(answer, answer.state() == schema::CHANGE_STATE_PENDING ? 202 : 200);
    }

} // namespace

ConfigGateway::ConfigGateway(HttpServer& server, StateClient& stateClient, const ConfigView& config)
    : m_server(server)
    , m_stateClient(stateClient)
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

void ConfigGateway::sendError(const HttpRequest& request, const Error& error)
{
    m_server.answer(request.handle, errorResponse(error, request.header("teasel-request-id")));
}

Result<KeyIdentity> ConfigGateway::identify(const HttpRequest& request, bool requiresOperator) const
{
    BOOST_LEAF_AUTO(identity, m_config.identify(bearerToken(request)));
    if (requiresOperator && identity.role != schema::ROLE_OPERATOR)
        return fail(ErrorKind::Forbidden, "only an operator's key may change the configuration");
    return identity;
}

void ConfigGateway::change(const HttpRequest& request, Instant now)
{
    schema::ConfigChange requested;
    const auto checked = valueOrError([&]() -> Result<void> {
        BOOST_LEAF_AUTO(identity, identify(request, true));
        BOOST_LEAF_CHECK(parseJson(request.body, requested));
        if (requested.change_id().empty())
            return fail(ErrorKind::BadRequest,
                "change_id is missing: choose a unique one, and keep it when you resend the change");
        if (requested.edits().empty())
            return fail(ErrorKind::BadRequest, "the change has no edits");
        requested.set_made_by(identity.keyId);
        return {};
    });
    if (const auto* error = std::get_if<Error>(&checked)) {
        sendError(request, *error);
        return;
    }
    propose(request, std::move(requested), parseWait(request), now);
}

void ConfigGateway::showChange(const HttpRequest& request, std::string_view changeId, Instant now)
{
    const auto identity = valueOrError([&] { return identify(request, false); });
    if (const auto* error = std::get_if<Error>(&identity)) {
        sendError(request, *error);
        return;
    }
    // A change without edits queries the answer to the change with the same id.
    schema::ConfigChange query;
    query.set_change_id(std::string(changeId));
    query.set_made_by(std::get<KeyIdentity>(identity).keyId);
    propose(request, std::move(query), Milliseconds(0), now);
}

void ConfigGateway::propose(const HttpRequest& request, schema::ConfigChange change, Duration wait, Instant now)
{
    schema::Command command;
    *command.mutable_config_change() = std::move(change);
    m_stateClient.propose(std::move(command), true, wait, now,
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
        sendError(request, *error);
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
