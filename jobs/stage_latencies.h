// How long jobs and runs spend in each stage at the leader, by queue.
#pragma once

#include "core/clock.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace teasel {

enum class JobStage : uint8_t {
    Accepted = 0, // from the receipt of a submission to the commit of its job
    Advised = 1, // from then to the first executor granted by the advice service
    Assigned = 2, // from then to the assignment of the first task
    Launched = 3, // from then to its commit, when the start is sent
    FirstStart = 4, // from the receipt of a submission to the first start sent: all of the above
    Answered = 5, // of a run: from the start sent to its answer
    Recorded = 6, // of a run: from the listing of its end to the commit of the end
    Count = 7,
};

std::string_view nameOf(JobStage);

// A distribution of latencies in fixed buckets.
class LatencyHistogram {
public:
    // Upper bounds of the buckets; a further bucket holds what is longer.
    static constexpr std::array<int64_t, 17> boundsMs { 2, 5, 10, 20, 35, 50, 75, 100, 150, 200, 300, 500, 750, 1'000,
        2'000, 5'000, 10'000 };

    void record(Duration);
    uint64_t count() const { return m_count; }
    // Upper bound of the bucket that holds the quantile (0 to 1), or the longest latency if that is less; 0 if empty.
    Milliseconds quantile(double) const;
    std::span<const uint64_t> buckets() const { return m_buckets; }
    double totalSeconds() const { return m_totalSeconds; }

private:
    std::array<uint64_t, boundsMs.size() + 1> m_buckets {};
    uint64_t m_count = 0;
    double m_totalSeconds = 0;
    Duration m_longest { 0 };
};

class StageLatencies {
public:
    using Stages = std::array<LatencyHistogram, static_cast<size_t>(JobStage::Count)>;
    // Queues above this number share an entry.
    static constexpr size_t maxQueues = 64;
    static constexpr std::string_view otherQueues = "other";

    // A job that has not started reaches the end of a stage; stages may be left out.
    void onSubmitted(uint64_t job, Instant now);
    void onAccepted(uint64_t job, std::string_view queue, Instant now);
    void onAdvised(uint64_t job, std::string_view queue, Instant now);
    void onAssigned(uint64_t job, std::string_view queue, Instant now);
    void onLaunched(uint64_t job, std::string_view queue, Instant now);
    void forget(uint64_t job) { m_jobs.erase(job); }

    void record(std::string_view queue, JobStage, Duration);

    // What was recorded since the last call.
    absl::btree_map<std::string, Stages, std::less<>> take() { return std::exchange(m_queues, {}); }

    void clear();

private:
    struct Progress {
        Instant submittedAt {};
        Instant reachedAt {}; // when the last stage ended
        JobStage stage = JobStage::Accepted; // the one it is in
    };

    // Ends the stage if the job is in an earlier one or in this one.
    void finish(uint64_t job, std::string_view queue, JobStage, Instant now);

    absl::flat_hash_map<uint64_t, Progress> m_jobs; // those without a start
    absl::btree_map<std::string, Stages, std::less<>> m_queues;
};

} // namespace teasel
