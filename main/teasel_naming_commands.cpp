#include "main/teasel_commands.h"
#include "naming/name_table.h"
#include "naming/selector.h"

#include <fmt/format.h>

#include <memory>

namespace teasel {

namespace {

    struct SchemeOptions {
        std::string name;
    };

    struct AliasOptions {
        std::string kind;
        std::string scheme;
        std::string name;
        std::string subject;
        bool isNewSubject = false;
    };

    struct DrainOptions {
        std::string id;
        std::string selector;
    };

    ExitCode addScheme(Session& session, const SchemeOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig& config) -> Result<Edits> {
            Edits edits(1);
            auto& scheme = *edits[0].mutable_put_scheme();
            scheme.set_id(static_cast<uint32_t>(config.schemes_size()));
            scheme.set_name(options.name);
            return edits;
        });
    }

    ExitCode listSchemes(Session& session, const SchemeOptions&)
    {
        return withConfig(session, [&](const schema::FleetConfig& config) {
            schema::FleetConfig shown;
            *shown.mutable_schemes() = config.schemes();
            Table table({ "id", "name" });
            for (const auto& it : config.schemes())
                table.add({ fmt::format("{}", it.id()), it.name() });
            session.out.show(shown, table);
            return ExitCode::Accepted;
        });
    }

    Result<schema::SubjectKind> subjectKindFromName(std::string_view name)
    {
        if (name == "team")
            return schema::SUBJECT_KIND_TEAM;
        if (name == "instance")
            return schema::SUBJECT_KIND_INSTANCE;
        if (name == "label-key")
            return schema::SUBJECT_KIND_LABEL_KEY;
        return fail(ErrorKind::BadRequest, fmt::format("kind: expected team, instance or label-key, found {}", name));
    }

    std::string_view subjectKindName(schema::SubjectKind kind)
    {
        switch (kind) {
        case schema::SUBJECT_KIND_TEAM:
            return "team";
        case schema::SUBJECT_KIND_INSTANCE:
            return "instance";
        case schema::SUBJECT_KIND_LABEL_KEY:
            return "label-key";
        default:
            return "none";
        }
    }

    // Resolves a name to its subject. Teams must exist; instances and label keys may be named before they have
    // registered.
    Result<SubjectId> resolveSubject(NameTable& names, schema::SubjectKind kind, const std::string& name)
    {
        if (kind == schema::SUBJECT_KIND_TEAM)
            return names.resolve(kind, name);
        return names.resolveOrDerive(kind, name);
    }

    Result<schema::Alias> makeAlias(const AliasOptions& options, const schema::FleetConfig& config)
    {
        NameTable names;
        names.configure(config);
        schema::Alias alias;
        BOOST_LEAF_AUTO(kind, subjectKindFromName(options.kind));
        BOOST_LEAF_AUTO(scheme, names.scheme(options.scheme));
        alias.set_kind(kind);
        alias.set_scheme_id(scheme);
        alias.set_name(options.name);
        if (!options.isNewSubject) {
            BOOST_LEAF_AUTO(subject, resolveSubject(names, kind, options.subject));
            alias.set_subject_id(subject);
        }
        return alias;
    }

    ExitCode addAlias(Session& session, const AliasOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig& config) -> Result<Edits> {
            Edits edits(1);
            BOOST_LEAF_ASSIGN(*edits[0].mutable_put_alias(), makeAlias(options, config));
            return edits;
        });
    }

    ExitCode removeAlias(Session& session, const AliasOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig& config) -> Result<Edits> {
            Edits edits(1);
            BOOST_LEAF_ASSIGN(*edits[0].mutable_remove_alias(), makeAlias(options, config));
            return edits;
        });
    }

    ExitCode listAliases(Session& session, const AliasOptions&)
    {
        return withConfig(session, [&](const schema::FleetConfig& config) {
            schema::FleetConfig shown;
            *shown.mutable_schemes() = config.schemes();
            *shown.mutable_aliases() = config.aliases();
            Table table({ "kind", "subject", "scheme", "name" });
            for (const auto& it : config.aliases()) {
                std::string scheme = fmt::format("{}", it.scheme_id());
                for (const auto& entry : config.schemes())
                    scheme = entry.id() == it.scheme_id() ? entry.name() : scheme;
                table.add(
                    { std::string(subjectKindName(it.kind())), fmt::format("{}", it.subject_id()), scheme, it.name() });
            }
            session.out.show(shown, table);
            return ExitCode::Accepted;
        });
    }

    ExitCode addDrain(Session& session, const DrainOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig& config) -> Result<Edits> {
            NameTable names;
            names.configure(config);
            BOOST_LEAF_CHECK(compileSelector(options.selector, names));
            Edits edits(1);
            edits[0].mutable_put_drain()->set_id(options.id);
            edits[0].mutable_put_drain()->set_selector(options.selector);
            return edits;
        });
    }

    ExitCode removeDrain(Session& session, const DrainOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig&) -> Result<Edits> {
            Edits edits(1);
            edits[0].set_remove_drain(options.id);
            return edits;
        });
    }

    ExitCode listDrains(Session& session, const DrainOptions&)
    {
        return withConfig(session, [&](const schema::FleetConfig& config) {
            schema::FleetConfig shown;
            *shown.mutable_drains() = config.drains();
            Table table({ "id", "selector" });
            for (const auto& it : config.drains())
                table.add({ it.id(), it.selector() });
            session.out.show(shown, table);
            return ExitCode::Accepted;
        });
    }

    void addSchemeCommands(CLI::App& app, Command& selected)
    {
        auto& schemes = addGroup(app, "scheme", "Naming schemes");
        auto options = std::make_shared<SchemeOptions>();
        auto& add = *schemes.add_subcommand("add", "Add a naming scheme");
        add.add_option("name", options->name, "Name of the scheme")->required();
        setHandler(add, selected, options, addScheme);
        setHandler(*schemes.add_subcommand("list", "List naming schemes"), selected, options, listSchemes);
    }

    void addAliasCommands(CLI::App& app, Command& selected)
    {
        auto& aliases = addGroup(app, "alias", "Names of teams, instances and label keys in each scheme");
        auto options = std::make_shared<AliasOptions>();
        auto& add = *aliases.add_subcommand("add", "Set the name of a subject in a scheme, replacing the previous one");
        add.add_option("--kind", options->kind, "team, instance or label-key")->required();
        add.add_option("--scheme", options->scheme, "Scheme of the new name; the first if not given");
        add.add_option("--name", options->name, "The new name")->required();
        auto& subject = *add.add_option_group("subject", "Exactly one of");
        subject.add_option("--of", options->subject, "The subject: its name, or scheme:name");
        subject.add_flag("--new", options->isNewSubject, "The name is that of a new subject");
        subject.require_option(1);
        setHandler(add, selected, options, addAlias);
        auto& remove = *aliases.add_subcommand("remove", "Remove the name of a subject in a scheme");
        remove.add_option("--kind", options->kind, "team, instance or label-key")->required();
        remove.add_option("--scheme", options->scheme, "Scheme of the name; the first if not given");
        remove.add_option("--of", options->subject, "The subject: its name, or scheme:name")->required();
        setHandler(remove, selected, options, removeAlias);
        setHandler(*aliases.add_subcommand("list", "List names"), selected, options, listAliases);
    }

    void addDrainCommands(CLI::App& app, Command& selected)
    {
        auto& drains = addGroup(app, "drain", "Instances that take no new work");
        auto options = std::make_shared<DrainOptions>();
        auto& add = *drains.add_subcommand("add", "Stop giving new work to the instances that a selector matches");
        add.add_option("id", options->id, "Id of the drain")->required();
        add.add_option("selector", options->selector, "Selector of the instances")->required();
        setHandler(add, selected, options, addDrain);
        auto& remove = *drains.add_subcommand("remove", "End a drain");
        remove.add_option("id", options->id, "Id of the drain")->required();
        setHandler(remove, selected, options, removeDrain);
        setHandler(*drains.add_subcommand("list", "List drains"), selected, options, listDrains);
    }

} // namespace

void addNamingCommands(CLI::App& app, Command& selected)
{
    addSchemeCommands(app, selected);
    addAliasCommands(app, selected);
    addDrainCommands(app, selected);
}

} // namespace teasel
