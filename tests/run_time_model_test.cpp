#include "runtimes/run_time_model.h"
#include "runtimes/shift_detector.h"

#include "tests/run_time_workload.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>

namespace teasel {

namespace {

    // Mean absolute error of the logarithm of predictions for the runs of one kind of teams.
    double meanError(RunTimeModel& model, RunTimeWorkload& workload, size_t runs, bool ofLiars)
    {
        double sum = 0;
        size_t count = 0;
        for (size_t n = 0; n < runs; ++n) {
            const auto run = workload.next();
            const auto& it = run.observation;
            if (run.step.isLiar == ofLiars) {
                sum += std::abs(std::log(model.predict(it.queue, it.team, it.estimateMs).median() / run.step.lengthMs));
                ++count;
            }
            model.record(it);
        }
        return sum / static_cast<double>(count);
    }

    RunObservation run(double tookMs, uint64_t estimateMs = 1'000)
    {
        RunObservation it;
        it.queue = "q";
        it.team = "t";
        it.executor = "x";
        it.estimateMs = estimateMs;
        it.tookMs = tookMs;
        return it;
    }

    // A model with 300 runs of a queue that take 2 s and differ a little.
    RunTimeModel modelOfTwoSeconds()
    {
        RunTimeModel model;
        Random random(1);
        for (int n = 0; n < 300; ++n)
            model.record(run(2'000 * (0.8 + 0.4 * random.unit())));
        return model;
    }

} // namespace

// Guards against predictions from nothing: before the first run only the estimate is known.
TEST_CASE("an unknown queue is predicted by the estimate")
{
    const RunTimeModel model;
    CHECK(model.predict("q", "t", 500).median() == doctest::Approx(500).epsilon(0.05));
    CHECK(model.predict("q", "t", 0).median() == doctest::Approx(1'000).epsilon(0.05));
    CHECK(model.speedOf("x").factor == 1);
    CHECK(model.speedOf("x").runs == 0);
}

// Guards against quantiles that don't hold, with which admission would promise too much or refuse too much.
TEST_CASE("of 100 runs 85 to 95 end within the 90% quantile")
{
    for (const double longShare : { 0.0, 0.03 }) {
        RunTimeWorkloadOptions options;
        options.longShare = longShare;
        options.speeds = { 0.7, 0.7, 1.7 };
        RunTimeWorkload workload(options);
        RunTimeModel model;
        for (int n = 0; n < 8'000; ++n)
            model.record(workload.next().observation);
        for (const auto& it : model.calibration()) {
            CAPTURE(it.queue);
            CHECK(it.within90 >= 0.85 * it.runs);
            CHECK(it.within90 <= 0.95 * it.runs);
            CHECK(it.withinMedian >= 0.45 * it.runs);
            CHECK(it.withinMedian <= 0.55 * it.runs);
        }
        // Long runs have to show in the tail.
        const auto prediction = model.predict(workload.queueName(0), workload.teamName(0), 300);
        const double ratio = prediction.quantile(0.99) / prediction.median();
        CHECK((longShare > 0 ? ratio > 4.5 : ratio < 4.5));
    }
}

// Guards against one absurd run or estimate that moves the predictions of all others.
TEST_CASE("absurd times and estimates change little")
{
    auto model = modelOfTwoSeconds();
    const double before = model.predict("q", "t", 1'000).median();
    const double infinity = std::numeric_limits<double>::infinity();
    for (const double took : { 0.0, 1e12, infinity, -5.0, std::numeric_limits<double>::quiet_NaN() })
        model.record(run(took));
    for (const uint64_t estimate : { uint64_t { 0 }, uint64_t { 1 }, std::numeric_limits<uint64_t>::max() })
        model.record(run(2'000, estimate));
    const double after = model.predict("q", "t", 1'000).median();
    CHECK(after == doctest::Approx(before).epsilon(0.1));
    CHECK(model.predict("q", "t", 0).median() == doctest::Approx(before).epsilon(0.3));
    CHECK(model.predict("q", "t", std::numeric_limits<uint64_t>::max()).median() < 100 * before);
    CHECK(model.predict("q", "t", 1).median() > before / 100);
}

// Guards against a first run that is absurd and from which the queue never recovers.
TEST_CASE("a queue recovers from absurd first runs")
{
    for (const double first : { 0.0, 1e9 }) {
        RunTimeModel model;
        model.record(run(first, first > 0 ? 1 : 1'000'000'000));
        Random random(2);
        for (int n = 0; n < 150; ++n)
            model.record(run(2'000 * (0.8 + 0.4 * random.unit())));
        CHECK(model.predict("q", "t", 1'000).median() == doctest::Approx(2'000).epsilon(0.15));
    }
}

// Guards against teams that state false estimates in order to go first, or spoil the predictions of others by it.
TEST_CASE("false estimates of some teams help them little and harm others little")
{
    RunTimeWorkloadOptions options;
    RunTimeWorkload honestWorkload(options);
    options.liars = 4;
    options.liarsShare = 0.5;
    RunTimeWorkload workload(options);
    RunTimeModel honest;
    RunTimeModel model;
    meanError(honest, honestWorkload, 5'000, false);
    meanError(model, workload, 5'000, false);
    const double without = meanError(honest, honestWorkload, 10'000, false);
    const double with = meanError(model, workload, 10'000, false);
    CHECK(with < without * 1.15);
    // The run times have sigma 0.5, so knowing nothing of a step but its queue and team gives 0.4.
    CHECK(meanError(model, workload, 10'000, true) < 0.55);
    // A team that states a tenth is not predicted at a tenth.
    const double stated = model.predict(workload.queueName(1), workload.teamName(0), 120).median();
    CHECK(stated > 800);
    CHECK(stated < 1'800);
}

// Guards against work that stays on an executor that became several times slower, and against one that stays avoided.
TEST_CASE("a slow phase of an executor and its end show within a few runs")
{
    RunTimeWorkloadOptions options;
    options.longShare = 0.03;
    RunTimeWorkload workload(options);
    RunTimeModel model;
    for (int n = 0; n < 6'000; ++n)
        model.record(workload.next().observation);
    const auto name = workload.executorName(7);
    CHECK(model.speedOf(name).factor == doctest::Approx(1).epsilon(0.2));
    const double before = model.predict(workload.queueName(0), workload.teamName(0), 300).median();
    const auto runOn = [&](double factor) {
        auto it = workload.next();
        it.observation.executor = name;
        it.observation.tookMs *= factor;
        model.record(it.observation);
    };
    for (int n = 0; n < 4; ++n)
        runOn(5);
    CHECK(model.speedOf(name).factor < 0.35);
    for (int n = 0; n < 20; ++n)
        runOn(5);
    CHECK(model.speedOf(name).factor == doctest::Approx(0.2).epsilon(0.35));
    CHECK(model.predict(workload.queueName(0), workload.teamName(0), 300).median()
        == doctest::Approx(before).epsilon(0.1));
    for (int n = 0; n < 4; ++n)
        runOn(1);
    CHECK(model.speedOf(name).factor > 0.7);
}

// Guards against factors that are mixed up: a common factor of all speeds belongs to the queues, and the distance from
// the data is no property of executors.
TEST_CASE("speeds and the distance from the data are separated")
{
    RunTimeWorkloadOptions options;
    options.speeds = { 0.7, 0.7, 1.7 };
    options.remoteFactor = 3;
    RunTimeWorkload workload(options);
    RunTimeModel model;
    for (int n = 0; n < 6'000; ++n)
        model.record(workload.next().observation);
    CHECK(model.remoteFactor() == doctest::Approx(3).epsilon(0.1));
    double sum = 0;
    size_t right = 0;
    for (size_t n = 0; n < options.executors; ++n) {
        const auto speed = model.speedOf(workload.executorName(n));
        sum += std::log(speed.factor);
        right += (speed.factor > 1) == (workload.usualSpeed(n) > 1) ? 1 : 0;
        CHECK(speed.uncertainty < 0.2);
    }
    CHECK(std::abs(sum / static_cast<double>(options.executors)) < 0.05);
    CHECK(right >= options.executors - 1);
}

// Guards against stopped runs that are taken for short ones, and runs from a checkpoint that are taken for whole ones.
TEST_CASE("stopped runs are lower bounds and runs from a checkpoint say nothing")
{
    auto model = modelOfTwoSeconds();
    const double before = model.predict("q", "t", 1'000).median();
    auto partial = run(50);
    partial.isFromCheckpoint = true;
    auto stopped = run(200);
    stopped.isComplete = false;
    for (int n = 0; n < 100; ++n) {
        model.record(partial);
        model.record(stopped);
    }
    CHECK(model.predict("q", "t", 1'000).median() == doctest::Approx(before).epsilon(0.1));
    stopped.tookMs = 10'000;
    for (int n = 0; n < 60; ++n) {
        const auto name = fmt::format("x{}", n % 20); // on one executor alone they would show that it is slow
        stopped.executor = name;
        model.record(stopped);
    }
    CHECK(model.predict("q", "t", 1'000).median() > before * 1.5);
}

// Guards against a queue whose work grows unnoticed, and against reports of shifts that did not happen.
TEST_CASE("a shift of a queue is reported once and learned")
{
    RunTimeWorkloadOptions options;
    options.maxTasks = 1;
    RunTimeWorkload workload(options);
    RunTimeModel model;
    for (int n = 0; n < 10'000; ++n)
        model.record(workload.next().observation);
    CHECK(model.takeShifts().empty());
    workload.shift(0, 1.5, false);
    for (int n = 0; n < 400; ++n) // a third of them of the queue
        model.record(workload.next().observation);
    const auto shifts = model.takeShifts();
    REQUIRE(shifts.size() == 1);
    CHECK(shifts[0].queue == workload.queueName(0));
    CHECK(shifts[0].factor > 1.25);
    CHECK(shifts[0].factor < 2);
    CHECK(model.takeShifts().empty());
    CHECK(meanError(model, workload, 2'000, false) < 0.33);
}

// Guards against a shift that is lost because its first alarm is inconclusive, and against reports of noise.
TEST_CASE("every shift by half is reported once")
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        ShiftDetector detector;
        const auto add = [&](double mean) { // standard deviation 0.55
            return detector.add(mean + 0.55 * (random.unit() + random.unit() + random.unit() - 1.5) * 2, 1).has_value();
        };
        size_t before = 0;
        size_t after = 0;
        for (int n = 0; n < 400; ++n)
            before += add(0) ? 1 : 0;
        for (int n = 0; n < 300; ++n)
            after += add(std::log(1.5)) ? 1 : 0;
        CHECK(before == 0);
        CHECK(after == 1);
    }
}

// Guards against an error of the estimate that is made anew for each task of a step.
TEST_CASE("ended tasks of a step narrow the prediction of the others")
{
    RunTimeWorkload workload({});
    RunTimeModel model;
    for (int n = 0; n < 5'000; ++n)
        model.record(workload.next().observation);
    const auto& queue = workload.queueName(2);
    const auto& team = workload.teamName(3);
    auto it = run(12'000, 5'000);
    it.queue = queue;
    it.team = team;
    it.step = 77;
    it.tasks = 4;
    for (int n = 0; n < 3; ++n) {
        it.executor = workload.executorName(n);
        model.record(it);
    }
    const auto fresh = model.predict(queue, team, 5'000);
    const auto inStep = model.predict(queue, team, 5'000, 77);
    CHECK(inStep.median() == doctest::Approx(12'000).epsilon(0.2));
    const auto width = [](const auto& prediction) { return std::log(prediction.quantile(0.9) / prediction.median()); };
    CHECK(width(inStep) < 0.75 * width(fresh));
}

// Guards against quantiles that contradict each other.
TEST_CASE("quantiles of a prediction are consistent")
{
    const auto it = modelOfTwoSeconds().predict("q", "t", 1'000);
    double last = 0;
    for (double share = 0.02; share < 1; share += 0.02) {
        CHECK(it.quantile(share) >= last);
        last = it.quantile(share);
        CHECK(it.probabilityToEndWithin(last) == doctest::Approx(share).epsilon(0.02));
        CHECK(it.quantileOfLongest(share, 20) >= last);
        for (const double ran : { 100.0, 2'000.0, 1e6 })
            CHECK(it.probabilityToEndWithin(it.remainingQuantile(share, ran), ran)
                == doctest::Approx(share).epsilon(0.1));
    }
    CHECK(it.quantileOfLongest(0.5, 1) == it.median());
    CHECK(it.quantileOfLongest(0.9, 1'000) >= it.quantileOfLongest(0.9, 10));
    CHECK(it.remainingQuantile(0.5, 1e9) > 0);
}

// Guards against a new leader that starts without what its predecessor learned, and against damaged summaries.
TEST_CASE("a summary restores the predictions")
{
    RunTimeWorkloadOptions options;
    options.speeds = { 0.8, 1.0, 1.25 };
    options.longShare = 0.03;
    RunTimeWorkload workload(options);
    RunTimeModel model;
    for (int n = 0; n < 5'000; ++n)
        model.record(workload.next().observation);
    RunTimeModel restored;
    restored.restore(model.summarize());
    for (size_t n = 0; n < options.teams; ++n) {
        const auto before = model.predict(workload.queueName(n % 3), workload.teamName(n), 700);
        const auto after = restored.predict(workload.queueName(n % 3), workload.teamName(n), 700);
        CHECK(after.median() == doctest::Approx(before.median()).epsilon(0.03));
        CHECK(after.quantile(0.9) == doctest::Approx(before.quantile(0.9)).epsilon(0.1));
        const auto& name = workload.executorName(n);
        CHECK(restored.speedOf(name).factor == doctest::Approx(model.speedOf(name).factor).epsilon(0.02));
    }
    CHECK(restored.remoteFactor() == doctest::Approx(model.remoteFactor()));

    auto damaged = model.summarize();
    for (auto& it : damaged.queues) {
        it.level = it.slope = it.variance = std::numeric_limits<float>::quiet_NaN();
        it.residuals.fill(0);
    }
    restored.restore(damaged);
    const auto it = restored.predict(workload.queueName(0), workload.teamName(0), 300);
    CHECK(std::isfinite(it.quantile(0.9)));
    CHECK(it.quantile(0.9) >= it.median());
}

// Guards against growth without bound by names that are never used again.
TEST_CASE("rare queues, teams and executors are evicted")
{
    RunTimeModel model;
    for (int n = 0; n < 20'000; ++n) {
        const auto queue = n % 2 == 0 ? std::string("busy") : fmt::format("q{}", n % 1'000);
        const auto team = n % 4 == 0 ? std::string("usual") : fmt::format("t{}", n);
        const auto executor = fmt::format("x{}", n);
        auto it = run(n % 4 == 0 ? 3'000 : 2'000);
        it.queue = queue;
        it.team = team;
        it.executor = executor;
        model.record(it);
    }
    const auto summary = model.summarize();
    CHECK(summary.queues.size() <= RunTimeModel::maxQueues);
    CHECK(summary.executors.size() <= RunTimeModel::maxExecutors);
    for (const auto& it : summary.queues)
        CHECK(it.teams.size() <= RunTimeModel::maxTeams);
    CHECK(model.predict("busy", "usual", 1'000).median() == doctest::Approx(3'000).epsilon(0.2));
}

} // namespace teasel
