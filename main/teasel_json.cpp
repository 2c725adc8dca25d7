#include "main/teasel_json.h"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include <cmath>
#include <cstdlib>

namespace teasel {

namespace {

    namespace util = google::protobuf::util;

    std::string memberText(const google::protobuf::Struct& object, const char* name)
    {
        const auto it = object.fields().find(name);
        return it == object.fields().end() ? std::string() : toText(it->second);
    }

} // namespace

std::string toJson(const google::protobuf::Message& message)
{
    util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    if (!util::MessageToJsonString(message, &text, options).ok())
        return "{}\n";
    return text;
}

Result<void> fromJson(std::string_view text, google::protobuf::Message& message)
{
    util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const auto status = util::JsonStringToMessage(std::string(text), &message, options);
    if (!status.ok())
        return fail(ErrorKind::BadRequest, fmt::format("expected JSON: {}", status.ToString()));
    return {};
}

std::string toText(const google::protobuf::Value& value)
{
    switch (value.kind_case()) {
    case google::protobuf::Value::kNumberValue:
        if (value.number_value() == std::floor(value.number_value()))
            return fmt::format("{:.0f}", value.number_value());
        return fmt::format("{}", value.number_value());
    case google::protobuf::Value::kStringValue:
        return value.string_value();
    case google::protobuf::Value::kBoolValue:
        return value.bool_value() ? "true" : "false";
    case google::protobuf::Value::kListValue:
        return fmt::format("{} entries", value.list_value().values_size());
    case google::protobuf::Value::kStructValue:
        return fmt::format("{} entries", value.struct_value().fields_size());
    default:
        return {};
    }
}

ErrorBody readErrorBody(std::string_view body)
{
    google::protobuf::Struct object;
    const auto read = valueOrError([&] { return fromJson(body, object); });
    if (std::holds_alternative<Error>(read))
        return {};
    return { memberText(object, "kind"), memberText(object, "run"), memberText(object, "request_id"),
        memberText(object, "message"), memberText(object, "advice"),
        std::strtoull(memberText(object, "retry_after_ms").c_str(), nullptr, 10) };
}

} // namespace teasel
