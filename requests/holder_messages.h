// Builds the messages that a holder sends to its leader about one request.
#pragma once

#include "requests.pb.h"
#include "requests/held_request.h"

namespace teasel {

schema::Ticket ticketOf(const HeldRequest&, Instant now);

// Describes the current attempt as outstanding.
schema::Outstanding outstandingOf(const HeldRequest&, Instant now);

// Describes the end of the current attempt. A null result means that it was never sent.
schema::AttemptEnd endOf(const HeldRequest&, const ExecutorResult*, bool wantsRetry);

// Describes the end of a grant that its request no longer needs.
schema::AttemptEnd endOfUnusedGrant(const schema::Grant&);

} // namespace teasel
