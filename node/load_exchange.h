// Exchanges load summaries between the leaders of the data centres.
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
    Duration sendInterval { std::chrono::milliseconds(250) };
    // How long after its last summary an instance is considered the leader.
    Duration leaderTimeout { std::chrono::seconds(2) };
};

// Sends this data centre's summary to every other data centre: to the instance
// that last sent a summary, or to all its entry instances if none did recently.
// Used on the control thread only.
class LoadExchange {
public:
    using Send = std::function<void(std::string_view to, const schema::LoadSummary&)>;
    using MakeSummary = std::function<schema::LoadSummary()>;

    LoadExchange(LoadExchangeOptions, Send, MakeSummary);

    void onSummary(std::string_view from, const schema::LoadSummary&, Instant now);

    // Call only while this instance leads its data centre.
    void onTick(Instant now);

private:
    struct KnownLeader {
        std::string instance;
        Instant lastContactAt {};
    };

    LoadExchangeOptions m_options;
    Send m_send;
    MakeSummary m_makeSummary;
    absl::flat_hash_map<std::string, KnownLeader> m_leaders; // by data centre
    Instant m_nextSend {};
};

} // namespace teasel
