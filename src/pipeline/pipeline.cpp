#include "pipeline/pipeline.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr double AverageWeight = 0.1; // weight of the newest measured time in the exponential moving average

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}
} // namespace

void StageEstimates::record(const PipelineSpec &pipeline, const StageSpec &stage, Duration time)
{
    const Lock lock(m_mutex);
    const auto [found, isNew] = m_average.try_emplace({pipeline.name, stage.name}, time);
    if (!isNew) {
        found->second = scaled(found->second, 1 - AverageWeight) + scaled(time, AverageWeight);
    }
}

Duration StageEstimates::expected(const PipelineSpec &pipeline, const StageSpec &stage) const
{
    const Lock lock(m_mutex);
    const auto found = m_average.find({pipeline.name, stage.name});
    return found == m_average.end() ? Duration(stage.typicalTime) : found->second;
}

Duration StageEstimates::expectedFrom(const PipelineSpec &pipeline, std::size_t firstStage) const
{
    Duration sum = Duration::zero();
    for (std::size_t i = firstStage; i < pipeline.stages.size(); ++i) {
        sum += expected(pipeline, pipeline.stages[i]);
    }
    return sum;
}

Duration stageBudget(Duration remaining, Duration expectedThis, Duration expectedLater)
{
    const Duration expected = expectedThis + expectedLater;
    const Duration spare = remaining - expected;
    if (spare <= Duration::zero() || expected <= Duration::zero()) {
        return std::max(remaining - expectedLater, remaining / 2);
    }
    const double spareShare = static_cast<double>(expectedThis.count()) / static_cast<double>(expected.count());
    return expectedThis + std::max(scaled(spare, spareShare), spare / 2);
}

namespace
{
class DeadlineAdmission final : public AdmissionPolicy
{
public:
    bool admits(const AdmissionInput &input) const override
    {
        // While the busiest stage's servers have free slots, half of the expected time is enough, because it is still worth running a request
        // that may finish late. Once they are full, the whole expected time is required.
        constexpr double FullUtilisation = 0.95;
        const Duration needed = scaled(input.expectedTime, input.margin);
        return input.utilisation < FullUtilisation ? scaled(needed, 0.5) <= input.remaining : needed <= input.remaining;
    }
};

class AdmitAll final : public AdmissionPolicy
{
public:
    bool admits(const AdmissionInput & /*input*/) const override
    {
        return true;
    }
};

class BudgetedRetry final : public RetryPolicy
{
public:
    BudgetedRetry(int maxAttempts, double maxBudget)
        : m_maxAttempts(maxAttempts)
        , m_maxBudget(maxBudget)
        , m_budget(maxBudget)
    {
    }

    void countFirstAttempt(double share) override
    {
        const Lock lock(m_mutex);
        m_budget = std::min(m_maxBudget, m_budget + share);
    }

    bool tryTake(const RetryInput &input) override
    {
        const Lock lock(m_mutex);
        if (!allowsLocked(input)) {
            return false;
        }
        m_budget -= 1;
        return true;
    }

    bool wouldAllow(const RetryInput &input) const override
    {
        const Lock lock(m_mutex);
        return allowsLocked(input);
    }

private:
    bool allowsLocked(const RetryInput &input) const
    {
        return input.attempts < m_maxAttempts && input.requiredTime <= input.remaining && m_budget >= 1;
    }

    int m_maxAttempts;
    double m_maxBudget; // largest budget, in retries
    mutable RankedMutex m_mutex{LockRank::Estimates};
    double m_budget; // retries that may still be made
};
} // namespace

std::unique_ptr<AdmissionPolicy> makeDeadlineAdmission()
{
    return std::make_unique<DeadlineAdmission>();
}

std::unique_ptr<AdmissionPolicy> makeAdmitAll()
{
    return std::make_unique<AdmitAll>();
}

std::unique_ptr<RetryPolicy> makeBudgetedRetry(int maxAttempts, double maxBudget)
{
    return std::make_unique<BudgetedRetry>(maxAttempts, maxBudget);
}

} // namespace vanillanotch
