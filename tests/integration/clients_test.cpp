// vanillanotch-entryd and callers that are not under our control. In a trial such callers made a process run out of memory. Each test lets a small crowd
// of them send one kind of message to one node, and checks that the process lives, that its memory and its open descriptors stay under a bound, and
// that one ordinary request is answered afterwards, while the crowd's connections are still open. No times and no share of served requests are checked.
//
// The crowds and the bounds are fixed: the code before the limits of docs/design/caller-limits.md exceeded the bounds (figures in the commit that added
// this file), except where a test says otherwise.
#include "client_crowd.h"
#include "entry_cluster.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::size_t MegaByte = 1'000'000;
constexpr std::size_t MaxBodyBytes = 1'048'576; // limit of the configuration; the crowds of bodies that stop short stay below it
constexpr std::size_t MemoryBound = 80 * MegaByte; // largest resident memory of the node
constexpr unsigned DescriptorLimit = 1200; // of the node's process
constexpr std::size_t DescriptorBound = 1000; // most open descriptors of the node
const std::string Fields = " HTTP/1.1\r\nHost: shop.example\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\n";

std::string postHead(const std::string &framing)
{
    return "POST /pay/1" + Fields + "X-Attempt-Id: crowd\r\n" + framing + "\r\n";
}

std::string repeat(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i) {
        all += text;
    }
    return all;
}

// Samples the number of a process's open descriptors until it is destroyed.
class DescriptorSampler
{
public:
    explicit DescriptorSampler(pid_t process)
        : m_thread([this, process] {
            while (!m_stopping) {
                m_most = std::max(m_most.load(), openDescriptors(process));
                std::this_thread::sleep_for(milliseconds(10));
            }
        })
    {
    }
    ~DescriptorSampler()
    {
        m_stopping = true;
        m_thread.join();
    }
    DescriptorSampler(const DescriptorSampler &) = delete;
    DescriptorSampler &operator=(const DescriptorSampler &) = delete;
    std::size_t most() const
    {
        return m_most;
    }

private:
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_most{0};
    std::thread m_thread;
};
} // namespace

TEST_GROUP(Clients)
{
    std::unique_ptr<EntryCluster> cluster;
    std::unique_ptr<ClientCrowd> crowd;
    std::unique_ptr<DescriptorSampler> descriptors;

    void startNode(unsigned descriptorLimit = DescriptorLimit)
    {
        cluster = std::make_unique<EntryCluster>("clients");
        cluster->addDefaultServers();
        cluster->setRouteTimeout(seconds(30));
        cluster->setMaxBodyBytes(MaxBodyBytes);
        cluster->writeConfiguration({"key-1"});
        NodeOptions options;
        options.maxDescriptors = descriptorLimit;
        options.settings = "memory_mb: 80\nmax_descriptors: " + std::to_string(descriptorLimit) + "\n";
        cluster->addNode("dc1", options);
        CHECK(cluster->awaitReady());
        crowd = std::make_unique<ClientCrowd>(cluster->callerAddress(0));
        descriptors = std::make_unique<DescriptorSampler>(cluster->node(0).pid());
    }
    void teardown() override
    {
        descriptors.reset();
        crowd.reset();
        cluster.reset();
    }
    // An ordinary request may be refused while the crowd is connected, and is repeated then, as callers do.
    bool ordinaryRequestAnswered() const
    {
        return eventually([this] {
            static int number = 0;
            EntryCall call;
            call.attempt = "ordinary-" + std::to_string(++number);
            call.deadline = seconds(20);
            const EntryAnswer answer = callEntry(cluster->callerAddress(0), call);
            return answer.status == 200 && answer.complete && describeFault(call, answer).empty();
        });
    }
    void checkNode(std::size_t memoryBound = MemoryBound, std::size_t descriptorBound = DescriptorBound)
    {
        const bool answered = ordinaryRequestAnswered();
        const std::size_t memory = peakResidentBytes(cluster->node(0).pid());
        const std::size_t most = descriptors->most();
        UT_PRINT(StringFromFormat("peak memory %u KB, descriptors %u, connected %u, sent whole %u", static_cast<unsigned>(memory / 1000),
                                  static_cast<unsigned>(most), static_cast<unsigned>(crowd->connected()), static_cast<unsigned>(crowd->sentWhole())));
        CHECK(cluster->node(0).running());
        CHECK(answered);
        CHECK(memory > 0 && memory <= memoryBound);
        CHECK(most <= descriptorBound);
        CHECK(cluster->ready(0));
    }
    // A single body of exactly the largest size is served when there is no other load.
    void checkLargestBodyIsServed()
    {
        crowd->disconnect();
        CHECK(eventually([this] {
            ClientCrowd single(cluster->callerAddress(0));
            CrowdMessage message;
            message.begin = postHead("Content-Length: " + std::to_string(MaxBodyBytes) + "\r\n");
            message.unit = std::string(4096, 'x');
            message.repeats = MaxBodyBytes / 4096;
            (void)single.open(1, message);
            single.exchange();
            // A refusal ends the connection: the disconnected crowd may have held the memory still. The request is repeated then, as callers do.
            (void)eventually(
                [&single] {
                    single.readFor(milliseconds(100));
                    return single.answered(200) == 1 || single.connected() == 0;
                },
                seconds(20));
            return single.answered(200) == 1;
        }));
        CHECK(cluster->node(0).running());
    }
};

// 200 bodies of a bit less than the limit, in chunks of 64 KB: without a limit on all bodies together the node holds 200 MB for them.
TEST(Clients, ManyBodiesInLargeChunksThatStopShort)
{
    startNode();
    CrowdMessage message;
    message.begin = postHead("Transfer-Encoding: chunked\r\n");
    message.unit = encodeChunk(64'000);
    message.repeats = 16;
    (void)crowd->open(200, message);
    crowd->exchange();
    checkNode();
    checkLargestBodyIsServed();
}

// The same in chunks of one byte, each of which takes six bytes on the wire.
TEST(Clients, ManyBodiesInOneByteChunksThatStopShort)
{
    startNode();
    CrowdMessage message;
    message.begin = postHead("Transfer-Encoding: chunked\r\n");
    message.unit = repeat(encodeChunk(1), 1000);
    message.repeats = 250;
    (void)crowd->open(400, message);
    crowd->exchange();
    checkNode();
    checkLargestBodyIsServed();
}

// Bodies of 32 MB, thirty times the limit. Those that announce their length are refused by their head; the others when the limit is exceeded.
TEST(Clients, BodiesFarOverTheLimit)
{
    startNode();
    CrowdMessage message;
    message.unit = encodeChunk(64'000);
    message.repeats = 500;
    message.begin = postHead("Transfer-Encoding: chunked\r\n");
    (void)crowd->open(75, message, CrowdReading::Nothing);
    (void)crowd->open(75, message);
    message.begin = postHead("Content-Length: 1000000000\r\n");
    (void)crowd->open(20, message, CrowdReading::Nothing);
    (void)crowd->open(20, message);
    message.begin = postHead("Content-Length: 1000000000\r\nExpect: 100-continue\r\n");
    (void)crowd->open(20, message, CrowdReading::Nothing);
    (void)crowd->open(20, message);
    crowd->exchange();
    checkNode();
    checkLargestBodyIsServed();
}

// A chunk extension of nearly the longest line for each byte of the body, one extension without an end, and trailers without an end.
TEST(Clients, ChunkExtensionsAndTrailersWithoutEnd)
{
    startNode();
    CrowdMessage message;
    message.begin = postHead("Transfer-Encoding: chunked\r\n");
    message.unit = "1;" + std::string(1000, 'e') + "\r\nx\r\n";
    message.repeats = 8000;
    (void)crowd->open(100, message);
    message.begin = postHead("Transfer-Encoding: chunked\r\n") + "1;";
    message.unit = std::string(1000, 'e');
    (void)crowd->open(50, message);
    message.begin = postHead("Transfer-Encoding: chunked\r\n") + "0\r\n";
    message.unit = "X-Trailer: " + std::string(900, 't') + "\r\n";
    (void)crowd->open(50, message);
    message.unit = "t:\r\n";
    (void)crowd->open(50, message);
    crowd->exchange();
    checkNode();
}

// A head of 16 KB in lines of four bytes takes many times its size when it is parsed. These wait for a body that doesn't come; other heads never end.
TEST(Clients, HeadsOfManySmallLinesAndUnfinishedHeads)
{
    startNode();
    CrowdMessage message;
    message.begin = "POST /pay/1" + Fields + "Content-Length: 10\r\n";
    message.unit = "a:\r\n";
    message.repeats = 4000;
    message.end = "\r\nshort";
    (void)crowd->open(300, message);
    message.end = {};
    (void)crowd->open(250, message);
    crowd->exchange();
    checkNode();
}

// Requests are sent one after the other without waiting for replies, which nobody reads.
TEST(Clients, PipelinedRequestsWithoutEnd)
{
    startNode();
    CrowdMessage message;
    message.unit = "GET /read/1?bytes=1000" + Fields + "X-Attempt-Id: crowd\r\n\r\n";
    message.repeats = 100'000;
    (void)crowd->open(150, message, CrowdReading::Nothing);
    (void)crowd->open(150, message, CrowdReading::Slowly);
    crowd->exchange(seconds(15));
    checkNode();
}

// Answers of 4 MB, more than the system buffers for a connection, that callers take slowly or not at all: the node holds each until it has been read.
TEST(Clients, LongPlainAnswersThatAreReadSlowly)
{
    startNode();
    CrowdMessage message;
    message.begin = "GET /read/1?bytes=4000000" + Fields + "X-Attempt-Id: crowd\r\n\r\n";
    (void)crowd->open(25, message, CrowdReading::Nothing);
    (void)crowd->open(25, message, CrowdReading::Slowly);
    crowd->exchange();
    crowd->readFor(seconds(3));
    checkNode();
}

// Streams of events of 400 KB each that callers take slowly or not at all.
TEST(Clients, StreamsThatAreReadSlowly)
{
    startNode();
    CrowdMessage message;
    message.begin = "POST /draft/1?bytes=400000&events=100" + Fields
        + "X-Attempt-Id: crowd\r\nX-Model: m\r\nX-Token-Count: 100,8\r\nX-Prompt-Prefix: aa:80,bb:20\r\nX-Pieces: 0,0\r\nX-Piece-Key: abc\r\n"
          "Content-Length: 4\r\n\r\nbody";
    (void)crowd->open(60, message, CrowdReading::Nothing);
    (void)crowd->open(60, message, CrowdReading::Slowly);
    crowd->exchange();
    crowd->readFor(seconds(3));
    checkNode();
}

// More idle connections than the process may have descriptors, at both of its addresses that callers can reach. Descriptors are left for calls to
// servers and to the store.
TEST(Clients, IdleConnectionsUpToTheLimitOfDescriptors)
{
    constexpr unsigned Limit = 200;
    constexpr std::size_t Bound = 180;
    startNode(Limit);
    ClientCrowd checks(cluster->readinessAddress(0));
    for (int i = 0; i < 10; ++i) {
        (void)crowd->open(20, CrowdMessage{});
        (void)checks.open(20, CrowdMessage{});
        std::this_thread::sleep_for(milliseconds(50));
    }
    checkNode(MemoryBound, Bound);
}

// Lists in a single head: as many prompt parts, token counts and pieces as fit into the limit of a head, counts of pieces far beyond what a request may
// have, and heads of 8 MB.
TEST(Clients, ListsOfMillionsInOneHead)
{
    startNode();
    const std::string begin = "POST /draft/1" + Fields + "X-Attempt-Id: crowd\r\nX-Model: m\r\nX-Piece-Key: abc\r\nContent-Length: 4\r\n";
    CrowdMessage message;
    message.end = "\r\n\r\nbody";
    for (const auto &[name, part] :
         std::vector<std::pair<std::string, std::string>>{{"X-Prompt-Prefix: ", "a:1,"}, {"X-Token-Count: ", "1,"}, {"X-Pieces: ", "1,"}}) {
        message.begin = begin + name;
        message.unit = repeat(part, 100);
        message.repeats = 15'000 / message.unit.size();
        (void)crowd->open(20, message);
        message.repeats = 8 * MegaByte / message.unit.size();
        (void)crowd->open(1, message);
    }
    message.repeats = 0;
    for (const std::string count : {"4294967295", "4000000000,4000000000", "99999999999999999999", "4097"}) {
        message.begin = begin + "X-Pieces: " + count;
        (void)crowd->open(5, message);
    }
    crowd->exchange();
    checkNode();
}
