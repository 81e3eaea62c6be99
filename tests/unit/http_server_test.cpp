// The HTTP server of vanillanotchd against callers that are not under our control, byte by byte.
#include "http/http.h"

#include <CppUTest/TestHarness.h>

#include <Poco/Net/StreamSocket.h>

#include <sstream>

using namespace vanillanotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::size_t KiB = 1024;

// Replies with the length of the body, and records the paths that it has got.
class RecordingHandler final : public HttpHandler
{
public:
    void handle(HttpExchange &exchange) override
    {
        const auto body = exchange.readBody();
        const Lock lock(m_mutex);
        if (!body) {
            ++m_unread;
            return exchange.reply(400, "text/plain", "unread");
        }
        m_paths.push_back(exchange.path());
        exchange.reply(200, "text/plain", "length " + std::to_string(body->size()));
    }
    std::string describeError(ErrorCode code) override
    {
        return std::string(errorName(code));
    }
    std::vector<std::string> paths() const
    {
        const Lock lock(m_mutex);
        return m_paths;
    }
    std::size_t unread() const
    {
        const Lock lock(m_mutex);
        return m_unread;
    }

private:
    mutable RankedMutex m_mutex{LockRank::Leaf};
    std::vector<std::string> m_paths;
    std::size_t m_unread = 0; // requests whose bodies could not be read
};

class Caller
{
public:
    explicit Caller(const HttpServer &server)
        : m_socket(Poco::Net::SocketAddress(server.address()))
    {
        m_socket.setReceiveTimeout(Poco::Timespan(30, 0));
    }
    void send(const std::string &bytes)
    {
        m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    void endSending()
    {
        m_socket.shutdownSend();
    }
    // Receives until the server closes the connection; empty: it was closed without a reply.
    std::string receiveAll()
    {
        std::string received;
        std::array<char, 4096> buffer{};
        try {
            for (int count = 1; count > 0;) {
                count = m_socket.receiveBytes(buffer.data(), buffer.size());
                received.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
            }
        } catch (const Poco::Exception &) {
            return received; // reset
        }
        return received;
    }

private:
    Poco::Net::StreamSocket m_socket;
};

bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 6000 && !condition(); ++i) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
}

std::string chunk(std::size_t size)
{
    std::ostringstream out;
    out << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
    return out.str();
}
} // namespace

TEST_GROUP(HttpServers)
{
    RecordingHandler handler;
    std::unique_ptr<HttpServer> server;

    void start(const std::function<void(HttpServerSettings &)> &change = {})
    {
        HttpServerSettings settings;
        settings.name = "test";
        if (change) {
            change(settings);
        }
        server = std::make_unique<HttpServer>(settings, handler);
    }
    void teardown() override
    {
        server.reset();
    }
    bool memoryReturned() const
    {
        return eventually([this] {
            return server->usage().memoryBytes == 0;
        });
    }
};

// Guards against request smuggling: a head whose framing a proxy may read in another way is refused, and what follows it is not served as a second request.
TEST(HttpServers, AmbiguousRequestsAreRefused)
{
    start();
    const std::string begin = "POST /first HTTP/1.1\r\nHost: a\r\n";
    const std::string second = "GET /second HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::vector<std::string> heads = {
        begin + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n",
        begin + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
        begin + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
        begin + "Transfer-Encoding: identity\r\n\r\n",
        begin + "Transfer-Encoding: chunked, chunked\r\n\r\n",
        begin + "Content-Length: +0\r\n\r\n",
        begin + "Content-Length: -1\r\n\r\n",
        begin + "Content-Length: 0,0\r\n\r\n",
        begin + "X-Folded: a\r\n Content-Length: 5\r\n\r\n",
        begin + "Content-Length : 0\r\n\r\n",
        begin + "Content-Length: 0\n\r\n\r\n",
        "POST /first HTTP/1.1\nHost: a\n\n",
        "POST /first HTTP/1.1\r\n\r\n",
        begin + "Host: b\r\n\r\n",
        "POST  /first HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /first HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    };
    for (const std::string &head : heads) {
        Caller caller(*server);
        caller.send(head + second);
        caller.endSending();
        const std::string reply = caller.receiveAll();
        CHECK_TEXT(reply.rfind("HTTP/1.1 400", 0) == 0, (head + reply).c_str());
        CHECK_TEXT(reply.find("HTTP/1.1", 1) == std::string::npos, (head + reply).c_str());
    }
    LONGS_EQUAL(0, static_cast<long>(handler.paths().size()));
    CHECK(memoryReturned());
}

// Guards against a strict parser that refuses ordinary requests: several on one connection, with all framings, and one by HTTP/1.0 without Host, as some
// load balancers send it.
TEST(HttpServers, OrdinaryRequestsAreServedOnOneConnection)
{
    start();
    Caller caller(*server);
    caller.send("GET /a?x=1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;extension\r\nab\r\n1\r\nc\r\n1\r\nd\r\n0\r\nTrailer: t\r\n\r\n"
                "GET /d HTTP/1.0\r\n\r\n");
    const std::string replies = caller.receiveAll();
    CHECK(handler.paths() == (std::vector<std::string>{"/a", "/b", "/c", "/d"}));
    CHECK_TEXT(replies.find("length 3") != std::string::npos && replies.find("length 4") != std::string::npos, replies.c_str());
    CHECK(memoryReturned());
}

// Guards against half a request that is served as a whole one: a body that ends early is refused, whatever its framing.
TEST(HttpServers, ABodyThatBreaksOffIsNotServed)
{
    start();
    for (const std::string &request : {std::string("Transfer-Encoding: chunked\r\n\r\n") + chunk(10), std::string("Transfer-Encoding: chunked\r\n\r\n5\r\nab"),
                                       std::string("Transfer-Encoding: chunked\r\n\r\n") + chunk(10) + "0\r\n", std::string("Content-Length: 10\r\n\r\nabc")}) {
        Caller caller(*server);
        caller.send("POST /first HTTP/1.1\r\nHost: a\r\n" + request);
        caller.endSending();
        CHECK_TEXT(caller.receiveAll().rfind("HTTP/1.1 400", 0) == 0, request.c_str());
    }
    LONGS_EQUAL(0, static_cast<long>(handler.paths().size()));
    LONGS_EQUAL(4, static_cast<long>(handler.unread()));
    CHECK(memoryReturned());
}

// Guards against memory that stalled callers keep: each holds a body that stops short, together they hold all that large requests may use. A caller who
// then sends a whole request gets his answer, and all memory is returned.
TEST(HttpServers, StalledBodiesGiveWayToAWholeRequest)
{
    constexpr std::size_t Memory = 1024 * KiB;
    start([](HttpServerSettings &settings) {
        settings.memoryBytes = Memory;
        settings.readTimeout = seconds(60); // longer than the test waits: only the need for memory ends the stalled requests
    });
    std::vector<std::unique_ptr<Caller>> stalled;
    for (int i = 0; i < 8; ++i) {
        stalled.push_back(std::make_unique<Caller>(*server));
        stalled.back()->send("POST /stalled HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(100 * KiB));
    }
    CHECK(eventually([&] {
        return server->usage().memoryBytes > Memory / 2;
    }));
    Caller caller(*server);
    caller.send("POST /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(200 * KiB) + "0\r\n\r\n");
    const std::string reply = caller.receiveAll();
    CHECK_TEXT(reply.find("length " + std::to_string(200 * KiB)) != std::string::npos, reply.c_str());
    CHECK(server->usage().closedForOthers > 0);
    CHECK(server->usage().memoryBytes <= Memory);
    stalled.clear();
    CHECK(memoryReturned());
}

// Guards against silent connections that keep all threads: one that sends a request is served although every thread has a silent connection, which would
// stay idle for longer than the test waits.
TEST(HttpServers, SilentConnectionsGiveWayToARequest)
{
    start([](HttpServerSettings &settings) {
        settings.connections = 4;
        settings.queuedConnections = 4;
        settings.idleTimeout = seconds(300);
    });
    std::vector<std::unique_ptr<Caller>> silent;
    for (int i = 0; i < 20; ++i) {
        silent.push_back(std::make_unique<Caller>(*server));
    }
    Caller caller(*server);
    caller.send("GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(caller.receiveAll().rfind("HTTP/1.1 200", 0) == 0);
    CHECK(server->usage().connections <= 8);
}

// Guards against heads that take more memory than their limit.
TEST(HttpServers, HeadsAreLimited)
{
    start();
    const std::string begin = "GET /first HTTP/1.1\r\nHost: a\r\n";
    std::string lines;
    for (int i = 0; i < 120; ++i) {
        lines += "a: b\r\n";
    }
    for (const std::string &fields : {lines + "\r\n", "X-Long: " + std::string(9 * KiB, 'x') + "\r\n\r\n", std::string(70 * KiB, 'x')}) {
        Caller caller(*server);
        caller.send(begin + fields);
        const std::string reply = caller.receiveAll();
        CHECK_TEXT(reply.find("header_too_large") != std::string::npos, reply.c_str());
    }
    CHECK(memoryReturned());
}
