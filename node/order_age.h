// The age of what other instances forwarded: whether a core instance may still send the orders that the leader relayed
// to it, and whether the leader may still accept a call. A batch may have waited for a pause
// or a partition to end, while a start that is too old may be carried out by the next life of an executor.
#pragma once

#include "core/clock.h"
#include "jobs.pb.h"

namespace teasel {

enum class BatchFault : uint8_t {
    None = 0,
    OldTerm = 1, // the leader that sent it has been replaced
    TooOld = 2,
};

// The age of a batch is at most the time since the registration that it names. Registrations are sent every 300 ms, and
// the leader gives no orders to an instance that it has not heard of for 1.4 s.
constexpr Milliseconds maxBatchAge { 1'500 };

inline uint64_t batchClockMs(Instant now)
{
    return static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count());
}

inline BatchFault faultOf(const schema::OrderBatch& batch, uint64_t knownTerm, Instant now)
{
    if (batch.term() < knownTerm)
        return BatchFault::OldTerm;
    if (batch.registered_at_ms() == 0) // a leader of an earlier version
        return BatchFault::None;
    const auto nowMs = batchClockMs(now);
    // A registration in the future was sent before this machine started again.
    const bool isCurrent = batch.registered_at_ms() <= nowMs
        && nowMs - batch.registered_at_ms() <= static_cast<uint64_t>(maxBatchAge.count());
    return isCurrent ? BatchFault::None : BatchFault::TooOld;
}

// Whether the caller's time limit may have passed since a call was forwarded: the call has been on its way for at most
// the time since the view that it names.
inline bool mayBeExpired(const schema::RoutedCall& call, Instant now)
{
    if (call.view_sent_at_ms() == 0 || call.time_left_ms() == 0) // an instance of an earlier version
        return false;
    const auto nowMs = batchClockMs(now);
    // A view in the future was sent before this machine started again.
    return call.view_sent_at_ms() > nowMs || nowMs - call.view_sent_at_ms() > call.time_left_ms();
}

} // namespace teasel
