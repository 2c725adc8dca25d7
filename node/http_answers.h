// Answers over HTTP: errors by the table of kinds, and schema messages as JSON.
#pragma once

#include "core/result.h"
#include "net/http_server.h"

#include <google/protobuf/message.h>

#include <string_view>

namespace teasel {

// The answer to a failed request: status, Retry-After and a JSON body with the
// kind, whether the work was run, what is wrong and what to do next.
HttpResponse errorResponse(const Error&, std::string_view requestId);

// A message as JSON, with the schema's field names.
HttpResponse messageResponse(const google::protobuf::Message&, unsigned status = 200);

// Reads JSON into a message. Fails with BadRequest for unknown fields and wrong types.
Result<void> readJson(std::string_view body, google::protobuf::Message& into);

// The key of an `Authorization: Bearer` header; empty if there is none.
std::string_view bearerToken(const HttpRequest&);

// Text as a JSON string, quotes included.
std::string jsonString(std::string_view);

} // namespace teasel
