#include "settings/settings_reader.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <sstream>

namespace teasel {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

namespace {

    std::string describeNode(const YAML::Node& node)
    {
        switch (node.Type()) {
        case YAML::NodeType::Scalar:
            return fmt::format("\"{}\"", node.Scalar());
        case YAML::NodeType::Sequence:
            return "a list";
        case YAML::NodeType::Map:
            return "a map";
        default:
            return "nothing";
        }
    }

    // Whether a node is an unquoted scalar. Only these are read as numbers and booleans; quoted scalars are text.
    bool isPlain(const YAML::Node& node) { return node.IsScalar() && node.Tag() != "!"; }

    template <class Number> bool parseNumber(const YAML::Node& node, Number& value)
    {
        if (!isPlain(node))
            return false;
        const auto& text = node.Scalar();
        const char* end = text.data() + text.size();
        const auto [stop, ec] = std::from_chars(text.data(), end, value);
        return ec == std::errc() && stop == end;
    }

    bool parseBool(const YAML::Node& node, bool& value)
    {
        if (!isPlain(node) || (node.Scalar() != "true" && node.Scalar() != "false"))
            return false;
        value = node.Scalar() == "true";
        return true;
    }

    // The name of an enum value in YAML: `batch` for `JOB_KIND_BATCH` of JobKind.
    std::string yamlName(const google::protobuf::EnumValueDescriptor& value)
    {
        constexpr std::string_view zeroName = "UNSPECIFIED"; // suffix of the first value of each enum
        const auto prefix = value.type()->value(0)->name().size() - zeroName.size();
        auto name = value.name().substr(prefix);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        return name;
    }

    std::string yamlNames(const google::protobuf::EnumDescriptor& type)
    {
        std::string names;
        for (int n = 1; n < type.value_count(); ++n)
            names += fmt::format("{}{}", n > 1 ? ", " : "one of ", yamlName(*type.value(n)));
        return names;
    }

    std::string join(std::string_view parent, std::string_view key)
    {
        return parent.empty() ? std::string(key) : fmt::format("{}.{}", parent, key);
    }

    // Fills one message from one YAML document and records the line of each key.
    class MessageReader {
    public:
        explicit MessageReader(std::string source)
            : m_locations(std::move(source))
        {
        }

        Result<void> readMessage(const YAML::Node& node, const std::string& path, Message& into)
        {
            if (!node.IsMap())
                return invalidValue(path, "a map of keys", node);
            for (const auto& it : node)
                BOOST_LEAF_CHECK(readKey(it.first, it.second, path, into));
            return {};
        }

        void recordLocation(const std::string& path, const YAML::Node& node)
        {
            m_locations.add(path, node.Mark().line + 1);
        }

        SettingsLocations takeLocations() { return std::move(m_locations); }

    private:
        Result<void> readKey(const YAML::Node& key, const YAML::Node& value, const std::string& parent, Message& into)
        {
            const auto name = key.IsScalar() ? key.Scalar() : std::string();
            const auto path = join(parent, name);
            const bool repeated = m_locations.has(path);
            recordLocation(path, key);
            if (repeated)
                return fail(ErrorKind::BadRequest, m_locations.describe(path, "each key once", "it twice"));
            const auto* field = into.GetDescriptor()->FindFieldByName(name);
            if (!field)
                return fail(ErrorKind::BadRequest, m_locations.describe(path, knownKeys(into), "an unknown key"));
            if (field->is_repeated())
                return readList(value, path, into, *field);
            return readValue(value, path, into, *field);
        }

        static std::string knownKeys(const Message& message)
        {
            std::string keys;
            const auto& type = *message.GetDescriptor();
            for (int n = 0; n < type.field_count(); ++n)
                keys += fmt::format("{}{}", n ? ", " : "one of ", type.field(n)->name());
            return keys;
        }

        Result<void> readList(
            const YAML::Node& node, const std::string& path, Message& into, const FieldDescriptor& field)
        {
            if (!node.IsSequence())
                return invalidValue(path, "a list", node);
            size_t place = 0;
            for (const auto& it : node)
                BOOST_LEAF_CHECK(readItem(it, fmt::format("{}[{}]", path, place++), into, field));
            return {};
        }

        Result<void> readItem(
            const YAML::Node& node, const std::string& path, Message& into, const FieldDescriptor& field)
        {
            recordLocation(path, node);
            const auto& reflection = *into.GetReflection();
            if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
                return readMessage(node, path, *reflection.AddMessage(&into, &field));
            if (field.cpp_type() != FieldDescriptor::CPPTYPE_STRING || !node.IsScalar())
                return invalidValue(path, "text", node);
            reflection.AddString(&into, &field, node.Scalar());
            return {};
        }

        Result<void> readValue(
            const YAML::Node& node, const std::string& path, Message& into, const FieldDescriptor& field)
        {
            const auto& reflection = *into.GetReflection();
            switch (field.cpp_type()) {
            case FieldDescriptor::CPPTYPE_MESSAGE:
                return readMessage(node, path, *reflection.MutableMessage(&into, &field));
            case FieldDescriptor::CPPTYPE_STRING:
                if (!node.IsScalar())
                    return invalidValue(path, "text", node);
                reflection.SetString(&into, &field, node.Scalar());
                return {};
            case FieldDescriptor::CPPTYPE_BOOL:
                return readBool(node, path, into, field);
            case FieldDescriptor::CPPTYPE_ENUM:
                return readEnum(node, path, into, field);
            case FieldDescriptor::CPPTYPE_UINT32:
                return readNumber<uint32_t>(node, path, "a whole number from 0 to 4294967295",
                    [&](uint32_t value) { reflection.SetUInt32(&into, &field, value); });
            case FieldDescriptor::CPPTYPE_UINT64:
                return readNumber<uint64_t>(node, path, "a whole number from 0 to 18446744073709551615",
                    [&](uint64_t value) { reflection.SetUInt64(&into, &field, value); });
            case FieldDescriptor::CPPTYPE_DOUBLE:
                return readNumber<double>(
                    node, path, "a number", [&](double value) { reflection.SetDouble(&into, &field, value); });
            default:
                return fail(ErrorKind::Internal, fmt::format("{}: a type that settings do not have", path));
            }
        }

        Result<void> readBool(
            const YAML::Node& node, const std::string& path, Message& into, const FieldDescriptor& field)
        {
            bool value = false;
            if (!parseBool(node, value))
                return invalidValue(path, "true or false", node);
            into.GetReflection()->SetBool(&into, &field, value);
            return {};
        }

        Result<void> readEnum(
            const YAML::Node& node, const std::string& path, Message& into, const FieldDescriptor& field)
        {
            const auto& type = *field.enum_type();
            for (int n = 1; node.IsScalar() && n < type.value_count(); ++n) {
                if (yamlName(*type.value(n)) != node.Scalar())
                    continue;
                into.GetReflection()->SetEnum(&into, &field, type.value(n));
                return {};
            }
            return invalidValue(path, yamlNames(type), node);
        }

        template <class Number, class Set>
        Result<void> readNumber(const YAML::Node& node, const std::string& path, std::string_view expected, Set&& set)
        {
            Number value {};
            if (!parseNumber(node, value))
                return invalidValue(path, expected, node);
            set(value);
            return {};
        }

        Result<void> invalidValue(const std::string& path, std::string_view expected, const YAML::Node& found) const
        {
            return fail(ErrorKind::BadRequest, m_locations.describe(path, expected, describeNode(found)));
        }

        SettingsLocations m_locations;
    };

    void printMessage(const Message&, YAML::Emitter&);

    void printScalar(const Message& message, const FieldDescriptor& field, YAML::Emitter& out)
    {
        const auto& reflection = *message.GetReflection();
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_STRING:
            out << reflection.GetString(message, &field);
            return;
        case FieldDescriptor::CPPTYPE_BOOL:
            out << reflection.GetBool(message, &field);
            return;
        case FieldDescriptor::CPPTYPE_ENUM:
            out << yamlName(*reflection.GetEnum(message, &field));
            return;
        case FieldDescriptor::CPPTYPE_UINT32:
            out << reflection.GetUInt32(message, &field);
            return;
        case FieldDescriptor::CPPTYPE_UINT64:
            out << reflection.GetUInt64(message, &field);
            return;
        case FieldDescriptor::CPPTYPE_DOUBLE:
            out << reflection.GetDouble(message, &field);
            return;
        default:
            out << YAML::Null;
        }
    }

    void printList(const Message& message, const FieldDescriptor& field, YAML::Emitter& out)
    {
        const auto& reflection = *message.GetReflection();
        out << YAML::BeginSeq;
        for (int n = 0; n < reflection.FieldSize(message, &field); ++n) {
            if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
                printMessage(reflection.GetRepeatedMessage(message, &field, n), out);
            else
                out << reflection.GetRepeatedString(message, &field, n);
        }
        out << YAML::EndSeq;
    }

    void printMessage(const Message& message, YAML::Emitter& out)
    {
        const auto& type = *message.GetDescriptor();
        const auto& reflection = *message.GetReflection();
        out << YAML::BeginMap;
        for (int n = 0; n < type.field_count(); ++n) {
            const auto& field = *type.field(n);
            const bool nested = !field.is_repeated() && field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
            if (nested && !reflection.HasField(message, &field))
                continue;
            out << YAML::Key << field.name() << YAML::Value;
            if (field.is_repeated())
                printList(message, field, out);
            else if (nested)
                printMessage(reflection.GetMessage(message, &field), out);
            else
                printScalar(message, field, out);
        }
        out << YAML::EndMap;
    }

    // The key that contains `key`: the part before the last `.` or `[`; empty for a top-level key.
    std::string_view parentKey(std::string_view key)
    {
        const auto end = key.find_last_of(".[");
        return end == std::string_view::npos ? std::string_view() : key.substr(0, end);
    }

} // namespace

int SettingsLocations::lineOf(std::string_view key) const
{
    for (;; key = parentKey(key)) {
        const auto it = m_lines.find(std::string(key));
        if (it != m_lines.end())
            return it->second;
        if (key.empty())
            return 1;
    }
}

std::string SettingsLocations::describe(std::string_view key, std::string_view expected, std::string_view found) const
{
    const std::string_view name = key.empty() ? "(top)" : key;
    return fmt::format("{}:{}: {}: expected {}, found {}", m_source, lineOf(key), name, expected, found);
}

Result<SettingsLocations> readSettingsText(std::string_view text, std::string_view source, Message& into)
{
    try {
        const auto document = YAML::Load(std::string(text));
        MessageReader reader { std::string(source) };
        if (!document.IsNull())
            BOOST_LEAF_CHECK(reader.readMessage(document, "", into));
        return reader.takeLocations();
    } catch (const YAML::Exception& ex) {
        return fail(ErrorKind::BadRequest, fmt::format("{}:{}: expected YAML: {}", source, ex.mark.line + 1, ex.msg));
    }
}

Result<SettingsLocations> readSettings(std::string_view path, Message& into)
{
    std::ifstream file { std::string(path) };
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return fail(ErrorKind::NotFound, fmt::format("{}: cannot be read, or is empty", path));
    return readSettingsText(text.str(), path, into);
}

std::string printSettings(const Message& message)
{
    YAML::Emitter out;
    printMessage(message, out);
    return std::string(out.c_str()) + "\n";
}

} // namespace teasel
