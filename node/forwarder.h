// Passes what endpoints and job owners say to the leader of the data centre it
// is meant for, and brings the reply back.
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
    Duration limit { std::chrono::milliseconds(1'500) }; // how long a reply is waited for
    uint32_t mostHops = 2;
};

// Used on the control thread only.
class Forwarder {
public:
    using Reply = std::function<void(schema::ForwardedReply)>;
    using Send = std::function<void(std::string_view to, const schema::Forwarded&)>;
    using HandleHere = std::function<void(const schema::Forwarded&, Reply)>;
    using Leader = std::function<std::string()>; // of this data centre; empty if unknown
    using LeadsHere = std::function<bool()>;

    Forwarder(ForwarderOptions, uint64_t firstTicket, Send, HandleHere, Leader, LeadsHere);

    // Takes a message to the leader of its data centre; the reply comes once, a failure among them.
    void route(schema::Forwarded, Instant now, Reply);
    void onReply(const schema::ForwardedReply&);
    void onTick(Instant now);

    bool knows(std::string_view dataCentre) const { return m_options.members.contains(std::string(dataCentre)); }

private:
    struct Open {
        Instant limit;
        Reply reply;
    };

    std::string nextInstance(const std::string& dataCentre);

    ForwarderOptions m_options;
    uint64_t m_nextTicket;
    Send m_send;
    HandleHere m_handleHere;
    Leader m_leader;
    LeadsHere m_leadsHere;
    size_t m_turn = 0;
    std::map<uint64_t, Open> m_open;
};

// A reply that says what went wrong.
schema::ForwardedReply failedReply(const Error&);

// The error inside a failed reply.
Error errorFrom(const schema::Failure&);

} // namespace teasel
