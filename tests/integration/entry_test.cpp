// Nodes on a stand-in of the users' platform: every kind of request, planned work, an unreachable store.
#include "entry_cluster.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <fstream>
#include <thread>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
std::string nextAttempt()
{
    static std::atomic<int> number{0};
    return "a" + std::to_string(++number);
}

EntryCall callOf(CallKind kind)
{
    EntryCall call;
    call.kind = kind;
    call.attempt = nextAttempt();
    return call;
}

std::size_t runsOf(const EntryCluster &deployment, const std::string &attempt)
{
    const std::vector<Execution> runs = deployment.executions();
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](const Execution &run) {
        return run.attempt == attempt;
    }));
}
} // namespace

TEST_GROUP(Entry)
{
    std::unique_ptr<EntryCluster> deployment;

    void setup() override
    {
        deployment = std::make_unique<EntryCluster>("entry");
        deployment->addDefaultServers();
        deployment->writeConfiguration({"key-1"});
        deployment->addNode("dc1");
        deployment->addNode("dc2");
        CHECK(deployment->awaitReady());
    }
    void teardown() override
    {
        deployment.reset();
    }
    EntryAnswer ask(std::size_t node, const EntryCall &call)
    {
        const EntryAnswer answer = callEntry(deployment->callerAddress(node), call);
        STRCMP_EQUAL("", describeFault(call, answer).c_str());
        return answer;
    }
};

// A port that outgoing connections use too may be taken when the node is started again.
TEST(Entry, NodesListenBelowThePortsOfOutgoingConnections)
{
    const std::string address = deployment->callerAddress(0);
    std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
    int firstOutgoing = 0;
    range >> firstOutgoing;
    CHECK(!range.fail());
    CHECK(std::stoi(address.substr(address.rfind(':') + 1)) < firstOutgoing);
}

TEST(Entry, EveryKindOfRequestIsServedWhole)
{
    for (const CallKind kind : {CallKind::Idempotent, CallKind::NonIdempotent, CallKind::StagedStream, CallKind::ResumableStream}) {
        for (std::size_t node = 0; node < 2; ++node) {
            const EntryCall call = callOf(kind);
            const EntryAnswer answer = ask(node, call);
            LONGS_EQUAL(200, answer.status);
            CHECK(answer.complete);
            LONGS_EQUAL(1, static_cast<long>(runsOf(*deployment, call.attempt)));
        }
    }
    CHECK(deployment->foreignInputs().empty());
}

TEST(Entry, UnknownKeysAndRoutesAreRefusedAndNeverRun)
{
    EntryCall call = callOf(CallKind::NonIdempotent);
    call.apiKey = "no-key";
    LONGS_EQUAL(401, ask(0, call).status);
    LONGS_EQUAL(0, static_cast<long>(runsOf(*deployment, call.attempt)));
}

TEST(Entry, ARevokedKeyIsRefusedSoonAndANewOneServed)
{
    deployment->writeConfiguration({"key-2"});
    EntryCall call;
    CHECK(eventually(
        [&] {
            call = callOf(CallKind::NonIdempotent);
            return ask(0, call).status == 401;
        },
        seconds(2)));
    call = callOf(CallKind::NonIdempotent);
    call.apiKey = "key-2";
    LONGS_EQUAL(200, ask(0, call).status);
}

TEST(Entry, ANodeThatLosesTheStoreStopsTrustingKeysAndComesBack)
{
    deployment->setStoreLink(0, "blackhole");
    const TimePoint cut = std::chrono::steady_clock::now();
    deployment->writeConfiguration({"key-2"});
    EntryCall call;
    int status = 0;
    while (std::chrono::steady_clock::now() < cut + seconds(8)) {
        call = callOf(CallKind::NonIdempotent);
        const TimePoint sent = std::chrono::steady_clock::now();
        status = ask(0, call).status;
        if (sent > cut + seconds(5)) {
            LONGS_EQUAL(503, status); // key-1 may have been taken away
            LONGS_EQUAL(0, static_cast<long>(runsOf(*deployment, call.attempt)));
        }
    }
    CHECK_FALSE(deployment->ready(0));
    CHECK(deployment->ready(1));
    deployment->setStoreLink(0, "pass");
    CHECK(eventually(
        [&] {
            call = callOf(CallKind::NonIdempotent);
            call.apiKey = "key-2";
            return ask(0, call).status == 200;
        },
        seconds(10)));
}

TEST(Entry, AnUnreadableConfigurationLeavesTheLastOneInForce)
{
    deployment->writeUnreadableConfiguration(); // the stand-in takes anything; the platform would refuse it
    const TimePoint until = std::chrono::steady_clock::now() + seconds(6); // longer than keys are trusted without news
    while (std::chrono::steady_clock::now() < until) {
        LONGS_EQUAL(200, ask(0, callOf(CallKind::Idempotent)).status);
    }
    CHECK(deployment->ready(0));
    deployment->writeConfiguration({"key-2"});
    CHECK(eventually(
        [&] {
            return ask(0, callOf(CallKind::Idempotent)).status == 401;
        },
        seconds(2)));
}

TEST(Entry, ADrainingWorkerGetsNothingNewAndItsStreamsEnd)
{
    std::vector<std::thread> callers;
    std::atomic<int> whole{0};
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            const EntryCall call = callOf(CallKind::StagedStream);
            const EntryAnswer answer = callEntry(deployment->callerAddress(static_cast<std::size_t>(i % 2)), call);
            whole += answer.status == 200 && answer.complete && describeFault(call, answer).empty() ? 1 : 0;
        });
    }
    deployment->server(1).signal(SIGTERM); // an engine
    for (std::thread &caller : callers) {
        caller.join();
    }
    LONGS_EQUAL(6, whole);
    LONGS_EQUAL(0, deployment->server(1).wait());
    LONGS_EQUAL(200, ask(0, callOf(CallKind::StagedStream)).status);
}

TEST(Entry, APlannedStopCutsNoRequest)
{
    std::atomic<bool> stop{false};
    std::atomic<int> cut{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] {
            while (!stop) {
                const EntryCall call = callOf(CallKind::StagedStream);
                const EntryAnswer answer = callEntry(deployment->callerAddress(0), call);
                cut += answer.status == 200 && !answer.complete ? 1 : 0;
                CHECK(describeFault(call, answer).empty());
            }
        });
    }
    deployment->node(0).signal(SIGHUP);
    deployment->node(0).signal(SIGTERM);
    CHECK(eventually(
        [&] {
            return !deployment->ready(0);
        },
        seconds(2)));
    LONGS_EQUAL(0, deployment->node(0).wait());
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    LONGS_EQUAL(0, cut);
}

TEST(Entry, AKilledOwnerOfStagesIsReplaced)
{
    for (std::size_t node = 0; node < 2; ++node) {
        deployment->node(node).kill();
        const std::size_t other = 1 - node;
        CHECK(eventually(
            [&] {
                return ask(other, callOf(CallKind::StagedStream)).status == 200;
            },
            seconds(10)));
        deployment->restartNode(node);
        CHECK(deployment->awaitReady());
    }
}

TEST(Entry, AmbiguousFramingNeverReachesAWorker)
{
    const std::string attempt = nextAttempt();
    NeverCancelled nobody;
    UpstreamSettings settings;
    UpstreamCall call(settings);
    const TimePoint until = std::chrono::steady_clock::now() + seconds(5);
    CHECK(call.open(deployment->callerAddress(0), until, nobody).has_value());
    const std::string smuggled = "POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt + "\r\nAuthorization: Bearer key-1\r\n\r\n";
    const auto head = call.exchange("POST /read/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: outer\r\nContent-Length: 0\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                                        + smuggled,
                                    until, nobody);
    LONGS_EQUAL(400, head->status);
    LONGS_EQUAL(0, static_cast<long>(runsOf(*deployment, attempt)));
    LONGS_EQUAL(0, static_cast<long>(runsOf(*deployment, "outer")));
}
