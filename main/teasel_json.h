// JSON of the HTTP interface, by the messages of the schema.
#pragma once

#include "core/result.h"

#include <google/protobuf/message.h>
#include <google/protobuf/struct.pb.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace teasel {

// A message as JSON with the field names of the schema, default values included.
std::string toJson(const google::protobuf::Message&);

// Reads JSON into a message; fields that the schema does not know are passed over. Fails with BadRequest.
Result<void> fromJson(std::string_view text, google::protobuf::Message& into);

// An error as the HTTP interface answers it.
struct ErrorBody {
    std::string kind;
    std::string run;
    std::string requestId;
    std::string message;
    std::string advice;
    uint64_t retryAfterMs = 0;
};

// Empty fields where the body is not such an error.
ErrorBody readErrorBody(std::string_view body);

// A member of a JSON object as text: numbers without a fraction where they have none.
std::string textOf(const google::protobuf::Value&);

} // namespace teasel
