#include "fleet/key_material.h"
#include "main/teasel_commands.h"
#include "main/teasel_json.h"
#include "settings.pb.h"
#include "settings/settings_reader.h"

#include <fmt/format.h>

#include <memory>
#include <optional>

namespace teasel {

namespace {

    struct KeyOptions {
        std::string id;
        std::string team;
        std::string role = "submitter";
        std::string salt;
        std::string hash;
        std::vector<std::string> schemes { "default" };
    };

    Result<schema::Role> roleFromName(std::string_view name)
    {
        if (name == "submitter")
            return schema::ROLE_SUBMITTER;
        if (name == "operator")
            return schema::ROLE_OPERATOR;
        if (name == "viewer")
            return schema::ROLE_VIEWER;
        return fail(ErrorKind::BadRequest, fmt::format("role: expected submitter, operator or viewer, found {}", name));
    }

    std::string_view roleName(schema::Role role)
    {
        switch (role) {
        case schema::ROLE_SUBMITTER:
            return "submitter";
        case schema::ROLE_OPERATOR:
            return "operator";
        case schema::ROLE_VIEWER:
            return "viewer";
        default:
            return "none";
        }
    }

    // The key to grant: a new one, or one whose salt and hash were given as options.
    Result<KeyMaterial> makeKeyMaterial(const KeyOptions& options)
    {
        if (options.salt.empty())
            return makeKey(options.id);
        KeyMaterial key;
        key.stored.set_id(options.id);
        BOOST_LEAF_AUTO(salt, fromHex(options.salt));
        BOOST_LEAF_AUTO(hash, fromHex(options.hash));
        key.stored.set_salt(salt);
        key.stored.set_hash(hash);
        return key;
    }

    ExitCode generateKey(Session& session, const KeyOptions& options)
    {
        const auto created = valueOrError([&] { return makeKey(options.id); });
        if (const auto* error = std::get_if<Error>(&created))
            return session.out.reportRefusal(*error);
        const auto& key = std::get<0>(created);
        const auto salt = toHex(key.stored.salt());
        const auto hash = toHex(key.stored.hash());
        if (session.out.isJson()) {
            session.out.printLine(fmt::format(
                R"({{"key":"{}","id":"{}","salt":"{}","hash":"{}"}})", key.token, key.stored.id(), salt, hash));
            return ExitCode::Accepted;
        }
        session.out.printLine(fmt::format("key (shown once): {}", key.token));
        session.out.printLine(
            fmt::format("next: teasel key grant --id {} --salt {} --hash {} --team TEAM", key.stored.id(), salt, hash));
        return ExitCode::Accepted;
    }

    EditBuilder makeGrantEdit(const KeyOptions& options, const KeyMaterial& key)
    {
        return [&](const schema::FleetConfig& config) -> Result<Edits> {
            Edits edits(1);
            auto& granted = *edits[0].mutable_grant_key();
            granted = key.stored;
            BOOST_LEAF_AUTO(role, roleFromName(options.role));
            granted.set_role(role);
            if (role != schema::ROLE_SUBMITTER)
                return edits;
            if (options.team.empty())
                return fail(ErrorKind::BadRequest, "--team is required: a submitter's key belongs to a team");
            BOOST_LEAF_AUTO(team, findTeam(config, options.team));
            granted.set_team_id(team.id());
            return edits;
        };
    }

    void showGrant(Session& session, const KeyMaterial& key, const ChangeOutcome& outcome)
    {
        if (session.out.isJson()) {
            session.out.printLine(fmt::format(
                R"({{"key":"{}","answer":{}}})", key.token, outcome.answer ? toJson(*outcome.answer) : "null"));
            return;
        }
        if (!key.token.empty() && outcome.code != ExitCode::Refused)
            session.out.printLine(fmt::format("key (shown once): {}", key.token));
        if (outcome.answer)
            session.config.show(*outcome.answer);
        if (outcome.code == ExitCode::Unreachable)
            session.out.printError(fmt::format("to retry, add --id {} --salt {} --hash {}", key.stored.id(),
                toHex(key.stored.salt()), toHex(key.stored.hash())));
    }

    ExitCode grantKey(Session& session, const KeyOptions& options)
    {
        const auto created = valueOrError([&] { return makeKeyMaterial(options); });
        if (const auto* error = std::get_if<Error>(&created))
            return session.out.reportRefusal(*error);
        const auto& key = std::get<0>(created);
        const auto outcome = session.config.send(session.changeOptions, makeGrantEdit(options, key));
        showGrant(session, key, outcome);
        return outcome.code;
    }

    ExitCode revokeKey(Session& session, const KeyOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig&) -> Result<Edits> {
            Edits edits(1);
            edits[0].set_withdraw_key(options.id);
            return edits;
        });
    }

    ExitCode listKeys(Session& session, const KeyOptions&)
    {
        return withConfig(session, [&](const schema::FleetConfig& config) {
            schema::FleetConfig shown;
            *shown.mutable_keys() = config.keys();
            Table table({ "id", "role", "team" });
            for (const auto& it : config.keys())
                table.add({ it.id(), std::string(roleName(it.role())), teamName(config, it.team_id()) });
            session.out.show(shown, table);
            return ExitCode::Accepted;
        });
    }

    ExitCode makeBootstrapSettings(Session& session, const KeyOptions& options)
    {
        const auto created = valueOrError([&] { return makeKey(options.id.empty() ? "operator" : options.id); });
        if (const auto* error = std::get_if<Error>(&created))
            return session.out.reportRefusal(*error);
        const auto& key = std::get<0>(created);
        schema::StateSettings settings;
        auto& bootstrap = *settings.mutable_bootstrap();
        bootstrap.set_operator_key_id(key.stored.id());
        bootstrap.set_operator_key_salt(toHex(key.stored.salt()));
        bootstrap.set_operator_key_hash(toHex(key.stored.hash()));
        for (const auto& it : options.schemes)
            bootstrap.add_schemes(it);
        if (session.out.isJson()) {
            session.out.printLine(fmt::format(R"({{"key":"{}","bootstrap":{}}})", key.token, toJson(bootstrap)));
            return ExitCode::Accepted;
        }
        session.out.printLine("bootstrap:");
        session.out.print(indented(printSettings(bootstrap)));
        session.out.printError(
            fmt::format("key (shown once): {}\nnext: put the lines above into the settings of every state "
                        "replica before its first start",
                key.token));
        return ExitCode::Accepted;
    }

} // namespace

void addKeyCommands(CLI::App& app, Command& selected)
{
    auto& keys = addGroup(app, "key", "Keys of teams and operators");
    auto options = std::make_shared<KeyOptions>();
    auto& generate = *keys.add_subcommand("make", "Generate a key without granting it");
    generate.add_option("--id", options->id, "Id of the key; random if not given");
    setHandler(generate, selected, options, generateKey);

    auto& grant = *keys.add_subcommand("grant", "Generate a key and grant it; only its salted hash is sent");
    grant.add_option("--team", options->team, "Team of a submitter's key, by its name in any scheme");
    grant.add_option("--role", options->role, "submitter, operator or viewer")->capture_default_str();
    auto* id = grant.add_option("--id", options->id, "Id of the key; random if not given");
    auto* salt = grant.add_option("--salt", options->salt, "Salt of an existing key, in hexadecimal digits");
    auto* hash = grant.add_option("--hash", options->hash, "Hash of an existing key, in hexadecimal digits");
    salt->needs(hash)->needs(id);
    hash->needs(salt);
    setHandler(grant, selected, options, grantKey);

    auto& revoke = *keys.add_subcommand("withdraw", "Revoke a key; its waiting work is refused");
    revoke.add_option("id", options->id, "Id of the key")->required();
    setHandler(revoke, selected, options, revokeKey);
    setHandler(*keys.add_subcommand("list", "List keys"), selected, options, listKeys);

    auto& bootstrap = *keys.add_subcommand("bootstrap", "Generate the first operator's key and the bootstrap settings");
    bootstrap.add_option("--id", options->id, "Id of the key; operator if not given");
    bootstrap.add_option("--scheme", options->schemes, "Naming schemes; the first is the default")
        ->capture_default_str();
    setHandler(bootstrap, selected, options, makeBootstrapSettings);
}

} // namespace teasel
