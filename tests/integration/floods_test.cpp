// vanillanotch-entryd and backend servers that send bytes that are no answer, without end or in a form that takes many times their size when it is read.
// Each test has all servers of a service send one kind of bytes to many calls at once, and checks that the node lives, that its memory stays within that of
// its VM, and that an ordinary request to other servers is answered meanwhile.
#include "client_crowd.h"
#include "entry_cluster.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::size_t MegaByte = 1'000'000;
constexpr std::size_t NodeMemory = 80 * MegaByte; // the stated memory of the node's VM, which the platform enforces
constexpr unsigned Servers = 8; // of the service that floods
constexpr seconds FloodTime{4}; // for which a server goes on sending; the calls' deadline is shorter
const std::string Fields = " HTTP/1.1\r\nHost: shop.example\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: crowd\r\n";
const std::string StageFields = "X-Model: m\r\nX-Token-Count: 100,8\r\nX-Prompt-Prefix: aa:80,bb:20\r\nX-Piece-Key: abc\r\nContent-Length: 4\r\n";

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string all;
    all.reserve(bytes + text.size());
    while (all.size() < bytes) {
        all += text;
    }
    return all;
}

// What a server sends for each call.
struct Flood {
    std::string begin;
    std::string unit = {}; // sent until the node closes the connection; empty: the server only waits for that
    bool headed = false; // `begin` comes after a valid head with `fields`
    std::string fields = {};
};
} // namespace

TEST_GROUP(Floods)
{
    std::unique_ptr<EntryCluster> cluster;
    std::unique_ptr<ScriptedServer> server;
    std::unique_ptr<ClientCrowd> crowd;

    // `flooded`: a request that reaches the service.
    void start(const std::string &service, const Flood &flood, CallKind flooded)
    {
        cluster = std::make_unique<EntryCluster>("floods");
        cluster->addDefaultServers();
        cluster->writeConfiguration({"key-1"});
        NodeOptions options;
        options.settings = "memory_mb: " + std::to_string(NodeMemory / MegaByte) + "\n";
        cluster->addNode("dc1", options);
        CHECK(cluster->awaitReady());
        server = std::make_unique<ScriptedServer>();
        server->script = [flood](ServerConnection &connection) {
            if (!connection.send((flood.headed ? connection.head(flood.fields) : std::string()) + flood.begin)) {
                return;
            }
            if (flood.unit.empty()) {
                connection.wait(FloodTime);
            } else {
                (void)connection.sendUntilClosed(flood.unit, milliseconds(0), FloodTime);
            }
        };
        cluster->replaceServers(service, server->address(), Servers);
        CHECK(eventually([&] {
            EntryCall call;
            call.kind = flooded;
            call.attempt = "first-" + std::to_string(server->requests);
            call.deadline = milliseconds(200);
            (void)callEntry(cluster->callerAddress(0), call);
            return server->requests > 0;
        }));
        crowd = std::make_unique<ClientCrowd>(cluster->callerAddress(0));
    }
    void teardown() override
    {
        crowd.reset();
        cluster.reset();
        server.reset();
    }
    // `message`: sent by each of the callers. `ordinary`: a request that other servers answer.
    void check(std::size_t callers, const std::string &message, CallKind ordinary)
    {
        CrowdMessage request;
        request.begin = message;
        (void)crowd->open(callers, request);
        crowd->exchange(seconds(1), milliseconds(500));
        crowd->readFor(seconds(4));
        const bool answered = eventually([&] {
            static int number = 0;
            EntryCall call;
            call.kind = ordinary;
            call.attempt = "ordinary-" + std::to_string(++number);
            const EntryAnswer answer = callEntry(cluster->callerAddress(0), call);
            return answer.status == 200 && answer.complete && describeFault(call, answer).empty();
        });
        const std::size_t memory = peakResidentBytes(cluster->node(0).pid());
        UT_PRINT(StringFromFormat("peak memory %u KB, calls %u, answered with 502 %u, 503 %u, 504 %u", static_cast<unsigned>(memory / 1000),
                                  static_cast<unsigned>(server->requests), static_cast<unsigned>(crowd->answered(502)),
                                  static_cast<unsigned>(crowd->answered(503)), static_cast<unsigned>(crowd->answered(504))));
        CHECK(cluster->node(0).running());
        CHECK(answered);
        CHECK(memory > 0 && memory <= NodeMemory);
    }
    void checkPlain(const Flood &flood)
    {
        start("plain", flood, CallKind::NonIdempotent);
        check(150, "POST /pay/1" + Fields + "Content-Length: 4\r\n\r\nbody", CallKind::StagedStream);
    }
    void checkStream(const Flood &flood, const std::string &path)
    {
        start("engine", flood, CallKind::ResumableStream);
        check(150, "POST " + path + Fields + StageFields + "X-Pieces: 0,0\r\n\r\nbody", CallKind::Idempotent);
    }
    void checkStage(const std::string &body)
    {
        Flood flood;
        flood.begin = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        start("first", flood, CallKind::StagedStream);
        check(100, "POST /draft/1" + Fields + StageFields + "X-Pieces: 8,8\r\n\r\nbody", CallKind::Idempotent);
    }
};

// Guards against heads without end.
TEST(Floods, HeadsWithoutEnd)
{
    checkPlain(Flood{"HTTP/1.1 200 OK\r\nX-Field: ", repeat("x", 8192)});
}

// Guards against heads within the limit of bytes whose many short lines take many times their size, while the body is awaited.
TEST(Floods, HeadsOfManyShortLines)
{
    checkPlain(Flood{"Content-Length: 100\r\n\r\n", "", true, repeat("a:\r\n", 60'000)});
}

// Guards against heads just within the limit of bytes, of few lines, that many calls hold at once.
TEST(Floods, HeadsOfLongLines)
{
    checkPlain(Flood{"Content-Length: 100\r\n\r\n", "", true, repeat("X-Field: " + repeat("x", 300) + "\r\n", 60'000)});
}

// Guards against many short lines in the failure that is kept while the request is repeated.
TEST(Floods, FailuresWithManyShortLines)
{
    checkPlain(Flood{"HTTP/1.1 500 Failed\r\nX-Attempt-Id: crowd\r\nX-Server-Seal: s\r\nContent-Length: 100\r\n" + repeat("a:\r\n", 60'000) + "\r\n", ""});
}

// Guards against interim replies without end, each of many short lines.
TEST(Floods, InterimRepliesWithoutEnd)
{
    checkPlain(Flood{"", "HTTP/1.1 102 Processing\r\n" + repeat("a:\r\n", 60'000) + "\r\n"});
}

// Guards against bodies without end.
TEST(Floods, BodiesWithoutEnd)
{
    checkPlain(Flood{"", repeat("x", 8192), true, ""});
}

TEST(Floods, ChunkedBodiesWithoutEnd)
{
    checkPlain(Flood{"", chunk(repeat("x", 8192)), true, "Transfer-Encoding: chunked\r\n"});
}

// Guards against bodies in chunks of one byte, which take six bytes each on the wire, without end.
TEST(Floods, BodiesInOneByteChunksWithoutEnd)
{
    checkPlain(Flood{"", repeat(chunk("x"), 6000), true, "Transfer-Encoding: chunked\r\n"});
}

// Guards against failures with long bodies, which are kept until the caller has taken them.
TEST(Floods, FailuresWithLongBodies)
{
    checkPlain(Flood{"HTTP/1.1 500 Failed\r\nX-Attempt-Id: crowd\r\nX-Server-Seal: s\r\nContent-Length: 4000000\r\n\r\n" + repeat("x", 4'000'000), ""});
}

// Guards against events without end.
TEST(Floods, EventsWithoutEnd)
{
    checkStream(Flood{"data: ", repeat("x", 8192), true, "Content-Type: text/event-stream\r\n"}, "/explain/1");
}

// Guards against events whose ids, which are kept for resuming the stream, are nearly as long as an event may be.
TEST(Floods, EventsWithLongIds)
{
    checkStream(Flood{"id: " + repeat("x", 1'000'000) + "\ndata: 1\n\n", "", true, "Content-Type: text/event-stream\r\n"}, "/explain/1");
}

// Guards against replies of stage servers that nest so deeply, or hold so many values, that they take many times their size when they are parsed.
TEST(Floods, StageRepliesThatNestDeeply)
{
    checkStage(std::string(500'000, '[') + std::string(500'000, ']'));
}

TEST(Floods, StageRepliesWithManyValues)
{
    checkStage("{\"Items\":[" + repeat("{},", 1'000'000) + "{}]}");
}

TEST(Floods, StageRepliesWithoutEnd)
{
    start("first", Flood{"HTTP/1.1 200 OK\r\n\r\n{\"Items\":[", repeat("{},", 8190)}, CallKind::StagedStream);
    check(100, "POST /draft/1" + Fields + StageFields + "X-Pieces: 8,8\r\n\r\nbody", CallKind::Idempotent);
}
