// Conversion of orders and their results to messages between core instances.
#pragma once

#include "jobs.pb.h"
#include "jobs/job_events.h"

namespace teasel {

schema::RelayedOrder toMessage(const SendOrder&);
SendOrder fromMessage(const schema::RelayedOrder&);
// Whether an order has a body that this version knows, and times in range.
bool isValid(const schema::RelayedOrder&);

schema::RelayedResult toMessage(uint64_t number, const OrderResult&);
// Leaves out what no executor reports; the lists are then incomplete.
OrderResult fromMessage(const schema::RelayedResult&);

} // namespace teasel
