#include "runtimes/queue_run_times.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teasel {

namespace {

    constexpr double maxLogMs = 20.2; // 7 days; longer times and estimates are not plausible
    constexpr double clipDeviations = 2.5; // an innovation counts for at most so many standard deviations
    constexpr uint32_t windowRuns = 256; // runs over which the teams' shares are counted
    // The correlation between runs of one step when they cannot be told apart.
    constexpr double stepCorrelation = 0.8;

    // Additions to the variance of a level for each run, in units of the queue's variance: about 150 runs count for
    // a queue and 30 for a team.
    constexpr double levelDecay = 5e-5;
    constexpr double teamDecay = 1e-3;
    constexpr double slopeDecay = 1e-5;

    // Cumulative sums of innovations in standard deviations. A queue that grows by half at unchanged estimates moves by
    // about 0.7 of them and is found after some 25 steps.
    constexpr double misfitSlack = 0.35;
    constexpr double misfitLimit = 9;

    double logOf(double ms)
    {
        if (!(ms > 1)) // also for values that are not a number
            return 0;
        return std::min(maxLogMs, std::log(ms));
    }

    double clip(double x, double limit) { return std::clamp(x, -limit, limit); }

} // namespace

QueueRunTimes::Reading QueueRunTimes::read(const RunObservation& it, const Place& place)
{
    const double y = logOf(it.tookMs);
    const bool hasEstimate = it.estimateMs > 0;
    const double x = logOf(static_cast<double>(it.estimateMs));
    if (m_runs == 0)
        begin(x, hasEstimate, y - place.log);
    Reading out;
    out.team = &teamAt(it.team);
    auto& team = *out.team;
    out.dx = hasEstimate ? clampDx(x - m_reference) : 0;
    const double expected = m_level.value + team.level.value + (m_slope.value + team.slope.value) * out.dx + place.log;
    out.parameterVariance
        = m_level.variance + team.level.variance + out.dx * out.dx * (m_slope.variance + team.slope.variance);
    const double spread = team.spread * team.spread;
    const double taskVariance = std::min(m_taskVariance, m_variance) * spread;
    const double stepVariance = (m_variance * spread) - taskVariance;
    const auto* step = knownStep(it.step);
    out.stepVariance = step ? step->common.variance : it.step != 0 ? stepVariance : 0;
    out.noise = it.step != 0 ? taskVariance : m_variance * spread;
    out.effectiveNoise
        = it.step != 0 ? out.noise : out.noise * (1 + stepCorrelation * (std::min(it.tasks, 1'000'000U) - 1.0));
    if (it.step == 0 && it.tasks == 0)
        out.effectiveNoise = out.noise;
    const double withoutStep = y - expected;
    out.logMs = y - place.log;
    m_placeVariance += 0.02 * (place.variance - m_placeVariance);
    out.residual = withoutStep - (step ? step->common.value : 0);

    const double scaled = withoutStep / std::sqrt(out.parameterVariance + place.variance + m_variance * spread);
    if (it.isComplete) {
        const double share = ResidualHistogram::shareBelow(m_residuals.cumulative(), scaled);
        m_completeRuns += 1;
        m_withinMedian += share <= 0.5 ? 1 : 0;
        m_within90 += share <= 0.9 ? 1 : 0;
        m_residuals.add(scaled);
    } else {
        m_residuals.addAtLeast(scaled);
    }
    if (step && step->runs >= 2) { // with one run the step's common factor is too uncertain
        const double scaledTask = out.residual / std::sqrt(out.noise + place.variance);
        if (it.isComplete)
            m_taskResiduals.add(scaledTask);
        else
            m_taskResiduals.addAtLeast(scaledTask);
    }
    return out;
}

void QueueRunTimes::learn(
    const RunObservation& it, const Reading& reading, double innovation, double variance, double weight)
{
    auto& team = *reading.team;
    const double influence = influenceOf(team);
    const double limit = clipDeviations * std::sqrt(variance);
    const double clipped = clip(innovation, limit);
    const bool isFirstOfStep = !knownStep(it.step);
    const double total = variance - reading.noise + reading.effectiveNoise;

    if (isFirstOfStep) {
        const double scaled = clip(innovation / std::sqrt(variance), 2);
        const double part = influence * reading.noise / reading.effectiveNoise;
        detectMisfit(scaled * part, innovation);
        // Estimates may have grown with the work, so that the predictions still hold. Operators want to know all the
        // same.
        if (it.isComplete) {
            if (const auto moved = m_shiftDetector.add(reading.logMs, weight * part))
                m_shift = std::exp(*moved);
        }
    }
    m_level.update(clipped, 1, total, weight * influence);
    m_slope.update(clipped, reading.dx, total, weight * influence);
    team.level.update(clipped, 1, total, weight);
    team.slope.update(clipped, reading.dx, total, weight);
    m_level.decay(levelDecay * m_variance, 4);
    m_slope.decay(slopeDecay, slopeVariance);
    team.level.decay(teamDecay * m_variance, teamVariance);
    team.slope.decay(slopeDecay, teamSlopeVariance);
    m_slope.value = std::clamp(m_slope.value, 0.0, 1.2);
    team.slope.value = std::clamp(team.slope.value, -1.2, 1.2);
    if (auto* step = stepAt(it.step)) {
        if (step->runs == 0)
            step->common = { 0, reading.stepVariance };
        step->common.update(clipped, 1, variance, weight);
        step->runs += 1;
    }

    if (it.isComplete) {
        // Variances follow the excess of the squared innovation over its expectation; long runs are clipped here and
        // represented by the histograms.
        const double rate = influence * weight / (20.0 + std::min<double>(200.0, static_cast<double>(m_runs)));
        const double excess = (clipped * clipped - variance) / (team.spread * team.spread);
        if (isFirstOfStep)
            m_variance = std::clamp(m_variance + rate * excess, 0.01, 2.0);
        else
            m_taskVariance = std::clamp(m_taskVariance + rate * excess, 0.0025, 1.0);
        if (isFirstOfStep) {
            constexpr double meanDeviation = 0.8; // of a normal distribution
            const double ratio = std::min(3.0, std::abs(innovation) / std::sqrt(variance)) / meanDeviation;
            const double teamRate = weight / (30.0 + std::min<double>(70.0, team.runs));
            team.spread = std::clamp(team.spread * (1 + teamRate * (ratio - 1)), 0.5, 4.0);
        }
    }
    if (it.estimateMs > 0)
        learnReference(logOf(static_cast<double>(it.estimateMs)), influence);
    m_runs += 1;
    team.runs += 1;
    team.runsInWindow += 1;
    if (++m_window >= windowRuns)
        closeWindow();
}

std::optional<double> QueueRunTimes::takeShift() { return std::exchange(m_shift, std::nullopt); }

RunTimeDistribution QueueRunTimes::predict(std::string_view team, uint64_t estimateMs, uint64_t step) const
{
    if (m_runs == 0)
        return predictUnknown(estimateMs);
    static const Team unknownTeam;
    const auto found = m_teams.find(team);
    const auto& it = found == m_teams.end() ? unknownTeam : found->second;
    const double dx = estimateMs > 0 ? clampDx(logOf(static_cast<double>(estimateMs)) - m_reference) : 0;
    const double spread = it.spread * it.spread;
    const double parameterVariance
        = m_level.variance + it.level.variance + dx * dx * (m_slope.variance + it.slope.variance) + m_placeVariance;
    const double taskVariance = std::min(m_taskVariance, m_variance) * spread;
    RunTimeDistribution::Parts parts;
    parts.logMs = m_level.value + it.level.value + (m_slope.value + it.slope.value) * dx;
    parts.taskScale = std::sqrt(taskVariance);
    parts.taskResiduals = m_taskResiduals.cumulative();
    if (const auto* known = knownStep(step)) {
        parts.logMs += known->common.value;
        parts.stepScale = std::sqrt(parameterVariance + known->common.variance);
        parts.scale = std::sqrt(parameterVariance + known->common.variance + taskVariance);
        parts.residuals = parts.taskResiduals;
        return RunTimeDistribution(parts);
    }
    parts.stepScale = std::sqrt(parameterVariance + m_variance * spread - taskVariance);
    parts.scale = std::sqrt(parameterVariance + m_variance * spread);
    parts.residuals = m_residuals.cumulative();
    return RunTimeDistribution(parts);
}

RunTimeDistribution QueueRunTimes::predictUnknown(uint64_t estimateMs)
{
    static const ResidualHistogram residuals;
    constexpr double defaultMs = 1'000;
    RunTimeDistribution::Parts parts;
    parts.logMs = estimateMs > 0 ? logOf(static_cast<double>(estimateMs)) : std::log(defaultMs);
    parts.scale = std::sqrt(levelVariance + defaultVariance);
    parts.taskScale = std::sqrt(defaultTaskVariance);
    parts.stepScale = std::sqrt(levelVariance + defaultVariance - defaultTaskVariance);
    parts.residuals = residuals.cumulative();
    parts.taskResiduals = residuals.cumulative();
    return RunTimeDistribution(parts);
}

void QueueRunTimes::onSpeedsNormalized(double log)
{
    m_level.value -= log;
    m_shiftDetector.move(-log);
}

QueueRunTimes::Team& QueueRunTimes::teamAt(std::string_view name)
{
    auto it = m_teams.find(name);
    if (it == m_teams.end()) {
        if (m_teams.size() >= m_maxTeams)
            evictTeams();
        it = m_teams.try_emplace(std::string(name)).first;
    }
    it->second.lastRunAt = m_runs;
    return it->second;
}

QueueRunTimes::Step* QueueRunTimes::stepAt(uint64_t key)
{
    if (key == 0)
        return nullptr;
    if (m_steps.empty())
        m_steps.resize(recentSteps);
    auto& it = m_steps[key % recentSteps];
    if (it.key != key)
        it = { key, {}, 0 };
    return &it;
}

const QueueRunTimes::Step* QueueRunTimes::knownStep(uint64_t key) const
{
    if (key == 0 || m_steps.empty())
        return nullptr;
    const auto& it = m_steps[key % recentSteps];
    return it.key == key && it.runs > 0 ? &it : nullptr;
}

double QueueRunTimes::influenceOf(const Team& it) const
{
    // A team with most of the runs must not determine the levels of the others: no team counts for more than an equal
    // part.
    const double share = it.share > 0 ? it.share : it.runsInWindow / std::max(1.0, static_cast<double>(m_window));
    const auto teams = static_cast<double>(std::max<size_t>(1, m_runs < windowRuns ? m_teams.size() : m_activeTeams));
    return std::clamp(1 / std::max(1e-6, share * teams), 0.02, 1.0);
}

double QueueRunTimes::clampDx(double dx) const
{
    // An estimate far outside of the usual range says no more than one at its edge.
    return clip(dx, std::clamp(3 * std::sqrt(m_referenceSpread), 1.0, 5.0));
}

void QueueRunTimes::begin(double logEstimate, bool hasEstimate, double logTook)
{
    m_reference = hasEstimate ? logEstimate : logTook;
    m_level.value = m_reference;
}

void QueueRunTimes::learnReference(double logEstimate, double influence)
{
    const double dx = clampDx(logEstimate - m_reference);
    const double rate = influence * std::max(0.005, 1.0 / (2.0 + static_cast<double>(m_runs)));
    m_referenceSpread += rate * (dx * dx - m_referenceSpread);
    // The prediction for a given estimate stays the same.
    m_reference += rate * dx;
    m_level.value += rate * dx * m_slope.value;
}

void QueueRunTimes::detectMisfit(double scaled, double raw)
{
    m_high = std::max(0.0, m_high + scaled - misfitSlack);
    m_low = std::max(0.0, m_low - scaled - misfitSlack);
    m_recentInnovation += 0.15 * (clip(raw, 8) - m_recentInnovation);
    if (m_high <= misfitLimit && m_low <= misfitLimit)
        return;
    m_high = m_low = 0;
    // The level becomes as uncertain as the last runs suggest, and is then learned anew.
    m_level.variance = std::max({ m_level.variance, 0.1, m_recentInnovation * m_recentInnovation });
}

void QueueRunTimes::closeWindow()
{
    constexpr double newest = 0.3; // weight of the newest window
    constexpr float leastShare = 0.001F;
    m_activeTeams = 0;
    for (auto& [name, it] : m_teams) {
        const double share = static_cast<double>(it.runsInWindow) / m_window;
        it.share = static_cast<float>(it.share > 0 ? it.share + newest * (share - it.share) : share);
        it.runsInWindow = 0;
        m_activeTeams += it.share > leastShare ? 1 : 0;
    }
    m_window = 0;
}

void QueueRunTimes::evictTeams()
{
    std::vector<uint64_t> ages;
    ages.reserve(m_teams.size());
    for (const auto& [name, it] : m_teams)
        ages.push_back(it.lastRunAt);
    // One eighth at a time, so that the cost of the pass is spread over many new teams.
    const auto middle = ages.begin() + static_cast<ptrdiff_t>(ages.size() / 8);
    std::nth_element(ages.begin(), middle, ages.end());
    const auto limit = *middle;
    absl::erase_if(m_teams, [&](const auto& it) { return it.second.lastRunAt <= limit; });
}

RunTimeSummary::Queue QueueRunTimes::summarize() const
{
    RunTimeSummary::Queue out;
    out.reference = static_cast<float>(m_reference);
    out.level = static_cast<float>(m_level.value);
    out.levelVariance = static_cast<float>(m_level.variance);
    out.slope = static_cast<float>(m_slope.value);
    out.slopeVariance = static_cast<float>(m_slope.variance);
    out.variance = static_cast<float>(m_variance);
    out.taskVariance = static_cast<float>(m_taskVariance);
    out.runs = static_cast<uint32_t>(std::min<uint64_t>(m_runs, UINT32_MAX));
    out.residuals = m_residuals.shares();
    out.taskResiduals = m_taskResiduals.shares();
    out.teams.reserve(m_teams.size());
    for (const auto& [name, it] : m_teams)
        out.teams.push_back({ name, static_cast<float>(it.level.value), static_cast<float>(it.level.variance),
            static_cast<float>(it.slope.value), static_cast<float>(it.slope.variance), static_cast<float>(it.spread),
            it.runs });
    std::sort(out.teams.begin(), out.teams.end(), [](const auto& a, const auto& b) { return a.team < b.team; });
    return out;
}

void QueueRunTimes::restore(const RunTimeSummary::Queue& from)
{
    const auto bounded = [](float value, double low, double high) {
        return std::isfinite(value) ? std::clamp<double>(value, low, high) : (low + high) / 2;
    };
    *this = QueueRunTimes(m_maxTeams);
    m_reference = bounded(from.reference, 0, maxLogMs);
    m_level = { bounded(from.level, -maxLogMs, 2 * maxLogMs), bounded(from.levelVariance, 1e-6, 4) };
    m_slope = { bounded(from.slope, 0, 1.2), bounded(from.slopeVariance, 1e-6, slopeVariance) };
    m_variance = bounded(from.variance, 0.01, 2);
    m_taskVariance = bounded(from.taskVariance, 0.0025, 1);
    m_runs = from.runs;
    m_residuals = ResidualHistogram(from.residuals, from.runs);
    m_taskResiduals = ResidualHistogram(from.taskResiduals, from.runs);
    for (const auto& it : from.teams) {
        if (m_teams.size() >= m_maxTeams)
            break;
        auto& team = m_teams[it.team];
        team.level = { bounded(it.level, -8, 8), bounded(it.levelVariance, 1e-6, teamVariance) };
        team.slope = { bounded(it.slope, -1.2, 1.2), bounded(it.slopeVariance, 1e-6, teamSlopeVariance) };
        team.spread = bounded(it.spread, 0.5, 4);
        team.runs = it.runs;
        team.lastRunAt = m_runs;
    }
    m_activeTeams = std::max<size_t>(1, m_teams.size());
}

} // namespace teasel
