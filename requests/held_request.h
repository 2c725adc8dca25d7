// The state of a request at its holder.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"
#include "requests/attempt_outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teasel {

// A caller's request without its body, which RequestGateway stores.
struct Submission {
    uint64_t handle = 0;
    TeamId team = 0;
    std::string keyId;
    std::string className;
    std::string selector;
    std::string requestId;
    bool idempotent = false;
    Instant deadline {};
    uint64_t bodyBytes = 0;
};

enum class HeldPhase : uint8_t {
    Waiting = 0, // its ticket is queued at the leader or in the next batch
    BackingOff = 1, // waiting before its next attempt
    RecordingBegin = 2, // granted; waiting for the begin to be recorded
    Sent = 3, // sent to an executor
    CheckingRefusal = 4, // being refused; its id is checked before the caller is answered
};

struct HeldRequest {
    Submission submission;
    uint64_t sequence = 0;
    uint32_t attempt = 1;
    HeldPhase phase = HeldPhase::Waiting;
    std::vector<std::string> avoid; // executors on which an attempt failed
    std::string executor; // executor of the current grant
    std::string address;
    Instant grantUsableUntil {};
    Instant sentAt {};
    Instant timerAt {}; // due time of its timer
    Instant beginDeadline {}; // when to stop waiting for the record of begun requests
    std::string beginKey; // key of the attempt that was recorded as begun, or whose recording was requested
    bool begun = false; // the record confirmed beginKey: the request may be sent
    bool bytesSent = false; // an attempt of this request may have sent bytes
    bool callerDisconnected = false;
    bool earnedRetryBudget = false; // its first attempt was credited to the retry budget
    uint32_t retries = 0;
    std::optional<Error> refusal; // set while CheckingRefusal
};

} // namespace teasel
