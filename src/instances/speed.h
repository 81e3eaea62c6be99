// What a node knows of an instance's speed and of the prompts that its cache holds. Part of the instances library; used under the lock of
// InstanceTable. Not thread-safe.
#pragma once

#include "base/base.h"

#include <unordered_map>

namespace vanillanotch
{

struct SpeedSettings {
    std::chrono::milliseconds halfLife{20000}; // after this time a measurement has half its weight
    // Weight of the assumption that the instance is as fast as expected; a new measurement has 1. One slow reply alone changes little.
    double usualWeight = 4;
    double maxRatio = 2.5; // of measured and expected time, and its inverse; beyond it other causes are likelier, for example a prefix that was evicted
    // A stated slowdown lasts some hundred milliseconds. After this time it counts half, on a logarithmic scale, and after `slowdownMaxAge` not at all.
    std::chrono::milliseconds slowdownHalfLife{150};
    std::chrono::milliseconds slowdownMaxAge{500};
};

// How long work takes at an instance, as a multiple of what is expected: learnt from its replies, and stated by it.
class InstanceSpeed
{
public:
    // A request took `time` where `expected` is usual for the service's instances. The part that the stated slowdown explains isn't learnt.
    void recordTime(Duration time, Duration expected, const SpeedSettings &settings, TimePoint now);
    void recordSlowdown(double slowdown, TimePoint now); // as the instance has just stated it; 1: as usual
    double learntFactor(const SpeedSettings &settings, TimePoint now) const; // approaches 1 without new measurements
    double statedFactor(const SpeedSettings &settings, TimePoint now) const; // approaches 1 as the statement gets older

private:
    double m_weight = 0; // of all measurements, at m_measuredAt
    double m_logFactors = 0; // weighted sum of the measured factors' logarithms, at m_measuredAt
    TimePoint m_measuredAt{};
    double m_slowdown = 1;
    TimePoint m_slowdownAt{};
};

// The prompt prefixes that an instance has read for this node lately, so that its cache probably holds them.
class RecentPrefixes
{
public:
    void record(std::uint64_t affinity, TimePoint now);
    bool contains(std::uint64_t affinity, TimePoint now) const;

private:
    static constexpr std::chrono::milliseconds MaxAge{30000}; // what an engine hasn't used for longer may have been evicted from its cache
    static constexpr std::size_t MaxCount = 32; // the oldest is replaced by the next one
    std::vector<std::pair<std::uint64_t, TimePoint>> m_prefixes; // and when they were read last
};

// Instances of a service among which the requests of all nodes are divided.
struct FleetSize {
    std::size_t nodes = 1;
    std::size_t instances = 1;
    std::size_t slots = 1; // of all instances
};

// How many instances the requests with a prompt prefix keep busy. A node measures its own rate and assumes that the others, which are given requests by
// the same load balancer, have the same. Load reports would say it too late: each node gets one only with a reply.
class PrefixDemand
{
public:
    void countRequest(std::uint64_t affinity, TimePoint now); // 0: no prefix
    void recordSlowdown() // an instance has stated one
    {
        m_uneven = true;
    }
    void recordHeld(Duration time); // from a request's beginning to the end of its reply
    // Number of instances, the first of the order, that are preferred for the prefix; 1 until an instance has stated a slowdown: others are used evenly
    // enough by the limit of load.
    std::size_t preferredCount(std::uint64_t affinity, const FleetSize &fleet, TimePoint now) const;

private:
    static constexpr std::chrono::milliseconds Span{15000}; // the rate is that of about this time
    static constexpr std::size_t MaxPrefixes = 256; // beyond it the rarest is removed
    struct Count { // of requests, each of which counts less as time passes
        double weight = 0;
        TimePoint at{};
        double weightAt(TimePoint now) const;
    };

    bool m_uneven = false; // an instance has stated a slowdown
    Count m_all;
    std::unordered_map<std::uint64_t, Count> m_prefixes;
    Duration m_heldTime{}; // moving average; zero: unknown
};

} // namespace vanillanotch
