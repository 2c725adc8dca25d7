// HTTP responses with errors or schema messages as JSON, and the parsing of request bodies and keys.
#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "net/http_server.h"

#include <google/protobuf/message.h>

#include <string_view>

namespace teasel {

// Makes the response to a failed request: the status and Retry-After of the
// error's kind, and a JSON body with the kind, whether the work has run, the
// message, and advice on how to proceed.
HttpResponse errorResponse(const Error&, std::string_view requestId);

// Makes a response with a message as JSON, under the field names of the schema.
HttpResponse messageResponse(const google::protobuf::Message&, unsigned status = 200);

// Parses JSON into a message. Fails with BadRequest on unknown fields and wrong types.
Result<void> parseJson(std::string_view body, google::protobuf::Message& out);

// Returns the key in the `Authorization: Bearer` header; empty if there is none.
std::string_view bearerToken(const HttpRequest&);

// Returns how long an operator waits for a change to be in force, by the `Teasel-Wait-Ms` header.
Duration parseWait(const HttpRequest&);

// Returns the text as a JSON string literal, with its quotes.
std::string jsonString(std::string_view);

} // namespace teasel
