#include "instances/instances.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace vanillanotch
{

double prefixRank(std::uint64_t affinity, const InstanceSpec &spec)
{
    // -1 / log(u) with u uniform in (0, 1): for equal slots the order of the hashes. 52 bits, since u must not be rounded to 1.
    const double uniform = std::ldexp(static_cast<double>(stableHash(std::to_string(affinity) + spec.id) >> 12) + 0.5, -52);
    return -static_cast<double>(std::max(1U, spec.slots)) / std::log(uniform);
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
// Another instance than the preferred one is chosen if its predicted time is less than this share of the preferred one's and also shorter by
// MinGain. Random factors and differences in load below AffinityLoadLimit are smaller, so that equal instances keep their prompts.
constexpr double KeepFactor = 0.7;
constexpr Duration MinGain = std::chrono::milliseconds(50);
// Of the instances that don't have the prefix, only so many are compared, the first of the order: all nodes then give a prefix the same further ones.
constexpr unsigned MaxNewPreferred = 2;
constexpr Duration QueueTime = std::chrono::milliseconds(2000); // how long a request waits for a slot where as many requests wait as there are slots
constexpr double UnsoundPenalty = 10; // seconds; added to the predicted time of an instance that is slow, fails often or was unreachable
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
            const double seconds = std::chrono::duration<double>(time).count() * queueFactor * failureFactor * view.slowdown;
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
        std::vector<std::size_t> order(views.size());
        std::iota(order.begin(), order.end(), 0);
        std::sort(order.begin(), order.end(), [&views](std::size_t a, std::size_t b) {
            return views[a].prefixRank > views[b].prefixRank;
        });
        const bool timeKnown = input.expectedTime > Duration::zero();
        order.erase(std::remove_if(order.begin(), order.end(),
                                   [&views](std::size_t index) {
                                       return !sound(views[index]);
                                   }),
                    order.end());
        const std::size_t preferredCount = std::min(timeKnown ? input.preferredCount : 1, order.size());
        const auto hasRoom = [&views](std::size_t index) {
            return views[index].load < AffinityLoadLimit;
        };
        const auto homes = std::stable_partition(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(preferredCount), hasRoom);
        const auto candidates = std::stable_partition(homes, order.end(), hasRoom);
        if (candidates == order.begin()) {
            return timeKnown ? shortestOfAll(input, views) : m_fallback.choose(input, views);
        }
        if (!timeKnown) {
            return order.front();
        }
        order.erase(candidates, order.end());
        const auto homeCount = std::max<std::size_t>(1, static_cast<std::size_t>(homes - order.begin()));
        return preferredOrBetter(input, views, order, homeCount);
    }

private:
    using Position = std::vector<std::size_t>::const_iterator;

    static bool sound(const InstanceView &view)
    {
        return !view.recentlyUnreachable && !view.slow && view.failureRate < AffinityFailureLimit;
    }
    // Seconds until the first event, with a random factor.
    static double predictedTime(const ChoiceInput &input, const InstanceView &view, bool hasPrefix)
    {
        const auto seconds = [](Duration time) {
            return std::chrono::duration<double>(time).count();
        };
        const double reading = hasPrefix ? 0.0 : seconds(input.timePerToken) * input.sharedTokens;
        const double work = (seconds(input.expectedTime) + reading) * view.timeFactor * view.slowdown;
        const double queue = std::max(0.0, view.load - AffinityLoadLimit) * seconds(QueueTime);
        const double time = (work + queue) * (1.0 + FailureWeight * view.failureRate) + (view.inPreferredDataCentre ? 0.0 : seconds(RemoteRoundTrip));
        return time * (1.0 + JitterWidth * (randomFraction() - 0.5));
    }
    // Position in `order` of one of the first `count`, at random, in proportion to their speeds and to the room that they have.
    static std::size_t drawPreferred(const std::vector<InstanceView> &views, const std::vector<std::size_t> &order, std::size_t count)
    {
        const auto weight = [&](std::size_t position) {
            const InstanceView &view = views[order[position]];
            return (AffinityLoadLimit - view.load) / view.timeFactor;
        };
        double total = 0;
        for (std::size_t i = 0; i < count; ++i) {
            total += weight(i);
        }
        double draw = randomFraction() * total;
        for (std::size_t i = 0; i + 1 < count; ++i) {
            draw -= weight(i);
            if (draw < 0) {
                return i;
            }
        }
        return count - 1;
    }
    // `order`: the instances with room, in the order of preference; the first `preferredCount` of them probably have the prefix.
    static std::size_t preferredOrBetter(const ChoiceInput &input, const std::vector<InstanceView> &views, const std::vector<std::size_t> &order,
                                         std::size_t preferredCount)
    {
        const std::size_t preferred = drawPreferred(views, order, preferredCount);
        const double preferredTime = predictedTime(input, views[order[preferred]], true);
        double bestTime = std::min(preferredTime * KeepFactor, preferredTime - std::chrono::duration<double>(MinGain).count());
        std::size_t best = preferred;
        unsigned newOnes = 0;
        for (std::size_t i = 0; i < order.size(); ++i) {
            const InstanceView &view = views[order[i]];
            const bool hasPrefix = view.hasPrefix || i < preferredCount;
            if (i == preferred || (!hasPrefix && ++newOnes > MaxNewPreferred)) {
                continue;
            }
            if (const double time = predictedTime(input, view, hasPrefix); time < bestTime) {
                best = i;
                bestTime = time;
            }
        }
        return order[best];
    }
    static std::size_t shortestOfAll(const ChoiceInput &input, const std::vector<InstanceView> &views)
    {
        std::vector<double> times;
        times.reserve(views.size());
        for (const InstanceView &view : views) {
            times.push_back(predictedTime(input, view, view.hasPrefix) + (sound(view) ? 0.0 : UnsoundPenalty));
        }
        return static_cast<std::size_t>(std::min_element(times.begin(), times.end()) - times.begin());
    }

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
