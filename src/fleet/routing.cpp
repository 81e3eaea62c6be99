#include "fleet/fleet.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr double RemotePenalty = 1.25; // factor on the predicted time of a server in another data centre
constexpr double SafeSlackShare = 0.7; // a predicted time up to this share of the slack counts as in time

double occupancy(const ServerView &server)
{
    const double ownShare = static_cast<double>(server.inFlight) / std::max(1U, server.concurrency);
    return std::max(ownShare, server.reportedLoad);
}

// Chooses the server of the lowest score: a weighted sum of predicted time and cost. Predicted time beyond SafeSlackShare of the
// slack gets a penalty that is so high that a low price never outweighs a missed deadline.
class DeadlineCostRouting final : public RoutingPolicy
{
public:
    std::string_view name() const override
    {
        return "deadline_cost";
    }

    std::size_t choose(const RoutingInput &input, const std::vector<ServerView> &servers) override
    {
        const double safeTime = SafeSlackShare * static_cast<double>(std::max(input.slack, Duration(1)).count());
        double highestCost = 0;
        for (const ServerView &server : servers) {
            highestCost = std::max(highestCost, callCost(server));
        }
        std::size_t best = 0;
        double bestScore = 0;
        // Starts at a random server, so that servers of equal score share the work. A counter would not do: calls of
        // all stages would advance it in turn, so that the calls of one stage of a pipeline could start at the same server each time.
        const std::size_t start = m_random() % servers.size();
        for (std::size_t i = 0; i < servers.size(); ++i) {
            const std::size_t index = (start + i) % servers.size();
            const double score = scoreOf(servers[index], input, safeTime, highestCost);
            if (i == 0 || score < bestScore) {
                best = index;
                bestScore = score;
            }
        }
        return best;
    }

private:
    static double callCost(const ServerView &server)
    {
        return server.pricePerSecond * static_cast<double>(server.expectedTime.count());
    }

    static double scoreOf(const ServerView &server, const RoutingInput &input, double safeTime, double highestCost)
    {
        const double time = static_cast<double>(predictedTime(server).count()) * (server.local ? 1.0 : RemotePenalty);
        const double relativeTime = time / safeTime;
        const double relativeCost = highestCost > 0 ? callCost(server) / highestCost : 0;
        const double overrun = std::max(0.0, relativeTime - 1.0);
        return (1 - input.costWeight) * relativeTime + input.costWeight * relativeCost + 10 * overrun;
    }

    std::minstd_rand m_random; // guarded by the lock of BackendServerTable
};

class RoundRobinRouting final : public RoutingPolicy
{
public:
    std::string_view name() const override
    {
        return "round_robin";
    }

    std::size_t choose(const RoutingInput & /*input*/, const std::vector<ServerView> &servers) override
    {
        return m_next++ % servers.size();
    }

private:
    std::size_t m_next = 0; // guarded by the lock of BackendServerTable
};

class LeastOutstandingRouting final : public RoutingPolicy
{
public:
    std::string_view name() const override
    {
        return "least_outstanding";
    }

    std::size_t choose(const RoutingInput & /*input*/, const std::vector<ServerView> &servers) override
    {
        const auto leastBusy = std::min_element(servers.begin(), servers.end(), [](const ServerView &a, const ServerView &b) {
            return a.inFlight < b.inFlight;
        });
        return static_cast<std::size_t>(leastBusy - servers.begin());
    }
};
} // namespace

Duration predictedTime(const ServerView &server)
{
    // Batching servers slow down as they fill: twice the time at full occupancy, and more beyond it because calls queue.
    const double factor = 1.0 + std::max(0.0, occupancy(server));
    return Duration(static_cast<Duration::rep>(static_cast<double>(server.expectedTime.count()) * factor)) + server.networkDelay;
}

std::unique_ptr<RoutingPolicy> makeDeadlineCostRouting()
{
    return std::make_unique<DeadlineCostRouting>();
}

std::unique_ptr<RoutingPolicy> makeRoundRobinRouting()
{
    return std::make_unique<RoundRobinRouting>();
}

std::unique_ptr<RoutingPolicy> makeLeastOutstandingRouting()
{
    return std::make_unique<LeastOutstandingRouting>();
}

std::unique_ptr<RoutingPolicy> makeRouting(std::string_view name)
{
    if (name == "deadline_cost") {
        return makeDeadlineCostRouting();
    }
    if (name == "round_robin") {
        return makeRoundRobinRouting();
    }
    if (name == "least_outstanding") {
        return makeLeastOutstandingRouting();
    }
    return nullptr;
}

} // namespace vanillanotch
