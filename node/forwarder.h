// Forwards messages of endpoints and job owners to the leader of the data centre
// that they concern, and returns the reply.
#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "peer.pb.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

struct ForwarderOptions {
    std::string dataCentre; // of this instance
    absl::flat_hash_map<std::string, std::vector<std::string>> members; // entry instances by data centre
    Duration replyTimeout { std::chrono::milliseconds(1'500) }; // before a message without a reply fails
    uint32_t maxHops = 2;
};

// Used on the control thread only.
class Forwarder {
public:
    using Reply = std::function<void(schema::ForwardedReply)>;
    using Send = std::function<void(std::string_view to, const schema::Forwarded&)>;
    using HandleLocally = std::function<void(const schema::Forwarded&, Reply)>;
    using FindLeader = std::function<std::string()>; // of this data centre; empty if unknown
    using IsLeader = std::function<bool()>;

    Forwarder(ForwarderOptions, uint64_t firstTicket, Send, HandleLocally, FindLeader, IsLeader);

    // Forwards a message to the leader of its data centre, which may be this instance. Calls the reply function exactly
    // once, with a failure if there is no reply in time.
    void route(schema::Forwarded, Instant now, Reply);
    void onReply(const schema::ForwardedReply&);
    void onTick(Instant now);

    // Whether the settings name the data centre.
    bool knowsDataCentre(std::string_view dataCentre) const
    {
        return m_options.members.contains(std::string(dataCentre));
    }

private:
    struct PendingMessage {
        Instant deadline;
        Reply reply;
    };

    std::string nextInstance(const std::string& dataCentre);

    ForwarderOptions m_options;
    uint64_t m_nextTicket;
    Send m_send;
    HandleLocally m_handleLocally;
    FindLeader m_findLeader;
    IsLeader m_isLeader;
    size_t m_nextMember = 0;
    std::map<uint64_t, PendingMessage> m_pending;
};

// Converts an error to a failed reply.
schema::ForwardedReply failedReply(const Error&);

// Converts the failure of a reply to an error.
Error errorFrom(const schema::Failure&);

} // namespace teasel
