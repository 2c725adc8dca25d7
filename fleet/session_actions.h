// Actions that the sessions of an entry instance request from their host.
#pragma once

#include "core/ids.h"
#include "fleet.pb.h"
#include "peer.pb.h"

#include <string>
#include <variant>
#include <vector>

namespace teasel {

// Sent to the leader of the fleet state.
struct SendSessionRenew {
    schema::SessionRenew renew;
};

// Sent to a member of the data centre.
struct SendMemberUpdate {
    std::string to;
    schema::MemberUpdate update;
};

// Sent to the data centre's leader.
struct SendMemberRenew {
    schema::MemberRenew renew;
};

struct ConfigChanged {
    Revision revision = 0;
};

// The caps of some teams changed; see FleetSession::cap.
struct PortionsChanged { };

// The jobs of this data centre that changed. Jobs owned by another data centre must be dropped; if `replacesAll` is
// set, so must all jobs that are not listed. The list is complete once `more` is false.
struct JobsChanged {
    std::vector<schema::JobRecord> jobs;
    bool replacesAll = false;
    bool more = false;
};

using SessionAction
    = std::variant<SendSessionRenew, SendMemberUpdate, SendMemberRenew, ConfigChanged, PortionsChanged, JobsChanged>;

} // namespace teasel
