// Callers that are not under our control, against a real vanillanotchd: what they send or leave unread must neither end the process nor exceed its
// memory and descriptors, and an ordinary request must still be answered while they stay connected. Nothing here depends on the machine's
// speed: the tests check memory, descriptors and that answer, no times and no share of served requests.
#include "client_crowd.h"
#include "harness.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <sys/resource.h>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::seconds;

namespace
{
constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * 1024;
constexpr std::size_t MemoryBound = 72 * MiB; // largest resident memory of the node at any moment; a node without callers has 25 MiB
constexpr std::size_t MemoryAfterwards = 56 * MiB; // largest resident memory some time after the crowd has disconnected
constexpr std::size_t CrowdSize = 200; // callers; more than NodeLimits has connections
constexpr std::size_t DescriptorBound = 300; // most open descriptors of the node: all callers and 100 of its own
constexpr rlim_t FewDescriptors = 220; // limit on the node's descriptors in the tests that use them up
constexpr std::size_t FewDescriptorsBound = 180; // most open descriptors of that node, so that calls to servers and the platform have some left
// The limits are lower than an operator's, so that a small crowd meets them.
const std::string NodeLimits = "connections: 128\ncaller_memory_mib: 24\n";

std::string head(const std::string &fields)
{
    return "POST /v1/pipelines/answer HTTP/1.1\r\nHost: n1\r\nAuthorization: Bearer caller-key\r\nContent-Type: application/json\r\n" + fields + "\r\n";
}

// Sets the limit on descriptors of the processes that are started while the object exists.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(rlim_t count)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        rlimit lowered = m_before;
        lowered.rlim_cur = count;
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit()
    {
        ::setrlimit(RLIMIT_NOFILE, &m_before);
    }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit m_before{};
};
} // namespace

TEST_GROUP(Callers)
{
    std::unique_ptr<Cluster> cluster;
    std::unique_ptr<ClientCrowd> crowd;
    std::size_t mostDescriptors = 0;
    std::size_t descriptorBound = DescriptorBound;

    void startNode(const std::string &settings = NodeLimits, std::optional<rlim_t> descriptors = std::nullopt)
    {
        cluster = std::make_unique<Cluster>("callers");
        for (const std::string capability : {"encoder", "retriever", "reranker", "model", "payout"}) {
            ServerOptions options;
            options.name = capability + "-1";
            options.capability = capability;
            cluster->addServer(options);
        }
        {
            std::optional<DescriptorLimit> limit;
            if (descriptors) {
                limit.emplace(*descriptors);
            }
            cluster->addNode("n1", "dc1", settings);
        }
        cluster->start();
        LONGS_EQUAL(200, cluster->call("n1", "answer", "before the crowd").status);
        crowd = std::make_unique<ClientCrowd>(cluster->callerAddress("n1"));
    }

    void teardown() override
    {
        crowd.reset();
        cluster.reset();
    }

    // Records the largest number of descriptors over some rounds, in which the node accepts the connections.
    void watchDescriptors()
    {
        constexpr int Rounds = 200;
        for (int i = 0; i < Rounds; ++i) {
            mostDescriptors = std::max(mostDescriptors, openDescriptors(cluster->node("n1").pid()));
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    // Checks the node while the crowd is connected, and after it has disconnected.
    void checkNode()
    {
        Process &node = cluster->node("n1");
        watchDescriptors();
        const std::string operators = node.address("operators");
        const CallResult ordinary = cluster->call("n1", "answer", "an ordinary request");
        const int alive = send(operators, "GET", "/livez").status;
        const int metrics = send(operators, "GET", "/metrics").status;
        mostDescriptors = std::max(mostDescriptors, openDescriptors(node.pid()));
        const std::size_t peak = peakResidentBytes(node.pid());
        std::size_t afterwards = 0;
        crowd->disconnect();
        const bool memoryReturned = eventually(
            [&] {
                afterwards = residentBytes(node.pid());
                return afterwards <= MemoryAfterwards;
            },
            seconds(30));
        const CallResult later = cluster->call("n1", "answer", "after the crowd");
        std::printf("\n  peak %zu KiB, afterwards %zu KiB, descriptors %zu, ordinary %d (code %d), operators %d %d, later %d\n", peak / KiB, afterwards / KiB,
                    mostDescriptors, ordinary.status, ordinary.errorCode(), alive, metrics, later.status);
        CHECK_TEXT(node.running(), "the node must not end");
        CHECK_TEXT(peak <= MemoryBound, "the node's memory must stay under the bound");
        CHECK_TEXT(mostDescriptors <= descriptorBound, "the node's open descriptors must stay under the bound");
        LONGS_EQUAL(200, ordinary.status);
        STRCMP_EQUAL(expectedText("an ordinary request", ModelTokens).c_str(), ordinary.text().c_str());
        LONGS_EQUAL(200, alive);
        LONGS_EQUAL(200, metrics);
        CHECK_TEXT(memoryReturned, "the node must give memory back after the crowd has disconnected");
        LONGS_EQUAL(200, later.status);
        node.sendSignal(SIGTERM);
        LONGS_EQUAL(0, node.wait());
    }

    void sendAndCheck(const CrowdMessage &message, CrowdReading reading = CrowdReading::Everything, std::size_t count = CrowdSize)
    {
        crowd->open(count, message, reading);
        crowd->exchange();
        checkNode();
    }
};

// Guards against memory without bound: bodies in large chunks stop just short of their end, and their connections stay open.
TEST(Callers, BodiesInLargeChunksThatStopShort)
{
    startNode();
    sendAndCheck(CrowdMessage{head("Transfer-Encoding: chunked\r\n"), encodeChunk(64 * KiB), 14, ""});
}

// Guards against the same with one-byte chunks, which also cost processor time for each byte.
TEST(Callers, BodiesInOneByteChunksThatStopShort)
{
    startNode();
    std::string chunks; // many in one unit, so that the crowd sends them quickly
    for (int i = 0; i < 4096; ++i) {
        chunks += encodeChunk(1);
    }
    sendAndCheck(CrowdMessage{head("Transfer-Encoding: chunked\r\n"), chunks, 137, ""});
}

// Guards against bodies that are read in spite of their announced length.
TEST(Callers, BodiesFarOverTheLimitAnnounced)
{
    startNode();
    sendAndCheck(CrowdMessage{head("Content-Length: 67108864\r\n"), std::string(64 * KiB, 'x'), 128, ""});
}

// Guards against bodies that are kept up to the limit by many connections at once: no length is announced, and the body goes on beyond the limit.
TEST(Callers, BodiesFarOverTheLimitMerelySent)
{
    startNode();
    sendAndCheck(CrowdMessage{head("Transfer-Encoding: chunked\r\n"), encodeChunk(64 * KiB), 128, ""});
}

// Guards against a line of the chunked coding that is read without limit.
TEST(Callers, ChunkExtensionsWithoutEnd)
{
    startNode();
    sendAndCheck(CrowdMessage{head("Transfer-Encoding: chunked\r\n") + "5;", std::string(16 * KiB, 'x'), 128, ""});
}

// Guards against trailers that are read without limit.
TEST(Callers, TrailersWithoutEnd)
{
    startNode();
    sendAndCheck(CrowdMessage{head("Transfer-Encoding: chunked\r\n") + encodeChunk(5) + "0\r\n", "X-Trailer: yyyyyyyy\r\n", 100000, ""});
}

// Guards against heads whose number of lines isn't limited.
TEST(Callers, HeadsOfManySmallLines)
{
    startNode();
    sendAndCheck(CrowdMessage{"POST /v1/pipelines/answer HTTP/1.1\r\nHost: n1\r\n", "a: b\r\n", 300000, ""});
}

// Guards against heads whose length as a whole isn't limited: each line is within the limit, the head has no end, and the connection stays open.
TEST(Callers, UnfinishedHeads)
{
    startNode();
    sendAndCheck(CrowdMessage{"POST /v1/pipelines/answer HTTP/1.1\r\nHost: n1\r\n", "X-Long: " + std::string(8000, 'x') + "\r\n", 95, ""});
}

// Guards against replies that pile up: requests are sent one after the other without end, and no reply is read.
TEST(Callers, PipelinedRequestsWithoutEnd)
{
    startNode();
    const std::string body = R"({"input":"a"})"; // lacks the deadline, so it is refused
    sendAndCheck(CrowdMessage{"", head("Content-Length: " + std::to_string(body.size()) + "\r\n") + body, 100000, ""}, CrowdReading::Nothing);
}

// Guards against answers that wait in memory for callers who don't read them. Each answer holds its input twice.
TEST(Callers, LongStreamedAnswersThatAreNotRead)
{
    startNode();
    const std::string body = R"({"deadline_ms":10000,"stream":true,"input":")" + std::string(500 * KiB, 'y') + "\"}";
    sendAndCheck(CrowdMessage{head("Content-Length: " + std::to_string(body.size()) + "\r\n") + body, "", 0, ""}, CrowdReading::Nothing, 100);
}

// Guards against the same for callers who read a few bytes now and then, and so never stall for long.
TEST(Callers, LongStreamedAnswersThatAreReadSlowly)
{
    startNode();
    const std::string body = R"({"deadline_ms":10000,"stream":true,"input":")" + std::string(500 * KiB, 'y') + "\"}";
    crowd->open(100, CrowdMessage{head("Content-Length: " + std::to_string(body.size()) + "\r\n") + body, "", 0, ""}, CrowdReading::Slowly);
    // A caller whose message has no end keeps exchange() reading until its limit.
    crowd->open(1, CrowdMessage{"GET /", "x", 1000000000, ""}, CrowdReading::Nothing);
    crowd->exchange(seconds(10), seconds(10));
    checkNode();
}

// Guards against silent connections that occupy all threads for callers, so that ordinary callers wait for one another round of time-outs after the other.
TEST(Callers, SilentConnectionsBeyondTheThreads)
{
    startNode("connections: 16\ncaller_memory_mib: 24\n");
    sendAndCheck(CrowdMessage{});
}

// Guards against the same by connections that send one byte of a head.
TEST(Callers, ConnectionsThatSendOneByteBeyondTheThreads)
{
    startNode("connections: 16\ncaller_memory_mib: 24\n");
    sendAndCheck(CrowdMessage{"P", "", 0, ""});
}

// Guards against connections that use up the descriptors, so that the node can't call its servers, peers or the platform, and its operators can't
// connect.
TEST(Callers, IdleConnectionsUpToTheLimitOnDescriptors)
{
    startNode("", FewDescriptors);
    descriptorBound = FewDescriptorsBound;
    sendAndCheck(CrowdMessage{}, CrowdReading::Nothing, 300);
}
