// What the sessions of an entry instance ask their host to do.
#pragma once

#include "core/ids.h"
#include "fleet.pb.h"
#include "peer.pb.h"

#include <string>
#include <variant>
#include <vector>

namespace teasel {

// To the state's leader, wherever it is.
struct SendRenew {
    schema::SessionRenew renew;
};

// To a member of the data centre.
struct SendMemberUpdate {
    std::string to;
    schema::MemberUpdate update;
};

// To the data centre's leader.
struct SendMemberRenew {
    schema::MemberRenew renew;
};

struct ConfigChanged {
    Revision revision = 0;
};

// Caps of teams changed; see FleetSession::cap.
struct PortionsChanged { };

// Jobs of this data centre that changed. Those with another owner are let go;
// if `whole`, so are jobs not listed. Once `more` is false the list is complete.
struct JobsChanged {
    std::vector<schema::JobRecord> jobs;
    bool whole = false;
    bool more = false;
};

using SessionAction
    = std::variant<SendRenew, SendMemberUpdate, SendMemberRenew, ConfigChanged, PortionsChanged, JobsChanged>;

} // namespace teasel
