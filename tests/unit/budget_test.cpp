// Memory and descriptors that callers may make a node use: the budget, which connections are closed when it is short, and how a VM is divided. No network;
// time is a number that the tests advance.
#include "entry/entry.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <thread>

using namespace vanillanotch;
using std::chrono::milliseconds;

namespace
{
constexpr std::size_t KibiByte = 1024;
constexpr std::size_t MebiByte = 1024 * 1024;
constexpr milliseconds MinStall{250};

BudgetLimits makeLimits()
{
    BudgetLimits limits;
    limits.total = 20 * MebiByte;
    limits.perHolder = 16 * MebiByte;
    limits.reserve = 2 * MebiByte;
    limits.smallHolder = 128 * KibiByte;
    return limits;
}
} // namespace

TEST_GROUP(MemoryBudgets){};

// A few callers with long bodies must leave room for those with short ones; one caller must not take it all.
TEST(MemoryBudgets, LongHoldersLeaveTheReserveToShortOnes)
{
    MemoryBudget budget(makeLimits());
    MemoryReservation first(budget);
    MemoryReservation second(budget);
    MemoryReservation small(budget);
    CHECK_FALSE(first.resize(17 * MebiByte));
    CHECK(first.resize(16 * MebiByte));
    CHECK_FALSE(second.resize(3 * MebiByte));
    CHECK(second.resize(2 * MebiByte));
    CHECK(small.resize(128 * KibiByte));
    CHECK_FALSE(small.resize(129 * KibiByte));
    LONGS_EQUAL(128 * KibiByte, small.bytes());
}

// Memory that isn't given back on some path would make a node refuse everybody after a while.
TEST(MemoryBudgets, EverythingIsGivenBackByManyThreads)
{
    MemoryBudget budget(makeLimits());
    std::atomic<bool> exceeded{false};
    std::vector<std::thread> threads;
    for (unsigned seed = 1; seed <= 4; ++seed) {
        threads.emplace_back([&budget, &exceeded, seed] {
            std::mt19937 random(seed);
            for (int round = 0; round < 2000; ++round) {
                MemoryReservation reservation(budget);
                (void)reservation.resize(random() % (8 * MebiByte));
                (void)reservation.resize(random() % (8 * MebiByte));
                exceeded = exceeded || budget.used() > makeLimits().total;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK_FALSE(exceeded);
    LONGS_EQUAL(0, budget.used());
}

TEST_GROUP(Evictions)
{
    std::unique_ptr<EvictionPolicy> policy = makeLongestStalledFirst(MinStall);
};

TEST(Evictions, TheLongestStalledAreClosedUntilEnoughIsFree)
{
    const std::vector<StalledConnection> connections = {StalledConnection{1, 100 * KibiByte, milliseconds(300), false},
                                                        StalledConnection{2, 100 * KibiByte, milliseconds(900), false},
                                                        StalledConnection{3, 100 * KibiByte, milliseconds(600), false}};
    const std::vector<int> chosen = policy->choose(connections, EvictionNeed{150 * KibiByte, 0});
    CHECK((chosen == std::vector<int>{2, 3}));
}

// Guards against closing ordinary callers whose next packet is on its way, and many connections that hold next to nothing.
TEST(Evictions, NeitherThoseWithProgressNorThoseThatHoldNothingAreClosedForMemory)
{
    const std::vector<StalledConnection> connections = {StalledConnection{1, 100 * KibiByte, milliseconds(249), false},
                                                        StalledConnection{2, 0, milliseconds(9000), true},
                                                        StalledConnection{3, KibiByte, milliseconds(9000), false}};
    CHECK(policy->choose(connections, EvictionNeed{100 * KibiByte, 0}).empty());
}

TEST(Evictions, IdleConnectionsAreClosedFirstForDescriptors)
{
    const std::vector<StalledConnection> connections = {StalledConnection{1, 100 * KibiByte, milliseconds(9000), false},
                                                        StalledConnection{2, 0, milliseconds(300), true}, StalledConnection{3, 0, milliseconds(400), true}};
    const std::vector<int> chosen = policy->choose(connections, EvictionNeed{0, 2});
    CHECK((chosen == std::vector<int>{3, 2}));
}

// The load of the trial that ended a process: each 5 ms another caller sends 1 MB in pieces of 64 KB, most stop short, for 20 s. Ordinary requests of 64 KB
// come in between, take 50 ms, and must all get memory; those of the crowd may be closed or refused.
TEST(Evictions, OrdinaryRequestsGetMemoryBesideACrowdOfStalledBodies)
{
    struct Holder {
        std::unique_ptr<MemoryReservation> reservation;
        milliseconds movedAt;
        std::size_t wanted;
    };
    MemoryBudget budget(makeLimits());
    std::mt19937 random(7);
    std::map<int, Holder> crowd;
    std::vector<std::pair<milliseconds, std::unique_ptr<MemoryReservation>>> ordinary;
    int next = 0;
    unsigned refused = 0;
    std::size_t evicted = 0;
    const auto take = [&](MemoryReservation &reservation, std::size_t bytes, milliseconds now) {
        if (reservation.resize(bytes)) {
            return true;
        }
        std::vector<StalledConnection> candidates;
        for (const auto &[id, holder] : crowd) {
            if (holder.reservation.get() != &reservation) {
                candidates.push_back(StalledConnection{id, holder.reservation->bytes(), now - holder.movedAt, false});
            }
        }
        for (const int id : policy->choose(std::move(candidates), EvictionNeed{bytes - reservation.bytes(), 0})) {
            crowd.erase(id);
            ++evicted;
        }
        return reservation.resize(bytes);
    };
    for (milliseconds now{0}; now < milliseconds(20000); now += milliseconds(5)) {
        crowd.emplace(++next, Holder{std::make_unique<MemoryReservation>(budget), now, random() % MebiByte});
        std::vector<int> ids;
        for (const auto &[id, holder] : crowd) {
            ids.push_back(id);
        }
        for (const int id : ids) {
            const auto found = crowd.find(id);
            if (found == crowd.end() || found->second.reservation->bytes() >= found->second.wanted) {
                continue;
            }
            if (take(*found->second.reservation, found->second.reservation->bytes() + 64 * KibiByte, now)) {
                found->second.movedAt = now;
            } else {
                crowd.erase(id);
            }
        }
        auto reservation = std::make_unique<MemoryReservation>(budget);
        refused += take(*reservation, 64 * KibiByte, now) ? 0 : 1;
        ordinary.emplace_back(now + milliseconds(50), std::move(reservation));
        while (ordinary.front().first <= now) {
            ordinary.erase(ordinary.begin());
        }
        CHECK(budget.used() <= makeLimits().total);
    }
    LONGS_EQUAL(0, refused);
    CHECK(evicted > 0);
}

TEST_GROUP(Capacities){};

// The smallest and the largest VM of the deployments, and that of clients_test. The parts must not exceed the whole, and a single request of the largest
// size must fit: its body, the copy that is sent to the server, and the largest reply.
TEST(Capacities, ThePartsOfAVmFitIntoItAndHoldTheLargestRequest)
{
    for (const auto &[memory, descriptors] : std::vector<std::pair<std::size_t, std::size_t>>{{120'000'000, 3075}, {512'000'000, 10250}, {80'000'000, 1200}}) {
        const NodeCapacity capacity = planCapacity(memory, descriptors);
        const ForwardSettings settings;
        const std::size_t largest = 2 * FrontLimits{}.maxBodyBytes + settings.maxReplyBytes + settings.bytesOfRun + 64 * KibiByte;
        CHECK(largest <= capacity.callers.memory.perHolder);
        CHECK(capacity.callers.memory.total + capacity.peers.memory.total + capacity.readiness.memory.total <= memory / 2);
        CHECK(capacity.callers.maxConnections + capacity.peers.maxConnections + capacity.readiness.maxConnections + 2 * capacity.runningRequests
              <= descriptors);
        CHECK(capacity.runningRequests >= 100);
        CHECK(capacity.callers.maxConnections > capacity.runningRequests);
    }
}
