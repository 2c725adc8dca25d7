// Reading the configuration and changing it.
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
    std::string changeId; // empty: a fresh one
    std::optional<uint64_t> baseRevision; // none: the current one
    uint64_t waitMs = 10'000; // how long the server may wait until the change is in force everywhere
};

using Edits = std::vector<schema::ConfigEdit>;

// Makes the edits of a change from the configuration that it is based on.
using EditMaker = std::function<Result<Edits>(const schema::FleetConfig&)>;

// The answer to a change, if one came, and how the command ends.
struct ChangeOutcome {
    ExitCode code = ExitCode::Unreachable;
    std::optional<schema::ChangeAnswer> answer;
};

class ConfigChanges {
public:
    ConfigChanges(TeaselClient& client, Output& out)
        : m_client(client)
        , m_out(out)
    {
    }

    // The current configuration, or how the command ends; failures are printed.
    std::variant<schema::FleetConfig, ExitCode> read();

    // Reads the revision, sends the edits under one change id and prints what
    // became of them. A lost answer is asked for again with the same id.
    ExitCode make(const ChangeOptions&, const EditMaker&);

    // The same, but prints failures only.
    ChangeOutcome send(const ChangeOptions&, const EditMaker&);

    ExitCode showStatus(const std::string& changeId);
    void show(const schema::ChangeAnswer&);

private:
    ChangeOutcome judge(const HttpOutcome&, std::string_view next);
    std::string describe(const schema::ChangeAnswer&) const;

    TeaselClient& m_client;
    Output& m_out;
};

// 16 random bytes as hexadecimal digits.
Result<std::string> randomId();

} // namespace teasel
