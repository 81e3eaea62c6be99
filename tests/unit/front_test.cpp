// FrontServer with callers that send or read slowly: they occupy no thread, and connections are closed when memory or descriptors are short. RequestReader:
// requests in pieces, and mutated ones.
#include "transport/front.h"

#include <CppUTest/TestHarness.h>

#include <poll.h>
#include <random>

using namespace vanillanotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::size_t KibiByte = 1024;
constexpr std::size_t LongReply = 16 * 1024 * KibiByte; // more than the system buffers for a connection

class SizeHandler final : public FrontHandler
{
public:
    void serve(FrontExchange &exchange) override
    {
        const TimePoint until = std::chrono::steady_clock::now() + seconds(20);
        if (exchange.path() == "/long") {
            (void)exchange.replyLong(200, Headers{}, std::string(LongReply, 'x'), until);
        } else {
            (void)exchange.reply(200, Headers{}, std::to_string(exchange.body().size()), until);
        }
    }
    std::string describeError(ErrorCode code) override
    {
        return std::string(errorName(code));
    }
    FrontLimits limits() override
    {
        FrontLimits limits;
        limits.maxBodyBytes = 512 * KibiByte;
        return limits;
    }
};

std::unique_ptr<Connection> connectTo(const FrontServer &server)
{
    return std::make_unique<Connection>(Poco::Net::StreamSocket(Poco::Net::SocketAddress(server.address())));
}

void sendAll(Connection &connection, std::string_view bytes)
{
    const TimePoint until = std::chrono::steady_clock::now() + seconds(10);
    while (!bytes.empty() && std::chrono::steady_clock::now() < until && connection.send(bytes) != IoState::Reset) {
        pollfd entry{connection.descriptor(), POLLOUT, 0};
        (void)::poll(&entry, 1, 10);
    }
}

// Receives until the text has come; false: the connection ended before, or it didn't come in time.
bool awaitText(Connection &connection, std::string_view text)
{
    const TimePoint until = std::chrono::steady_clock::now() + seconds(10);
    std::size_t searched = 0;
    while (connection.received().find(text, searched - std::min(searched, text.size())) == std::string::npos) {
        searched = connection.received().size();
        pollfd entry{connection.descriptor(), POLLIN, 0};
        (void)::poll(&entry, 1, 10);
        const IoState state = connection.receive();
        if (state == IoState::Closed || state == IoState::Reset || std::chrono::steady_clock::now() >= until) {
            return false;
        }
    }
    return true;
}

bool eventually(const std::function<bool()> &condition)
{
    const TimePoint until = std::chrono::steady_clock::now() + seconds(10);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        (void)::poll(nullptr, 0, 10);
    }
    return true;
}

constexpr std::string_view ShortRequest = "GET /short HTTP/1.1\r\nHost: h\r\n\r\n";
} // namespace

TEST_GROUP(SlowCallers)
{
    SizeHandler handler;
    GrowingPool pool{1}; // a single thread: whatever occupies it stops all others
    std::unique_ptr<FrontServer> server;

    void start(const FrontCapacity &capacity = {})
    {
        server = std::make_unique<FrontServer>("slow", "127.0.0.1:0", handler, pool, capacity);
    }
    void teardown() override
    {
        server->stop();
        pool.stop();
        server.reset();
    }
    bool ordinaryAnswered() const
    {
        const auto caller = connectTo(*server);
        sendAll(*caller, ShortRequest);
        return awaitText(*caller, "HTTP/1.1 200");
    }
};

// A caller whose request isn't complete must not occupy a thread, neither in its head nor in its body.
TEST(SlowCallers, UnfinishedRequestsOccupyNoThread)
{
    start();
    const auto inHead = connectTo(*server);
    const auto inBody = connectTo(*server);
    sendAll(*inHead, "GET /short HTTP/1.1\r\nHost: ");
    sendAll(*inBody, "POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345");
    CHECK(eventually([this] {
        return server->activeRequests() == 2;
    }));
    CHECK(ordinaryAnswered());
    sendAll(*inHead, "h\r\n\r\n");
    sendAll(*inBody, "67890");
    CHECK(awaitText(*inHead, "\r\n\r\n0"));
    CHECK(awaitText(*inBody, "\r\n\r\n10"));
}

// A caller that doesn't read its reply must not occupy a thread, and gets the whole reply when it reads on.
TEST(SlowCallers, UnreadRepliesOccupyNoThread)
{
    start();
    const auto slow = connectTo(*server);
    sendAll(*slow, "GET /long HTTP/1.1\r\nHost: h\r\n\r\nGET /short HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(eventually([this] {
        return server->activeRequests() == 1;
    }));
    CHECK(ordinaryAnswered());
    CHECK(awaitText(*slow, "xHTTP/1.1 200")); // the pipelined request's reply follows the long one
    CHECK(slow->received().size() > LongReply);
}

// Bodies that stop short use the budget up: the longest stalled are closed, and an ordinary request is answered.
TEST(SlowCallers, StalledBodiesAreClosedWhenMemoryIsShort)
{
    FrontCapacity capacity;
    capacity.memory = BudgetLimits{2048 * KibiByte, 1024 * KibiByte, 256 * KibiByte, 128 * KibiByte};
    start(capacity);
    std::vector<std::unique_ptr<Connection>> callers;
    const std::string request = "POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n" + std::string(399'000, 'x');
    CHECK(eventually([&] {
        callers.push_back(connectTo(*server));
        sendAll(*callers.back(), request);
        (void)::poll(nullptr, 0, 50);
        return server->counts().evicted > 0;
    }));
    CHECK(server->heldBytes() <= capacity.memory.total);
    CHECK(ordinaryAnswered());
    callers.clear();
    CHECK(eventually([this] {
        return server->heldBytes() == 0 && server->connectionCount() == 0;
    }));
}

// A request that gets no memory, since all others have just made progress, is refused as not run, with the time until it may be tried again.
TEST(SlowCallers, ARequestWithoutMemoryIsRefusedWithRetryAfter)
{
    FrontCapacity capacity;
    capacity.memory = BudgetLimits{256 * KibiByte, 256 * KibiByte, 64 * KibiByte, 64 * KibiByte};
    start(capacity);
    const auto caller = connectTo(*server);
    sendAll(*caller, "POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n" + std::string(300'000, 'x'));
    CHECK(awaitText(*caller, "HTTP/1.1 503"));
    CHECK(awaitText(*caller, "Retry-After: 1\r\n"));
    CHECK(ordinaryAnswered());
}

// More connections than allowed: idle ones are closed for new callers, whose requests are answered.
TEST(SlowCallers, IdleConnectionsAreClosedForNewOnes)
{
    FrontCapacity capacity;
    capacity.maxConnections = 8;
    start(capacity);
    std::vector<std::unique_ptr<Connection>> idle;
    for (int i = 0; i < 30; ++i) {
        idle.push_back(connectTo(*server));
    }
    CHECK(ordinaryAnswered());
    CHECK(server->connectionCount() <= 8);
    CHECK(server->counts().evicted > 0);
}

TEST_GROUP(Readers)
{
    class Grant final : public MemoryGrant
    {
    public:
        std::size_t limit = 1024 * KibiByte;
        std::size_t held = 0;
        bool hold(std::size_t bytes) override
        {
            if (bytes > limit) {
                return false;
            }
            held = std::max(held, bytes);
            return true;
        }
    };
    Grant grant;
    FrontLimits limits;

    void setup() override
    {
        limits.maxHeadBytes = 2 * KibiByte;
        limits.maxBodyBytes = 4 * KibiByte;
    }
    // Feeds the bytes in pieces of random sizes; returns the state after the last piece, or the first one that isn't NeedsBytes.
    RequestReader::State feed(RequestReader & reader, std::string_view bytes, std::mt19937 & random, std::string & received)
    {
        RequestReader::State state = RequestReader::State::NeedsBytes;
        while (!bytes.empty() && state == RequestReader::State::NeedsBytes) {
            const std::size_t size = std::min<std::size_t>(bytes.size(), 1 + random() % (random() % 4 == 0 ? 1000 : 3));
            received.append(bytes.substr(0, size));
            bytes.remove_prefix(size);
            state = reader.advance(received, limits, grant);
            CHECK(reader.heldBytes() <= grant.held || reader.heldBytes() < KibiByte);
        }
        received.append(bytes);
        return state;
    }
};

// A request must be the same however its bytes are divided, and what follows it must be left for the next one.
TEST(Readers, RequestsInPiecesOfAnySizeAreTheSame)
{
    std::string chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 100; ++i) {
        appendChunk(chunked, std::string(1 + static_cast<std::size_t>(i) % 7, 'c'));
    }
    chunked.append("0\r\nT: t\r\n\r\n");
    const std::string plain = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + std::string(3000, 'p');
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        for (const std::string &request : {chunked, plain}) {
            RequestReader reader;
            std::string received;
            CHECK(feed(reader, request + "GET /next", random, received) == RequestReader::State::Complete);
            STRCMP_EQUAL("GET /next", received.c_str());
            STRCMP_EQUAL("/a", reader.takeHead().target.c_str());
            LONGS_EQUAL(request == plain ? 3000 : 395, reader.takeBody().size());
        }
    }
}

// Chunk extensions and trailers without an end must be refused, also when they add up over many chunks.
TEST(Readers, ExtensionsAndTrailersWithoutEndAreRefused)
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string extensions = head;
    std::string trailers = head + "0\r\n";
    for (int i = 0; i < 2000; ++i) {
        extensions += "1;" + std::string(500, 'e') + "\r\nx\r\n";
        trailers += "t:\r\n";
    }
    std::mt19937 random(1);
    for (const std::string &request : {extensions, trailers}) {
        RequestReader reader;
        std::string received;
        CHECK(feed(reader, request, random, received) == RequestReader::State::Refused);
        LONGS_EQUAL(400, reader.status());
    }
}

// Mutated heads, chunks and bodies: the reader must end in some state, hold no more than it was granted, and return no body beyond the limit.
TEST(Readers, MutatedRequestsStayWithinTheirLimits)
{
    const std::vector<std::string> requests = {
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n10;e=1\r\n0123456789abcdef\r\n0\r\nT: t\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\nExpect: 100-continue\r\n\r\n01234567890123456789",
        "GET /a?b HTTP/1.0\r\nHost: h\r\nConnection: keep-alive, x\r\na:\r\nb:\r\n\r\n"};
    const std::string alphabet = "\r\n:;,0123456789abcdefFG -+\t\x01\xff/";
    for (unsigned seed = 1; seed <= 20'000; ++seed) {
        std::mt19937 random(seed);
        std::string request = requests[seed % requests.size()];
        for (unsigned change = random() % 4; change > 0; --change) {
            const std::size_t at = random() % request.size();
            switch (random() % 4) {
            case 0:
                request[at] = alphabet[random() % alphabet.size()];
                break;
            case 1:
                request.erase(at, 1 + random() % 5);
                break;
            case 2:
                request.insert(at, 1 + random() % 40, alphabet[random() % alphabet.size()]);
                break;
            default:
                request.insert(at, request.substr(random() % request.size(), random() % 60));
                break;
            }
        }
        RequestReader reader;
        std::string received;
        const RequestReader::State state = feed(reader, request, random, received);
        if (state == RequestReader::State::Complete) {
            CHECK(reader.takeBody().size() <= limits.maxBodyBytes);
        } else if (state == RequestReader::State::Refused) {
            CHECK(reader.status() == 400 || reader.status() == 413 || reader.status() == 431);
        }
    }
}
