// Reads and changes the configuration through the HTTP interface.
#pragma once

#include "core/result.h"
#include "fleet.pb.h"
#include "main/teasel_client.h"
#include "main/teasel_output.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teasel {

struct ChangeOptions {
    std::string changeId; // empty: a random id is generated
    std::optional<uint64_t> baseRevision; // unset: the current revision
    uint64_t waitMs = 10'000; // how long the server waits for the change to be in force in every data centre
};

using Edits = std::vector<schema::ConfigEdit>;

// Builds the edits of a change from the configuration that the change is based on.
using EditBuilder = std::function<Result<Edits>(const schema::FleetConfig&)>;

// The server's answer to a change, if there was one, and the exit code of the command.
struct ChangeOutcome {
    ExitCode code = ExitCode::Unreachable;
    std::optional<schema::ChangeAnswer> answer;
};

class ConfigClient {
public:
    ConfigClient(TeaselClient& client, Output& out)
        : m_client(client)
        , m_out(out)
    {
    }

    // Returns the current configuration. On failure, prints the reason and returns the exit code.
    std::variant<schema::FleetConfig, ExitCode> read();

    // Reads the current revision, sends the edits under one change id and prints the outcome. If the answer is lost,
    // the change is sent again with the same id.
    ExitCode submit(const ChangeOptions&, const EditBuilder&);

    // Like submit(), but prints failures only.
    ChangeOutcome send(const ChangeOptions&, const EditBuilder&);

    ExitCode showStatus(const std::string& changeId);
    void show(const schema::ChangeAnswer&);

private:
    ChangeOutcome parseAnswer(const ApiResult&, std::string_view advice);
    std::string describe(const schema::ChangeAnswer&) const;

    TeaselClient& m_client;
    Output& m_out;
};

// 16 random bytes as hexadecimal digits.
Result<std::string> randomId();

} // namespace teasel
