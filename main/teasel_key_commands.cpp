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

    std::string_view nameOf(schema::Role role)
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

    // The key to grant: one made here, or the salt and hash of one made before.
    Result<KeyMaterial> materialOf(const KeyOptions& options)
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

    ExitCode makeOnly(Session& session, const KeyOptions& options)
    {
        const auto made = valueOrError([&] { return makeKey(options.id); });
        if (const auto* error = std::get_if<Error>(&made))
            return session.out.refused(*error);
        const auto& key = std::get<0>(made);
        const auto salt = toHex(key.stored.salt());
        const auto hash = toHex(key.stored.hash());
        if (session.out.json()) {
            session.out.line(fmt::format(
                R"({{"key":"{}","id":"{}","salt":"{}","hash":"{}"}})", key.token, key.stored.id(), salt, hash));
            return ExitCode::Accepted;
        }
        session.out.line(fmt::format("key (shown once): {}", key.token));
        session.out.line(
            fmt::format("next: teasel key grant --id {} --salt {} --hash {} --team TEAM", key.stored.id(), salt, hash));
        return ExitCode::Accepted;
    }

    EditMaker grantEdit(const KeyOptions& options, const KeyMaterial& key)
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
                return fail(ErrorKind::BadRequest, "--team: a submitter's key belongs to a team");
            BOOST_LEAF_AUTO(team, findTeam(config, options.team));
            granted.set_team_id(team.id());
            return edits;
        };
    }

    void showGranted(Session& session, const KeyMaterial& key, const ChangeOutcome& outcome)
    {
        if (session.out.json()) {
            session.out.line(fmt::format(
                R"({{"key":"{}","answer":{}}})", key.token, outcome.answer ? toJson(*outcome.answer) : "null"));
            return;
        }
        if (!key.token.empty() && outcome.code != ExitCode::Refused)
            session.out.line(fmt::format("key (shown once): {}", key.token));
        if (outcome.answer)
            session.changes.show(*outcome.answer);
        if (outcome.code == ExitCode::Unreachable)
            session.out.note(fmt::format("to send it again, add --id {} --salt {} --hash {}", key.stored.id(),
                toHex(key.stored.salt()), toHex(key.stored.hash())));
    }

    ExitCode grantKey(Session& session, const KeyOptions& options)
    {
        const auto made = valueOrError([&] { return materialOf(options); });
        if (const auto* error = std::get_if<Error>(&made))
            return session.out.refused(*error);
        const auto& key = std::get<0>(made);
        const auto outcome = session.changes.send(session.changeOptions, grantEdit(options, key));
        showGranted(session, key, outcome);
        return outcome.code;
    }

    ExitCode withdrawKey(Session& session, const KeyOptions& options)
    {
        return session.changes.make(session.changeOptions, [&](const schema::FleetConfig&) -> Result<Edits> {
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
                table.add({ it.id(), std::string(nameOf(it.role())), teamName(config, it.team_id()) });
            session.out.show(shown, table);
            return ExitCode::Accepted;
        });
    }

    ExitCode bootstrap(Session& session, const KeyOptions& options)
    {
        const auto made = valueOrError([&] { return makeKey(options.id.empty() ? "operator" : options.id); });
        if (const auto* error = std::get_if<Error>(&made))
            return session.out.refused(*error);
        const auto& key = std::get<0>(made);
        schema::StateSettings settings;
        auto& first = *settings.mutable_bootstrap();
        first.set_operator_key_id(key.stored.id());
        first.set_operator_key_salt(toHex(key.stored.salt()));
        first.set_operator_key_hash(toHex(key.stored.hash()));
        for (const auto& it : options.schemes)
            first.add_schemes(it);
        if (session.out.json()) {
            session.out.line(fmt::format(R"({{"key":"{}","bootstrap":{}}})", key.token, toJson(first)));
            return ExitCode::Accepted;
        }
        session.out.line("bootstrap:");
        session.out.raw(indented(printSettings(first)));
        session.out.note(fmt::format("key (shown once): {}\nnext: put the lines above into the settings of every state "
                                     "replica before its first start",
            key.token));
        return ExitCode::Accepted;
    }

} // namespace

void addKeyCommands(CLI::App& app, Command& chosen)
{
    auto& keys = addGroup(app, "key", "Keys of teams and operators");
    auto options = std::make_shared<KeyOptions>();
    auto& make = *keys.add_subcommand("make", "Make a key without granting it");
    make.add_option("--id", options->id, "Id of the key; random if not given");
    onChosen(make, chosen, options, makeOnly);

    auto& grant = *keys.add_subcommand("grant", "Make a key and grant it; only its salted hash is sent");
    grant.add_option("--team", options->team, "Team of a submitter's key, by its name in any scheme");
    grant.add_option("--role", options->role, "submitter, operator or viewer")->capture_default_str();
    auto* id = grant.add_option("--id", options->id, "Id of the key; random if not given");
    auto* salt = grant.add_option("--salt", options->salt, "Of a key made before, in hexadecimal digits");
    auto* hash = grant.add_option("--hash", options->hash, "Of a key made before, in hexadecimal digits");
    salt->needs(hash)->needs(id);
    hash->needs(salt);
    onChosen(grant, chosen, options, grantKey);

    auto& withdraw = *keys.add_subcommand("withdraw", "Withdraw a key; its waiting work is refused");
    withdraw.add_option("id", options->id, "Id of the key")->required();
    onChosen(withdraw, chosen, options, withdrawKey);
    onChosen(*keys.add_subcommand("list", "List keys"), chosen, options, listKeys);

    auto& first = *keys.add_subcommand("bootstrap", "Make the first operator's key and its settings");
    first.add_option("--id", options->id, "Id of the key; operator if not given");
    first.add_option("--scheme", options->schemes, "Naming schemes, the first is the default")->capture_default_str();
    onChosen(first, chosen, options, bootstrap);
}

} // namespace teasel
