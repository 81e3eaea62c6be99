#include "instances/instances.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace vanillanotch
{

namespace
{
constexpr auto RemotePenalty = std::chrono::milliseconds(3); // there and back between data centres
constexpr auto UnknownTime = std::chrono::milliseconds(20); // an untried instance looks fast, so that it gets tried
constexpr double FailureWeight = 4.0; // a server that fails all requests looks this many times slower
constexpr double FreeLoad = 0.5; // places in use up to which a server doesn't queue
constexpr double JitterWidth = 0.2; // of predicted times: nodes that see the same figures spread out
constexpr double HomeFailureLimit = 0.35; // recent failures above this share: the prompt's next home is better
constexpr double HomeLoadLimit = 0.85; // places in use at the home: beyond it reading the prompt again costs less

double randomTie()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

class ShortestTimeChoice final : public ChoicePolicy
{
public:
    std::size_t choose(const ChoiceInput & /*input*/, const std::vector<InstanceView> &views) override
    {
        const auto predicted = [](const InstanceView &view) {
            const Duration time = view.averageTime == Duration::zero() ? Duration(UnknownTime) : view.averageTime;
            const double queued = 1.0 + std::max(0.0, view.load - FreeLoad);
            const double failing = 1.0 + FailureWeight * view.failureRate;
            const double seconds = std::chrono::duration<double>(time).count() * queued * failing;
            return seconds + (view.inPreferredDataCentre ? 0.0 : std::chrono::duration<double>(RemotePenalty).count());
        };
        std::size_t best = 0;
        double bestTime = 0;
        for (std::size_t i = 0; i < views.size(); ++i) {
            const double jitter = 1.0 + JitterWidth * (randomTie() - 0.5);
            const double time = predicted(views[i]) * jitter;
            if (i == 0 || time < bestTime) {
                best = i;
                bestTime = time;
            }
        }
        return best;
    }
};

class PromptHomeChoice final : public ChoicePolicy
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
            if (!view.suspected && view.failureRate < HomeFailureLimit && view.load < HomeLoadLimit) {
                return index;
            }
        }
        return ranked.front().second;
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
            const double load = views[i].outstanding + randomTie();
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
    return std::make_unique<PromptHomeChoice>();
}

std::unique_ptr<ChoicePolicy> makeLeastOutstandingChoice()
{
    return std::make_unique<LeastOutstandingChoice>();
}

} // namespace vanillanotch
