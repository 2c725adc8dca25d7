// Requests with numbers far beyond what callers mean.
#include "jobs_fixture.h"

#include <cstdint>

using namespace teasel;

TEST_CASE("a job with more due occurrences than can be open does not fill the leader")
{
    for (const uint32_t occurrences : { 100'000U, 1'000'000U, UINT32_MAX }) {
        CAPTURE(occurrences);
        JobsFixture it;
        it.announce("x1", 1);
        it.answerRenewals({});
        auto request = JobsFixture::request(7, 1);
        request.set_first_at_ms(1); // long ago
        request.set_period_ms(0);
        request.set_occurrences(occurrences);
        it.submit(std::move(request));
        it.passWithRenewals(Milliseconds(100));
        CHECK(it.leader.waitingTasks() > 0);
        CHECK(it.leader.waitingTasks() <= 100);
    }
}
