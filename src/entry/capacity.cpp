// How a node divides the memory and the descriptors of its VM.
#include "entry/entry.h"

#include <algorithm>
#include <sys/resource.h>

namespace vanillanotch
{

namespace
{
// Memory that isn't divided: the program, the tables and the threads that every node has. A node without load takes 11 to 13 MB.
constexpr std::size_t BaseMemory = 24'000'000;
// The rest is halved: one half is the budgets, the other one is for what isn't counted (stacks of threads, buffers of calls to servers, fragmentation).
constexpr std::size_t BudgetDivisor = 2;
constexpr double CallerShare = 0.8; // of the budgets' half; peers and readiness checks have the rest
constexpr double ReadinessShare = 0.02;
constexpr double PeerShare = 0.18;
constexpr std::size_t MinReadinessMemory = 512 * 1024;
constexpr std::size_t ReserveDivisor = 8; // this part of a budget is left for small requests
constexpr double ParkedShare = 0.6; // of what isn't reserved, for all connections that wait for their callers
constexpr std::size_t MemoryOfRun = 96 * 1024; // of the uncounted half, for the thread of a running request and its call to a server

constexpr std::size_t OwnDescriptors = 60; // the node's files, listeners, timers and calls to the store
constexpr double CallerDescriptorShare = 0.4;
constexpr double ReadinessDescriptorShare = 0.05;
constexpr double PeerDescriptorShare = 0.15;
constexpr std::size_t MinReadinessConnections = 16;
constexpr std::size_t MinPeerConnections = 30;
constexpr std::size_t DescriptorsOfRun = 2; // of a running request beside its caller's connection: the call to its server and a signal
constexpr std::size_t MinRuns = 8;
constexpr std::size_t MaxRuns = 400; // more threads than this make a node with a part of a core slower
constexpr std::size_t BlockedStreamDivisor = 4; // this part of the running requests may be streams that their callers don't take

std::size_t share(std::size_t total, double part)
{
    return static_cast<std::size_t>(static_cast<double>(total) * part);
}

FrontCapacity frontCapacity(std::size_t memory, std::size_t connections, std::size_t runs)
{
    FrontCapacity capacity;
    capacity.memory.total = memory;
    capacity.memory.reserve = memory / ReserveDivisor;
    capacity.memory.perHolder = memory - capacity.memory.reserve;
    capacity.maxParkedBytes = share(capacity.memory.perHolder, ParkedShare);
    capacity.maxConnections = connections;
    capacity.maxBlockedStreams = std::max<std::size_t>(1, runs / BlockedStreamDivisor);
    return capacity;
}
} // namespace

NodeCapacity planCapacity(std::size_t memory, std::size_t descriptors)
{
    const std::size_t budgets = (std::max(memory, 2 * BaseMemory) - BaseMemory) / BudgetDivisor;
    const std::size_t callers = share(descriptors, CallerDescriptorShare);
    const std::size_t readiness = std::max(MinReadinessConnections, share(descriptors, ReadinessDescriptorShare));
    const std::size_t peers = std::max(MinPeerConnections, share(descriptors, PeerDescriptorShare));
    const std::size_t taken = callers + readiness + peers + OwnDescriptors;
    const std::size_t runsByDescriptors = (descriptors - std::min(descriptors, taken)) / DescriptorsOfRun;
    NodeCapacity capacity;
    capacity.runningRequests = std::clamp(std::min(runsByDescriptors, budgets / MemoryOfRun), MinRuns, MaxRuns);
    capacity.callers = frontCapacity(share(budgets, CallerShare), callers, capacity.runningRequests);
    capacity.readiness = frontCapacity(std::max(MinReadinessMemory, share(budgets, ReadinessShare)), readiness, capacity.runningRequests);
    capacity.peers = frontCapacity(share(budgets, PeerShare), peers, capacity.runningRequests);
    return capacity;
}

std::size_t descriptorLimit(std::size_t stated)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return stated > 0 ? stated : FrontCapacity{}.maxConnections;
    }
    const auto system = static_cast<std::size_t>(limit.rlim_cur);
    return stated > 0 ? std::min(stated, system) : system;
}

} // namespace vanillanotch
