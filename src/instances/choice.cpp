#include "instances/instances.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

double prefixRank(std::uint64_t affinity, const InstanceSpec &spec)
{
    // -1 / log(u) with u uniform in (0, 1): for equal slots the order of the hashes. 52 bits, since u must not be rounded to 1.
    const double uniform = std::ldexp(static_cast<double>(stableHash(std::to_string(affinity) + spec.id) >> 12) + 0.5, -52);
    return -std::max(1U, spec.slots) / std::log(uniform);
}

namespace
{
// Round trip between data centres; added to the predicted time of an instance outside the preferred data centre.
constexpr auto RemoteRoundTrip = std::chrono::milliseconds(3);
constexpr auto DefaultTime = std::chrono::milliseconds(20); // for an instance without measurements: short, so that it gets requests
constexpr double FailureWeight = 4.0; // the predicted time is multiplied by 1 + FailureWeight * failure average
constexpr double NoQueueLoad = 0.5; // up to this load ((running + waiting) / slots) an instance is assumed not to queue requests
constexpr double JitterWidth = 0.2; // the random factor on predicted times is 1 plus or minus half of this: nodes that see the same figures choose differently
constexpr double AffinityFailureLimit = 0.35; // from this failure average on, the next instance in the hash order is used
constexpr double AffinityLoadLimit =
    0.85; // from this load on, the next instance in the hash order is used: waiting costs more than processing the prompt without a cache

class ShortestTimeChoice final : public ChoicePolicy
{
public:
    std::size_t choose(const ChoiceInput & /*input*/, const std::vector<InstanceView> &views) override
    {
        const auto predicted = [](const InstanceView &view) {
            const Duration time = view.expectedTime == Duration::zero() ? Duration(DefaultTime) : view.expectedTime;
            const double queueFactor = 1.0 + std::max(0.0, view.load - NoQueueLoad);
            const double failureFactor = 1.0 + FailureWeight * view.failureRate;
            const double seconds = std::chrono::duration<double>(time).count() * queueFactor * failureFactor;
            return seconds + (view.inPreferredDataCentre ? 0.0 : std::chrono::duration<double>(RemoteRoundTrip).count());
        };
        std::size_t best = 0;
        double bestTime = 0;
        for (std::size_t i = 0; i < views.size(); ++i) {
            const double jitter = 1.0 + JitterWidth * (randomFraction() - 0.5);
            const double time = predicted(views[i]) * jitter;
            if (i == 0 || time < bestTime) {
                best = i;
                bestTime = time;
            }
        }
        return best;
    }
};

class PrefixAffinityChoice final : public ChoicePolicy
{
public:
    std::size_t choose(const ChoiceInput &input, const std::vector<InstanceView> &views) override
    {
        if (input.affinity == 0) {
            return m_fallback.choose(input, views);
        }
        std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
        ranked.reserve(views.size());
        for (std::size_t i = 0; i < views.size(); ++i) {
            ranked.emplace_back(stableHash(std::to_string(input.affinity) + views[i].spec->id), i);
        }
        std::sort(ranked.rbegin(), ranked.rend());
        for (const auto &[hash, index] : ranked) {
            const InstanceView &view = views[index];
            if (!view.recentlyUnreachable && !view.slow && view.failureRate < AffinityFailureLimit && view.load < AffinityLoadLimit) {
                return index;
            }
        }
        return m_fallback.choose(input, views);
    }

private:
    ShortestTimeChoice m_fallback;
};

class LeastOutstandingChoice final : public ChoicePolicy
{
public:
    std::size_t choose(const ChoiceInput & /*input*/, const std::vector<InstanceView> &views) override
    {
        std::size_t best = 0;
        double bestLoad = 0;
        for (std::size_t i = 0; i < views.size(); ++i) {
            const double load = views[i].outstanding + randomFraction();
            if (i == 0 || load < bestLoad) {
                best = i;
                bestLoad = load;
            }
        }
        return best;
    }
};
} // namespace

std::unique_ptr<ChoicePolicy> makeShortestTimeChoice()
{
    return std::make_unique<ShortestTimeChoice>();
}

std::unique_ptr<ChoicePolicy> makePrefixAffinityChoice()
{
    return std::make_unique<PrefixAffinityChoice>();
}

std::unique_ptr<ChoicePolicy> makeLeastOutstandingChoice()
{
    return std::make_unique<LeastOutstandingChoice>();
}

} // namespace vanillanotch
