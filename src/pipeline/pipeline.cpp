#include "pipeline/pipeline.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr double AverageWeight = 0.1; // weight of the newest time in the moving average

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
    const double part = static_cast<double>(expectedThis.count()) / static_cast<double>(expected.count());
    return expectedThis + std::max(scaled(spare, part), spare / 2);
}

namespace
{
class DeadlineAdmission final : public AdmissionPolicy
{
public:
    bool admits(const AdmissionInput &input) const override
    {
        // Only a full stage makes the expected time count: with places free, a late finish is still worth a try.
        constexpr double Full = 0.95;
        const Duration needed = scaled(input.expectedTime, input.margin);
        return input.utilisation < Full ? scaled(needed, 0.5) <= input.remaining : needed <= input.remaining;
    }
};

class OpenAdmission final : public AdmissionPolicy
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
    BudgetedRetry(int maxAttempts, double reserve)
        : m_maxAttempts(maxAttempts)
        , m_reserve(reserve)
        , m_budget(reserve)
    {
    }

    void countFirstAttempt(double share) override
    {
        const Lock lock(m_mutex);
        m_budget = std::min(m_reserve, m_budget + share);
    }

    bool allows(const RetryInput &input) override
    {
        if (input.attempts >= m_maxAttempts || input.expectedTime > input.remaining) {
            return false;
        }
        const Lock lock(m_mutex);
        if (m_budget < 1) {
            return false;
        }
        m_budget -= 1;
        return true;
    }

private:
    int m_maxAttempts;
    double m_reserve; // retries
    RankedMutex m_mutex{LockRank::Estimates};
    double m_budget; // retries
};
} // namespace

std::unique_ptr<AdmissionPolicy> makeDeadlineAdmission()
{
    return std::make_unique<DeadlineAdmission>();
}

std::unique_ptr<AdmissionPolicy> makeAdmitAll()
{
    return std::make_unique<OpenAdmission>();
}

std::unique_ptr<RetryPolicy> makeBudgetedRetry(int maxAttempts, double reserve)
{
    return std::make_unique<BudgetedRetry>(maxAttempts, reserve);
}

} // namespace vanillanotch
