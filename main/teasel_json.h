// Conversion between JSON of the HTTP interface and messages of the schema.
#pragma once

#include "core/result.h"

#include <google/protobuf/message.h>
#include <google/protobuf/struct.pb.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace teasel {

// Prints a message as JSON with the field names of the schema, including fields with default values.
std::string toJson(const google::protobuf::Message&);

// Parses JSON into a message and ignores fields that the schema does not know. Fails with BadRequest.
Result<void> fromJson(std::string_view text, google::protobuf::Message& message);

// An error response of the HTTP interface.
struct ErrorBody {
    std::string kind;
    std::string run;
    std::string requestId;
    std::string message;
    std::string advice;
    uint64_t retryAfterMs = 0;
};

// All fields are empty if the body is not an error.
ErrorBody readErrorBody(std::string_view body);

// A JSON value as text. Whole numbers are printed without a decimal point, lists and objects as their number of
// entries.
std::string toText(const google::protobuf::Value&);

} // namespace teasel
