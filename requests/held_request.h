// A request as its holder sees it.
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

// A caller's request as the wiring hands it in. The body stays with the wiring.
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
    Waiting = 0, // its ticket is at the leader, or will be
    BackingOff = 1, // until its next attempt
    RecordingBegin = 2, // granted; the record of its beginning is under way
    Sent = 3, // at an executor
    CheckingRefusal = 4, // given up; its id is being checked before the caller is told
};

struct HeldRequest {
    Submission submission;
    uint64_t sequence = 0;
    uint32_t attempt = 1;
    HeldPhase phase = HeldPhase::Waiting;
    std::vector<std::string> avoid; // executors that failed it
    std::string executor; // of the current grant
    std::string address;
    Instant grantUsableUntil {};
    Instant sentAt {};
    Instant timerAt {}; // when the holder looks at it again
    Instant beginDeadline {}; // how long the record of begun requests is waited for
    std::string beginKey; // the attempt recorded as begun, or asked to be
    bool begun = false; // the record says that beginKey may send
    bool bytesSent = false; // of any attempt
    bool callerGone = false;
    bool earnedRetryBudget = false; // its first attempt earned its part of the retry budget
    uint32_t retries = 0;
    std::optional<Error> refusal; // while Refusing
};

} // namespace teasel
