// vanillanotch-entryd nodes on a stand-in for the users' platform: every kind of request, key revocation, draining and
// planned stops, an unreachable store, a malformed configuration, and request smuggling.
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

EntryCall makeCall(CallKind kind)
{
    EntryCall call;
    call.kind = kind;
    call.attempt = nextAttempt();
    return call;
}

std::size_t countExecutions(const EntryCluster &cluster, const std::string &attempt)
{
    const std::vector<Execution> executionLog = cluster.executions();
    return static_cast<std::size_t>(std::count_if(executionLog.begin(), executionLog.end(), [&](const Execution &execution) {
        return execution.attempt == attempt;
    }));
}
} // namespace

TEST_GROUP(Entry)
{
    std::unique_ptr<EntryCluster> cluster;

    void setup() override
    {
        cluster = std::make_unique<EntryCluster>("entry");
        cluster->addDefaultServers();
        cluster->writeConfiguration({"key-1"});
        cluster->addNode("dc1");
        cluster->addNode("dc2");
        CHECK(cluster->awaitReady());
    }
    void teardown() override
    {
        cluster.reset();
    }
    EntryAnswer callNode(std::size_t node, const EntryCall &call)
    {
        const EntryAnswer answer = callEntry(cluster->callerAddress(node), call);
        STRCMP_EQUAL("", describeFault(call, answer).c_str());
        return answer;
    }
};

// The system may give a port of the ephemeral range to an outgoing connection while a node restarts; the node then can't
// listen on it again.
TEST(Entry, NodesListenBelowThePortsOfOutgoingConnections)
{
    const std::string address = cluster->callerAddress(0);
    std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
    int firstOutgoing = 0;
    range >> firstOutgoing;
    CHECK(!range.fail());
    CHECK(std::stoi(address.substr(address.rfind(':') + 1)) < firstOutgoing);
}

TEST(Entry, EveryKindOfRequestGetsACompleteAnswer)
{
    for (const CallKind kind : {CallKind::Idempotent, CallKind::NonIdempotent, CallKind::StagedStream, CallKind::ResumableStream}) {
        for (std::size_t node = 0; node < 2; ++node) {
            const EntryCall call = makeCall(kind);
            const EntryAnswer answer = callNode(node, call);
            LONGS_EQUAL(200, answer.status);
            CHECK(answer.complete);
            LONGS_EQUAL(1, static_cast<long>(countExecutions(*cluster, call.attempt)));
        }
    }
    CHECK(cluster->foreignInputLines().empty());
}

TEST(Entry, UnknownKeyIsRefusedAndNotExecuted)
{
    EntryCall call = makeCall(CallKind::NonIdempotent);
    call.apiKey = "no-key";
    LONGS_EQUAL(401, callNode(0, call).status);
    LONGS_EQUAL(0, static_cast<long>(countExecutions(*cluster, call.attempt)));
}

TEST(Entry, RevokedKeyIsRefusedAndNewKeyServedWithinTwoSeconds)
{
    cluster->writeConfiguration({"key-2"});
    EntryCall call;
    CHECK(eventually(
        [&] {
            call = makeCall(CallKind::NonIdempotent);
            return callNode(0, call).status == 401;
        },
        seconds(2)));
    call = makeCall(CallKind::NonIdempotent);
    call.apiKey = "key-2";
    LONGS_EQUAL(200, callNode(0, call).status);
}

// Cut off from the store, a node doesn't see that key-1 is revoked: past the revocation bound of 5 s it must refuse all keys.
TEST(Entry, NodeWithoutStoreRefusesKeysUntilReconnected)
{
    cluster->setStoreLink(0, "blackhole");
    const TimePoint cut = std::chrono::steady_clock::now();
    cluster->writeConfiguration({"key-2"});
    EntryCall call;
    int status = 0;
    while (std::chrono::steady_clock::now() < cut + seconds(8)) {
        call = makeCall(CallKind::NonIdempotent);
        const TimePoint sent = std::chrono::steady_clock::now();
        status = callNode(0, call).status;
        if (sent > cut + seconds(5)) {
            LONGS_EQUAL(503, status); // the node can't know whether key-1 was revoked meanwhile
            LONGS_EQUAL(0, static_cast<long>(countExecutions(*cluster, call.attempt)));
        }
    }
    CHECK_FALSE(cluster->ready(0));
    CHECK(cluster->ready(1));
    cluster->setStoreLink(0, "pass");
    CHECK(eventually(
        [&] {
            call = makeCall(CallKind::NonIdempotent);
            call.apiKey = "key-2";
            return callNode(0, call).status == 200;
        },
        seconds(10)));
}

TEST(Entry, MalformedConfigurationLeavesTheLastOneInForce)
{
    cluster->writeMalformedConfiguration(); // the stand-in stores any text; the platform would refuse this one
    const TimePoint until = std::chrono::steady_clock::now() + seconds(6); // longer than keys are trusted without an update from the store
    while (std::chrono::steady_clock::now() < until) {
        LONGS_EQUAL(200, callNode(0, makeCall(CallKind::Idempotent)).status);
    }
    CHECK(cluster->ready(0));
    cluster->writeConfiguration({"key-2"});
    CHECK(eventually(
        [&] {
            return callNode(0, makeCall(CallKind::Idempotent)).status == 401;
        },
        seconds(2)));
}

TEST(Entry, StreamsCompleteWhileABackendServerDrains)
{
    std::vector<std::thread> callers;
    std::atomic<int> completeStreams{0};
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            const EntryCall call = makeCall(CallKind::StagedStream);
            const EntryAnswer answer = callEntry(cluster->callerAddress(static_cast<std::size_t>(i % 2)), call);
            completeStreams += answer.status == 200 && answer.complete && describeFault(call, answer).empty() ? 1 : 0;
        });
    }
    cluster->server(1).sendSignal(SIGTERM); // an engine that may have streams in progress; it drains before it exits
    for (std::thread &caller : callers) {
        caller.join();
    }
    LONGS_EQUAL(6, completeStreams);
    LONGS_EQUAL(0, cluster->server(1).wait());
    LONGS_EQUAL(200, callNode(0, makeCall(CallKind::StagedStream)).status);
}

// SIGHUP only makes a node check its settings file: neither it nor the SIGTERM that follows may cut a request short.
TEST(Entry, PlannedStopInterruptsNoRequest)
{
    std::atomic<bool> stop{false};
    std::atomic<int> cut{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] {
            while (!stop) {
                const EntryCall call = makeCall(CallKind::StagedStream);
                const EntryAnswer answer = callEntry(cluster->callerAddress(0), call);
                cut += answer.status == 200 && !answer.complete ? 1 : 0;
                CHECK(describeFault(call, answer).empty());
            }
        });
    }
    cluster->node(0).sendSignal(SIGHUP);
    cluster->node(0).sendSignal(SIGTERM);
    CHECK(eventually(
        [&] {
            return !cluster->ready(0);
        },
        seconds(2)));
    LONGS_EQUAL(0, cluster->node(0).wait());
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    LONGS_EQUAL(0, cut);
}

// The instances of a stage are scheduled by one of the two nodes, their owner. Killing each node in turn hits the owner.
TEST(Entry, KilledStageOwnerIsReplaced)
{
    for (std::size_t node = 0; node < 2; ++node) {
        cluster->node(node).kill();
        const std::size_t other = 1 - node;
        CHECK(eventually(
            [&] {
                return callNode(other, makeCall(CallKind::StagedStream)).status == 200;
            },
            seconds(10)));
        cluster->restartNode(node);
        CHECK(cluster->awaitReady());
    }
}

// Both Content-Length and Transfer-Encoding (RFC 9112, 6.1): two readers that disagree on where the request ends would take
// the rest as a second request.
TEST(Entry, AmbiguousFramingNeverReachesABackendServer)
{
    const std::string attempt = nextAttempt();
    NeverCancelled neverCancelled;
    UpstreamSettings settings;
    UpstreamCall call(settings);
    const TimePoint until = std::chrono::steady_clock::now() + seconds(5);
    CHECK(call.open(cluster->callerAddress(0), until, neverCancelled).has_value());
    const std::string smuggled = "POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt + "\r\nAuthorization: Bearer key-1\r\n\r\n";
    const auto head = call.exchange("POST /read/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: outer\r\nContent-Length: 0\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                                        + smuggled,
                                    until, neverCancelled);
    LONGS_EQUAL(400, head->status);
    LONGS_EQUAL(0, static_cast<long>(countExecutions(*cluster, attempt)));
    LONGS_EQUAL(0, static_cast<long>(countExecutions(*cluster, "outer")));
}
