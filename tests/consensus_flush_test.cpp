#include "consensus/replicated_log.h"
#include "fake_disk.h"

#include <doctest/doctest.h>

#include <deque>

using namespace teasel;

namespace {

class EmptyStateMachine final : public StateMachine {
public:
    std::string apply(uint64_t, std::string_view) override { return {}; }
    std::string snapshot() const override { return {}; }
    Result<void> restore(std::string_view) override { return {}; }
};

} // namespace

// Guards against proposals that wait for everything that arrived at the control thread before them.
TEST_CASE("a flushed proposal is written before the tasks that were posted earlier have run")
{
    ManualClock clock;
    FakeDisk disk;
    EmptyStateMachine machine;
    std::deque<std::function<void()>> posted;
    std::vector<uint64_t> applied;
    ReplicatedLogOptions options;
    options.replica.id = "a";
    options.replica.bootstrap.add_voters("a");
    options.hasOwnStorageThread = false;
    ReplicatedLog log(
        options, clock, disk, machine, [](std::string_view, const schema::ConsensusMessage&) {},
        [&](std::function<void()> task) { posted.push_back(std::move(task)); },
        { [&](uint64_t ticket, const std::string&) { applied.push_back(ticket); }, [](uint64_t) {}, [](bool) {},
            [](const Error&) {} });
    const auto runPosted = [&] {
        while (!posted.empty()) {
            const auto task = std::move(posted.front());
            posted.pop_front();
            task();
        }
    };
    REQUIRE(valueOrError([&] { return log.start(clock.now()); }).index() == 0);
    for (int n = 0; n < 100 && !log.isServing(); ++n) {
        clock.advance(std::chrono::milliseconds(50));
        log.onTick(clock.now());
        runPosted();
    }
    REQUIRE(log.isServing());

    posted.emplace_back([] {}); // events that arrived earlier
    const auto syncs = disk.size();
    REQUIRE(log.propose("change", 7, clock.now()));
    log.flushProposals();
    const auto diskJob = std::move(posted.back());
    posted.pop_back();
    diskJob();
    CHECK(disk.size() > syncs);
    CHECK(applied.empty());
    runPosted();
    CHECK(applied == std::vector<uint64_t> { 7 });
}
