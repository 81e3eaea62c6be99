// Strict HTTP/1.1: what is ambiguous is refused at once, and nothing behind it is ever read as a request.
#include "transport/transport.h"

#include <CppUTest/TestHarness.h>

#include <poll.h>
#include <random>

using namespace vanillanotch;

namespace
{
constexpr Duration TestLimit = std::chrono::seconds(10);

class EchoHandler final : public FrontHandler
{
public:
    void serve(FrontExchange &exchange) override
    {
        ++served;
        Headers headers;
        headers.add("X-Body-Bytes", std::to_string(exchange.body().size()));
        (void)exchange.reply(200, headers, exchange.head().method + " " + std::string(exchange.path()), std::chrono::steady_clock::now() + TestLimit);
    }
    std::string describeError(ErrorCode code) override
    {
        return std::string(errorName(code));
    }
    FrontLimits limits() override
    {
        FrontLimits limits;
        limits.headBytes = 2048;
        limits.bodyBytes = 4096;
        limits.headTimeout = std::chrono::milliseconds(300);
        return limits;
    }
    std::atomic<int> served{0};
};

// Sends bytes and reads until the server closes, or until `replies` heads are there.
std::string talk(const std::string &address, std::string_view bytes, std::size_t replies)
{
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    Connection connection(socket);
    const TimePoint until = std::chrono::steady_clock::now() + TestLimit;
    std::string_view unsent = bytes;
    while (std::chrono::steady_clock::now() < until) {
        if (!unsent.empty() && connection.send(unsent) == IoState::Reset) {
            unsent = {};
        }
        pollfd entry{connection.descriptor(), POLLIN, 0};
        (void)::poll(&entry, 1, 20);
        const IoState state = connection.receive();
        std::size_t heads = 0;
        for (std::size_t at = connection.received().find("HTTP/1.1 "); at != std::string::npos; at = connection.received().find("HTTP/1.1 ", at + 1)) {
            ++heads;
        }
        if (state == IoState::Closed || state == IoState::Reset || (replies > 0 && heads >= replies)) {
            return connection.received();
        }
    }
    return "no end: " + connection.received();
}

// A complete request that must never be served when it stands behind something unreadable.
constexpr std::string_view Behind = "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n";
} // namespace

TEST_GROUP(Transport)
{
    EchoHandler handler;
    GrowingPool pool{16};
    std::unique_ptr<FrontServer> server;

    void setup() override
    {
        server = std::make_unique<FrontServer>("test", "127.0.0.1:0", handler, pool);
    }
    void teardown() override
    {
        server->stop();
        pool.stop(); // its workers may still be busy with the server's connections
        server.reset();
    }
    std::string ask(std::string_view bytes, std::size_t replies = 1)
    {
        return talk(server->address(), bytes, replies);
    }
};

TEST(Transport, AmbiguousFramingGetsAnImmediate400AndNothingBehindItIsServed)
{
    const std::vector<std::string> heads = {
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3,3\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999999\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0x3\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n folded\r\n\r\n",
        "GET /a HTTP/1.1\nHost: h\n\n",
        "GET /a HTTP/1.1\r\nHost: h\nX-A: 1\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\rX-B: 2\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\n",
        "GET a HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
        "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
        "G@T /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nab\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nab\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n 2\r\nab\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
    };
    for (const std::string &head : heads) {
        const std::string answer = ask(head + std::string(Behind), 0);
        CHECK_TRUE_TEXT(answer.rfind("HTTP/1.1 400 ", 0) == 0, head.c_str());
        CHECK_TRUE_TEXT(answer.find("HTTP/1.1", 1) == std::string::npos, head.c_str());
        CHECK_TRUE_TEXT(answer.find("Connection: close") != std::string::npos, head.c_str());
    }
    LONGS_EQUAL(0, handler.served);
}

TEST(Transport, ProperRequestsAreServedInOrderOnOneConnection)
{
    const std::string answer = ask("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
                                   "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n"
                                   "GET /c?q=1 HTTP/1.1\r\nHost: h\r\n\r\n",
                                   3);
    CHECK(answer.find("POST /a") < answer.find("POST /b"));
    CHECK(answer.find("POST /b") < answer.find("GET /c"));
    LONGS_EQUAL(3, handler.served);
}

TEST(Transport, LimitsAreAnsweredWithTheirStatus)
{
    CHECK(ask("GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(4000, 'a') + "\r\n\r\n", 0).rfind("HTTP/1.1 431", 0) == 0);
    CHECK(ask("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", 0).rfind("HTTP/1.1 413", 0) == 0);
    CHECK(ask("GET /a HTTP/1.1\r\nHost:", 0).rfind("HTTP/1.1 408", 0) == 0);
    LONGS_EQUAL(0, handler.served);
}

TEST(Transport, MutatedRequestsNeverServeMoreThanWasSent)
{
    std::mt19937_64 random(20261204);
    const std::string proper = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (int round = 0; round < 400; ++round) {
        std::string text = proper;
        for (std::uint64_t i = random() % 3 + 1; i > 0; --i) {
            const std::size_t place = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[place] = static_cast<char>(random());
                break;
            case 1:
                text.erase(place, random() % 5 + 1);
                break;
            default:
                text.insert(place, text.substr(random() % text.size(), 6));
            }
        }
        const std::size_t end = text.find("\r\n\r\n");
        if (end == std::string::npos) {
            continue;
        }
        const auto head = parseRequestHead(std::string_view(text).substr(0, end + 4));
        const auto framing = head ? requestFraming(*head) : Result<BodyFraming>(tl::unexpected(head.error()));
        if (framing && framing->kind == BodyKind::Chunked) {
            std::string in = text.substr(end + 4);
            std::string out;
            ChunkDecoder chunks;
            const std::size_t bytes = in.size();
            const auto fed = chunks.feed(in, out);
            CHECK(!fed || out.size() <= bytes);
        }
    }
}

TEST(Transport, RepliesThatAreNoHttpAreErrors)
{
    for (const char *block : {"HTTP/1.1 200 OK\nA: b\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
                              "HTTP/1.1 -20 OK\r\n\r\n", "200 OK\r\n\r\n"}) {
        CHECK_FALSE_TEXT(parseReplyHead(block).has_value(), block);
    }
    const auto twice = parseReplyHead("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n");
    CHECK(twice.has_value());
    CHECK_FALSE(replyFraming(*twice).has_value());
    CHECK(replyFraming(*parseReplyHead("HTTP/1.1 200 OK\r\n\r\n"))->kind == BodyKind::UntilClose);
}

TEST(Transport, ACallEndsWhenItsCallerGoes)
{
    // The caller's end is seen while the server's answer is awaited.
    Poco::Net::ServerSocket silent{Poco::Net::SocketAddress("127.0.0.1:0")};
    class Leaving final : public CancellationWatch
    {
    public:
        WakeupSignal left;
        bool seen = false;
        bool cancelled() const override
        {
            return seen;
        }
        void preparePoll(pollfd &entry) const override
        {
            entry.fd = left.descriptor();
            entry.events = POLLIN;
        }
        void checkPoll(const pollfd &entry) override
        {
            seen = seen || (entry.revents & POLLIN) != 0;
        }
    } caller;
    UpstreamSettings settings;
    UpstreamCall call(settings);
    const TimePoint until = std::chrono::steady_clock::now() + TestLimit;
    CHECK(call.open(silent.address().toString(), until, caller).has_value());
    caller.left.raise();
    const auto head = call.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n", until, caller);
    CHECK(!head && head.error().code == ErrorCode::CallerGone && head.error().maybeSent);
}

TEST(Transport, AConnectionThatIsRefusedHasSentNothing)
{
    std::string address;
    {
        Poco::Net::ServerSocket closed{Poco::Net::SocketAddress("127.0.0.1:0")};
        address = closed.address().toString();
    }
    NeverCancelled nobody;
    UpstreamSettings settings;
    UpstreamCall call(settings);
    const auto opened = call.open(address, std::chrono::steady_clock::now() + TestLimit, nobody);
    CHECK(!opened && opened.error().code == ErrorCode::ConnectFailed && !opened.error().maybeSent && opened.error().connectionRefused);
}

TEST(Transport, ASecondServerOnAnAddressIsRefused)
{
    CHECK_THROWS(Poco::Exception, FrontServer("second", server->address(), handler, pool));
}
