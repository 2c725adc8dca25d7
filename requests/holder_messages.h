// What a holder tells its leader of one request.
#pragma once

#include "requests.pb.h"
#include "requests/held_request.h"

namespace teasel {

schema::Ticket ticketOf(const HeldRequest&, Instant now);

// The current attempt, as one that is outstanding.
schema::Outstanding outstandingOf(const HeldRequest&, Instant now);

// The end of the current attempt; without a result it was never sent.
schema::AttemptEnd endOf(const HeldRequest&, const ExecutorResult*, bool wantsRetry);

// The end of a grant that came for a request which no longer wants it.
schema::AttemptEnd endOfUnusedGrant(const schema::Grant&);

} // namespace teasel
