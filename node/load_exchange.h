// Load summaries between the leaders of data centres.
#pragma once

#include "core/clock.h"
#include "requests.pb.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

struct LoadExchangeOptions {
    std::string dataCentre; // of this instance
    absl::flat_hash_map<std::string, std::vector<std::string>> members; // entry instances by data centre
    Duration sendEvery { std::chrono::milliseconds(250) };
    Duration leaderKept { std::chrono::seconds(2) }; // how long the sender of a summary is taken for the leader
};

// Sends to the instance that last spoke for a data centre; to all of its
// instances while none is known. Used on the control thread only.
class LoadExchange {
public:
    using Send = std::function<void(std::string_view to, const schema::LoadSummary&)>;
    using MakeSummary = std::function<schema::LoadSummary()>;

    LoadExchange(LoadExchangeOptions, Send, MakeSummary);

    void onSummary(std::string_view from, const schema::LoadSummary&, Instant now);

    // To be called while this instance leads.
    void onTick(Instant now);

private:
    struct KnownLeader {
        std::string instance;
        Instant heard {};
    };

    LoadExchangeOptions m_options;
    Send m_send;
    MakeSummary m_makeSummary;
    absl::flat_hash_map<std::string, KnownLeader> m_leaders; // by data centre
    Instant m_nextSend {};
};

} // namespace teasel
