// Conversion of orders and their results to messages between core instances.
#pragma once

#include "jobs.pb.h"
#include "jobs/job_events.h"

namespace teasel {

schema::RelayedOrder toMessage(const SendOrder&);
SendOrder fromMessage(const schema::RelayedOrder&);

schema::RelayedResult toMessage(uint64_t number, const OrderResult&);
OrderResult fromMessage(const schema::RelayedResult&);

} // namespace teasel
