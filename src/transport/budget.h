// Part of the transport library: the memory that a server may hold on behalf of its callers, and which connections are closed when it is short.
//
// Rules that are enforced here alone: memory is taken from the budget before it is filled; one connection, and all connections beyond a small
// amount each, leave a reserve for the others; what a holder took is given back when its reservation is destroyed.
#pragma once

#include "base/base.h"

namespace vanillanotch
{

struct BudgetLimits {
    std::size_t total = 192 * 1024 * 1024; // bytes of all reservations together
    std::size_t perHolder = 64 * 1024 * 1024; // bytes of one reservation
    std::size_t reserve = 16 * 1024 * 1024; // part of `total` that is left for reservations of at most smallHolder bytes
    std::size_t smallHolder = 128 * 1024; // an ordinary request with its head, its body and what the node needs to run it
};

// What a FrontServer may use for its callers. The defaults are for programs of tests; a node derives its own from its VM (planCapacity() in entry/entry.h).
struct FrontCapacity {
    BudgetLimits memory;
    std::size_t maxConnections = 10'000; // accepting pauses at this number, and idle or stalled connections are closed to make room
    // Connections that wait for their callers' bytes may hold this much together; beyond it those that have stalled longest are closed.
    std::size_t maxParkedBytes = 128 * 1024 * 1024;
    // Streams whose callers don't take them may occupy this many threads; beyond it those that have stalled longest are closed.
    std::size_t maxBlockedStreams = 100;
};

// What a FrontServer has done against a shortage, since its start.
struct FrontCounts {
    std::uint64_t refusedForMemory = 0; // requests answered with 503 because memory was short
    std::uint64_t evicted = 0; // connections closed because memory, descriptors or threads were short
    std::uint64_t acceptPauses = 0; // times at which accepting paused for want of descriptors
};

// Thread-safe; takes no lock unless somebody waits for memory.
class MemoryBudget
{
public:
    explicit MemoryBudget(const BudgetLimits &limits);
    const BudgetLimits &limits() const
    {
        return m_limits;
    }
    std::size_t used() const
    {
        return m_used;
    }
    // Bytes that were given back since the last call with more than `threshold` of them; 0: fewer were. For returning freed memory to the system.
    std::size_t takeReleased(std::size_t threshold);
    // Waits until memory is given back, `until` at the latest.
    void awaitRelease(TimePoint until);

private:
    friend class MemoryReservation;
    bool tryTake(std::size_t bytes, std::size_t held); // `held`: what the holder has already
    void giveBack(std::size_t bytes);

    const BudgetLimits m_limits;
    std::atomic<std::size_t> m_used{0};
    std::atomic<std::size_t> m_released{0};
    std::atomic<unsigned> m_waiting{0};
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_wake;
};

// What one holder has taken from a budget. Only one thread at a time may use it.
class MemoryReservation
{
public:
    explicit MemoryReservation(MemoryBudget &budget);
    ~MemoryReservation();
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;
    // Takes or gives back memory, so that the reservation has this many bytes. Giving back always succeeds. False: the budget is short; the
    // reservation stays as it was.
    bool resize(std::size_t bytes);
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    MemoryBudget &m_budget;
    std::size_t m_bytes = 0;
};

// Grants memory to code that is about to fill it.
class MemoryGrant
{
public:
    virtual ~MemoryGrant() = default;
    virtual bool hold(std::size_t bytes) = 0; // all that the code will hold then; false: refused
};

void freeMemory(std::string &text); // unlike clear() and the assignment of an empty string, which keep what is allocated

// Has `text` hold at least `bytes` bytes, and mostly twice as many as before, but not more than `limit` unless needed. `others`: what else the code
// holds. False: there is no memory, and `text` is as it was. Allocates exactly what it asks for, unlike std::string::reserve().
bool growWithin(std::string &text, std::size_t bytes, std::size_t limit, std::size_t others, MemoryGrant &memory);

// A connection that waits for its caller, either for bytes of a request or for the caller to read a reply.
struct StalledConnection {
    int descriptor = -1;
    std::size_t bytes = 0; // that closing it gives back
    Duration stalled{}; // since the caller has last made progress
    bool idle = false; // no request has been begun on it
};

// How much closing connections must give back.
struct EvictionNeed {
    std::size_t bytes = 0;
    std::size_t connections = 0;
};

// Decides which connections are closed when memory, descriptors or threads are short.
class EvictionPolicy
{
public:
    virtual ~EvictionPolicy() = default;
    // Returns the descriptors of the connections to be closed; less than is needed when too few may be closed.
    virtual std::vector<int> choose(std::vector<StalledConnection> connections, const EvictionNeed &need) const = 0;
};

// Closes those that have stalled longest. A connection without progress for less than `minStall` is never closed: an ordinary caller's next bytes may
// be on their way. Idle connections are closed before others for descriptors; those that hold next to nothing aren't closed for memory.
std::unique_ptr<EvictionPolicy> makeLongestStalledFirst(Duration minStall);

} // namespace vanillanotch
