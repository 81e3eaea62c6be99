// vanillanotch-entryd nodes that reach callers, the store and each other, but no backend server: real processes, whose new connections to servers fail.
#include "entry_cluster.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <thread>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr seconds NoticeTime{2}; // from the partition until a node must serve again; the users' pages allow 3 s
constexpr int Calls = 8; // of each kind, to each node
constexpr milliseconds CallDeadline{2000};
constexpr std::array<CallKind, 4> Kinds{CallKind::Idempotent, CallKind::NonIdempotent, CallKind::StagedStream, CallKind::ResumableStream};
} // namespace

TEST_GROUP(Stranded)
{
    std::unique_ptr<EntryCluster> cluster;

    void teardown() override
    {
        cluster.reset();
    }
    void start(std::size_t nodesOfFirst, std::size_t nodesOfSecond)
    {
        cluster = std::make_unique<EntryCluster>("stranded");
        cluster->addDefaultServers();
        cluster->writeConfiguration({"key-1"});
        NodeOptions separable;
        separable.separable = true;
        for (std::size_t i = 0; i < nodesOfFirst + nodesOfSecond; ++i) {
            cluster->addNode(i < nodesOfFirst ? "dc1" : "dc2", separable);
        }
        CHECK(cluster->awaitReady());
        std::this_thread::sleep_for(seconds(2)); // the nodes know each other and what each owns
        LONGS_EQUAL(static_cast<long>(4 * Calls * cluster->nodeCount()), static_cast<long>(served("before")));
    }
    void partition(const std::vector<std::size_t> &nodes, Partition how)
    {
        for (const std::size_t node : nodes) {
            cluster->partitionFromServers(node, how);
        }
    }
    // Sends requests of all kinds to all nodes and returns how many were answered with success. Those of a node and kind come one after the other.
    std::size_t served(const std::string &phase)
    {
        std::atomic<std::size_t> good{0};
        std::vector<std::thread> callers;
        std::vector<std::string> faults(cluster->nodeCount() * Kinds.size());
        for (std::size_t caller = 0; caller < faults.size(); ++caller) {
            callers.emplace_back([this, caller, &good, &faults, &phase] {
                const std::size_t node = caller / Kinds.size();
                const CallKind kind = Kinds.at(caller % Kinds.size());
                for (int i = 0; i < Calls; ++i) {
                    EntryCall call;
                    call.kind = kind;
                    call.deadline = CallDeadline;
                    call.attempt = phase + "-" + std::to_string(node) + "-" + std::to_string(i) + "-" + std::to_string(static_cast<int>(kind));
                    const EntryAnswer answer = callEntry(cluster->callerAddress(node), call);
                    faults[caller] += describeFault(call, answer);
                    good += answer.status == 200 && answer.complete ? 1 : 0;
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        for (const std::string &fault : faults) {
            CHECK_TEXT(fault.empty(), fault.c_str());
        }
        return good;
    }
    void checkExecutions() // each request at most once, except those that may be repeated
    {
        std::map<std::string, unsigned> runs;
        for (const Execution &execution : cluster->executions()) {
            ++runs[execution.attempt];
        }
        for (const auto &[attempt, count] : runs) {
            const bool once = attempt.back() == static_cast<char>('0' + static_cast<int>(CallKind::NonIdempotent));
            CHECK_TEXT(!once || count == 1, attempt.c_str());
        }
    }
    // While the nodes are cut off, and after their return, nine in ten requests are served at all nodes.
    void checkServed(const std::vector<std::size_t> &nodes, Partition how)
    {
        partition(nodes, how);
        (void)served("notice"); // the nodes notice by requests; these may fail
        std::this_thread::sleep_for(NoticeTime);
        const std::size_t all = 4 * Calls * cluster->nodeCount();
        const std::size_t during = served("during");
        CHECK_TEXT(during * 10 >= all * 9, (std::to_string(during) + " of " + std::to_string(all) + " served").c_str());
        partition(nodes, Partition::None);
        std::this_thread::sleep_for(NoticeTime);
        const std::size_t after = served("after");
        CHECK_TEXT(after * 10 >= all * 9, (std::to_string(after) + " of " + std::to_string(all) + " served afterwards").c_str());
        checkExecutions();
    }
};

// Guards against callers of a node without servers who are served far worse than others (RECOVER, issue 61), and against others who wait for what it owns.
TEST(Stranded, ANodeWhoseConnectionsAreRefusedServesThroughAnotherNode)
{
    start(2, 1);
    checkServed({0}, Partition::Refused);
}

TEST(Stranded, ANodeWhoseConnectionsHangServesThroughAnotherNode)
{
    start(2, 1);
    checkServed({0}, Partition::Hanging);
}

// The same where no other node of the data centre can help.
TEST(Stranded, AWholeDataCentreServesThroughTheOther)
{
    start(2, 2);
    checkServed({0, 1}, Partition::Refused);
}

// Guards against requests that run twice, or nodes that stay without a way, when the node that makes the connections is killed.
TEST(Stranded, AGatewayThatIsKilledIsReplaced)
{
    start(2, 1);
    partition({0}, Partition::Refused);
    (void)served("notice");
    std::thread killer([this] {
        std::this_thread::sleep_for(milliseconds(50));
        cluster->restartNode(1);
    });
    (void)served("killed");
    killer.join();
    CHECK(cluster->awaitReady());
    std::this_thread::sleep_for(NoticeTime);
    const std::size_t all = 4 * Calls * cluster->nodeCount();
    const std::size_t after = served("after");
    CHECK_TEXT(after * 10 >= all * 9, (std::to_string(after) + " of " + std::to_string(all) + " served afterwards").c_str());
    checkExecutions();
}

// Guards against requests that go round between nodes of which none reaches a server: they are refused, and the nodes serve again afterwards.
TEST(Stranded, WhereNoNodeReachesAServerRequestsAreRefusedSoon)
{
    start(2, 1);
    partition({0, 1, 2}, Partition::Refused);
    (void)served("notice");
    const TimePoint begun = std::chrono::steady_clock::now();
    for (int i = 0; i < Calls; ++i) {
        EntryCall call;
        call.attempt = "none-" + std::to_string(i);
        call.deadline = seconds(4);
        const EntryAnswer answer = callEntry(cluster->callerAddress(0), call);
        LONGS_EQUAL(503, answer.status);
    }
    CHECK(std::chrono::steady_clock::now() - begun < Calls * seconds(2)); // half of their deadline
    partition({0, 1, 2}, Partition::None);
    std::this_thread::sleep_for(NoticeTime);
    const std::size_t all = 4 * Calls * cluster->nodeCount();
    CHECK(served("after") * 10 >= all * 9);
    checkExecutions();
}
