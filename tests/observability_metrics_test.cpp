#include "observability/metrics.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

namespace teasel {

namespace {

    size_t countOf(const std::string& text, std::string_view part)
    {
        size_t n = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
            ++n;
        return n;
    }

} // namespace

TEST_CASE("observations are rendered with their team, class and kind labels")
{
    Metrics metrics;
    metrics.waitingTime("red", "check").Observe(0.002);
    metrics.waiting("red", "check").Set(3);
    metrics.errors(ErrorKind::QueueFull).Increment();
    metrics.gauge(ProcessGauge::SlotsTotal).Set(8);
    metrics.taskPortion("red", MeteredResource::Accelerators).Set(2);
    const auto text = metrics.renderMetrics();
    CHECK(countOf(text, "teasel_waiting_seconds_bucket{class=\"check\",team=\"red\",le=\"0.0025\"} 1") == 1);
    CHECK(countOf(text, "teasel_waiting_requests{class=\"check\",team=\"red\"} 3") == 1);
    CHECK(countOf(text, "teasel_errors_total{kind=\"queue_full\",run=\"did_not_run\"} 1") == 1);
    CHECK(countOf(text, "teasel_slots_total 8") == 1);
    CHECK(countOf(text, "teasel_portion_tasks{resource=\"accelerators\",team=\"red\"} 2") == 1);
}

TEST_CASE("references stay the same, and series above the limit are shared")
{
    Metrics metrics;
    auto& first = metrics.arrived("red", "check");
    for (size_t n = 0; n < 2 * Metrics::maxTeamSeries; ++n)
        metrics.arrived(fmt::format("team{}", n), "check").Increment();
    CHECK(&metrics.arrived("red", "check") == &first);
    const auto text = metrics.renderMetrics();
    CHECK(countOf(text, "\nteasel_requests_total{") == Metrics::maxTeamSeries + 1);
    CHECK(countOf(text,
              fmt::format("teasel_requests_total{{class=\"other\",team=\"other\"}} {}", Metrics::maxTeamSeries + 1))
        == 1);
}

} // namespace teasel
