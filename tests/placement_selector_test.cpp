// Tests selectors of jobs and drains in several naming schemes.
#include "naming_fixture.h"
#include "placement_fixture.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

schema::Label label(const std::string& key, const std::string& value)
{
    schema::Label it;
    it.set_key(key);
    it.set_value(value);
    return it;
}

// Six workers in three racks. The last two register in the second naming scheme, in which the label key
// `disk` is called `storage`.
struct LabelledFleet : PlacementFixture {
    LabelledFleet()
    {
        auto config = test::threeSchemes();
        test::putAlias(config, test::ours, schema::SUBJECT_KIND_LABEL_KEY, 7, "disk");
        test::putAlias(config, test::theirs, schema::SUBJECT_KIND_LABEL_KEY, 7, "storage");
        names.configure(config);
        for (size_t i = 0; i < 6; ++i) {
            WorkerAgentOptions options;
            options.name = fmt::format("w{}", i);
            options.scheme = i < 4 ? "ours" : "theirs";
            options.capacity = resources(4'000, 8'192);
            options.rack = fmt::format("rack-{}", i / 2);
            options.dataCentre = "dc";
            const std::string kind = i % 2 == 0 ? "ssd" : "tape";
            options.labels = { label(i < 4 ? "disk" : "storage", kind) };
            workers.emplace_back(options);
        }
        waitForRecovery();
    }

    std::set<std::string> workersRunning(const std::string& job) const
    {
        std::set<std::string> places;
        for (const auto& worker : workers) {
            for (const auto& [key, order] : worker.running) {
                if (key.job == job)
                    places.insert(worker.name);
            }
        }
        return places;
    }

    void submitWithSelector(const std::string& id, const std::string& selector, uint32_t tasks,
        schema::JobKind kind = schema::JOB_KIND_BATCH)
    {
        auto record = jobRecord({ .id = id, .kind = kind, .tasks = tasks, .minAvailable = 1 });
        record.mutable_spec()->set_selector(selector);
        update(record);
    }

    std::string refusalReason(const std::string& selector)
    {
        auto record = jobRecord({ .id = "asked" });
        record.mutable_spec()->set_selector(selector);
        const auto outcome = valueOrError([&] { return leader.checkFeasibility(record.spec()); });
        const auto* error = std::get_if<Error>(&outcome);
        return error ? fmt::format("{}: {}", errorInfo(error->kind).name, error->message) : std::string();
    }
};

} // namespace

TEST_CASE("a selector matches the same workers in any naming scheme")
{
    LabelledFleet it;
    it.submitWithSelector("a", "disk = ssd", 4);
    it.submitWithSelector("b", "theirs:storage = ssd and rack in (rack-1, rack-2)", 4);
    it.submitWithSelector("c", "disk != ssd and not exists gpu", 3);
    it.run(Milliseconds(1'500));
    const std::set<std::string> ssd { "w0", "w2", "w4" };
    for (const auto& name : it.workersRunning("a"))
        CHECK(ssd.contains(name));
    for (const auto& name : it.workersRunning("b"))
        CHECK((name == "w2" || name == "w4"));
    for (const auto& name : it.workersRunning("c"))
        CHECK_FALSE(ssd.contains(name));
    CHECK(it.running("a") + it.running("b") == 8);
    CHECK(it.running("c") == 3);
}

TEST_CASE("a refusal names the selector term that excludes the job")
{
    LabelledFleet it;
    CHECK(it.refusalReason("disk = ssd").empty());
    CHECK(it.refusalReason("disk = ssd and rack = rack-9").find("rack") != std::string::npos);
    CHECK(it.refusalReason("disk = ssd and rack = rack-9").find("disk") == std::string::npos);
    CHECK_FALSE(it.refusalReason("disk = ").empty());
}

TEST_CASE("draining a rack moves services without interruption and lets batch tasks end")
{
    LabelledFleet it;
    it.submitWithSelector("front", "disk = ssd", 3, schema::JOB_KIND_SERVICE);
    it.submitWithSelector("bulk", "rack = rack-0", 2);
    it.run(Milliseconds(1'500));
    REQUIRE(it.running("front") == 3);
    REQUIRE(it.running("bulk") == 2);
    it.leader.onDrains(std::vector<std::string> { "rack = rack-0" }, it.now);
    size_t minRunning = 3;
    for (int i = 0; i < 50; ++i) {
        it.run(PlacementFixture::tick);
        minRunning = std::min(minRunning, it.running("front"));
    }
    CHECK(minRunning == 3);
    CHECK_FALSE(it.workersRunning("front").contains("w0"));
    CHECK(it.running("bulk") == 2);
    it.submitWithSelector("late", "rack = rack-0", 1);
    it.run(Milliseconds(1'500));
    CHECK(it.running("late") == 0);
    it.leader.onDrains({}, it.now);
    it.run(Milliseconds(1'500));
    CHECK(it.running("late") == 1);
}

TEST_CASE("a worker with a new label is matched by a waiting selector")
{
    LabelledFleet it;
    it.submitWithSelector("wants", "disk = nvme", 1);
    it.run(Milliseconds(1'500));
    CHECK(it.running("wants") == 0);
    WorkerAgentOptions options;
    options.name = "w9";
    options.scheme = "ours";
    options.capacity = resources(4'000, 8'192);
    options.rack = "rack-4";
    options.dataCentre = "dc";
    options.labels = { label("disk", "nvme") };
    it.workers.emplace_back(options);
    it.run(Milliseconds(1'500));
    CHECK(it.workersRunning("wants") == std::set<std::string> { "w9" });
}
