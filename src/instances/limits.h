// Limits that instances state, and how nodes share them. Included by instances.h; InstanceTable asks these classes.
//
// Index of sections:
//   [STATEMENTS] InstanceStatement: what an instance says of itself
//   [LIMITS]     planLimitHolders(): which nodes may send requests to a limited instance; RequestLimiter: spaces them; RequestRate
#pragma once

#include "base/base.h"

#include <map>
#include <optional>

namespace vanillanotch
{

struct InstanceSpec;
struct NodePlace;

//-----------------------------------------------------------------------------
// [STATEMENTS]
//-----------------------------------------------------------------------------

// What an instance says of itself in a reply.
struct InstanceStatement {
    std::optional<double> requestsPerSecond; // that it takes from all nodes together, at least 0; nullopt: it states no limit
    bool leaving = false; // it is about to stop, and wants no further requests
    std::chrono::milliseconds pause{0}; // it wants nothing from this node for so long
    std::optional<std::chrono::milliseconds> coldRemaining = std::nullopt; // time for which it stays cold; nullopt: it says nothing of this
};

//-----------------------------------------------------------------------------
// [LIMITS]
//-----------------------------------------------------------------------------

// The nodes that may send requests to each instance once it has stated a limit, its holders: by instance id. `instances`: all of one service.
// Every node makes the same plan from the same input. The instances of a data centre are dealt out evenly to the nodes there, so that one that is
// cut off can use its own; each node is the holder of at least one instance, and only as many nodes share an instance as that takes. Nodes in
// a data centre without instances count as being in one of the others, instances in a data centre without nodes are dealt out to all nodes.
std::map<std::string, std::vector<std::string>> planLimitHolders(const std::vector<InstanceSpec> &instances, const std::vector<NodePlace> &nodes);

// A node's part of an instance's limit.
struct LimitShare {
    bool holder = true; // this node may send requests
    std::size_t holders = 1; // nodes that may, this one included
    std::size_t nodes = 1; // all nodes
    std::size_t rank = 0; // of this node among all, from 0; differs from node to node, and the order from instance to instance
};

struct LimitSettings {
    double minRate = 0.1; // requests a second; a lower limit counts as this one, since only a request can show that the limit has ended
    // Requests that an instance may get at once after it has got none for a while, from all of its holders.
    double burst = 3;
    // A node that isn't a holder sends a request at this interval, to learn whether the limit has ended, the first one half an interval to one and a
    // half after it has heard of the limit: nodes that have heard at the same moment take turns in the order of their ranks. The interval is longer
    // where the requests of all nodes would take more than `recheckShare` of the limit.
    std::chrono::milliseconds recheckInterval{15000};
    double recheckShare = 0.1;
};

// Spaces the requests of one node to one instance while that states a limit: a token bucket. Not thread-safe.
class RequestLimiter
{
public:
    void record(const InstanceStatement &statement, const LimitShare &share, const LimitSettings &settings, double random, TimePoint now); // `random`: 0 to 1
    bool limited() const
    {
        return m_rate > 0;
    }
    double rateOf(const LimitShare &share) const // requests a second that this node may send; 0: not limited, or not a holder
    {
        return share.holder ? m_rate / static_cast<double>(share.holders) : 0;
    }
    double requestsPerSecond() const // 0: not limited
    {
        return m_rate;
    }
    TimePoint allowedAt(const LimitShare &share, const LimitSettings &settings, TimePoint now); // when the next request may be sent; in the past: at once
    void countRequest(const LimitShare &share, const LimitSettings &settings, TimePoint now);

private:
    void refill(const LimitShare &share, const LimitSettings &settings, TimePoint now);
    Duration recheckInterval(const LimitShare &share, const LimitSettings &settings) const;

    double m_rate = 0; // requests a second of all nodes; 0: not limited
    double m_tokens = 0; // a request takes one
    TimePoint m_refilledAt{};
    TimePoint m_recheckAt{}; // when a node that isn't a holder may send its next request
};

// How many requests a second came within about the last two seconds. Not thread-safe.
class RequestRate
{
public:
    void count(TimePoint now);
    double perSecond(TimePoint now) const;

private:
    static constexpr std::chrono::milliseconds Span{2000};
    double weightAt(TimePoint now) const;

    double m_weight = 0; // number of requests, each of which counts less as time passes
    TimePoint m_countedAt{};
};

} // namespace vanillanotch
