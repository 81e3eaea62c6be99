#include "http/exchange.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr Duration LingerLimit = std::chrono::seconds(2); // longest wait for the peer to close its side
// Callers may use one in this many of the process's descriptors. The rest is for operators, peers, the platform and calls to backend servers.
constexpr std::size_t DescriptorShare = 2;
// Connections that have a thread, in quarters of all that may be open: each may need a further descriptor for its call to a backend server.
constexpr std::size_t ThreadQuarters = 3;
constexpr std::size_t HttpTimeoutStatus = 408;
constexpr int HttpUnavailableStatus = 503;
constexpr int HttpBadRequestStatus = 400;

ConnectionLimits limitsOf(const HttpServerSettings &settings)
{
    rlimit descriptors{};
    const bool limited = ::getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY;
    const auto threads = static_cast<std::size_t>(settings.connections);
    ConnectionLimits limits;
    limits.open = threads + static_cast<std::size_t>(settings.queuedConnections);
    limits.threads = threads;
    limits.memory = settings.memoryBytes;
    if (const std::size_t share = descriptors.rlim_cur / DescriptorShare; limited && limits.open > share) {
        limits.open = std::max<std::size_t>(share, 1);
        limits.threads = std::clamp<std::size_t>(share * ThreadQuarters / 4, 1, threads);
    }
    return limits;
}

// Returns how the body is delimited; also checks the fields against the limits.
Result<BodyFraming> checkHead(const RequestHead &head, const HttpServerSettings &settings)
{
    const std::vector<HeaderField> &fields = head.headers.all();
    const bool tooLong = std::any_of(fields.begin(), fields.end(), [&](const HeaderField &field) {
        return field.value.size() > settings.maxFieldBytes;
    });
    if (tooLong || fields.size() > settings.maxFields) {
        return fail(ErrorCode::HeaderTooLarge, "a header field is too long, or there are too many");
    }
    return requestFraming(head);
}

// Parses the head. A request with HTTP/1.0 need not name a host (RFC 9112, section 3.2), as the checks of some load balancers don't.
Result<RequestHead> parseHead(const std::string &block)
{
    auto head = parseRequestHead(block);
    const std::size_t lineEnd = block.find("\r\n");
    constexpr std::string_view OldVersion = " HTTP/1.0";
    if (head || lineEnd == std::string::npos || lineEnd < OldVersion.size() || block.compare(lineEnd - OldVersion.size(), OldVersion.size(), OldVersion) != 0) {
        return head;
    }
    return parseRequestHead(block.substr(0, lineEnd) + "\r\nHost: -" + block.substr(lineEnd)); // refused when another Host follows
}
} // namespace

// Serves the requests of one connection, one after the other, on one thread.
class ServerConnection final : public Poco::Net::TCPServerConnection
{
public:
    ServerConnection(const Poco::Net::StreamSocket &socket, HttpServer &server)
        : TCPServerConnection(socket)
        , m_server(server)
    {
    }

    void run() override
    {
        ServedConnection connection(*m_server.m_table, socket().impl()->sockfd());
        RequestReader reader(connection);
        try {
            socket().setNoDelay(true);
            while (reader.awaitRequest(std::chrono::steady_clock::now() + m_server.m_settings.idleTimeout)) {
                connection.beginRequest();
                const bool more = serveOne(connection, reader);
                connection.endRequest();
                reader.endRequest();
                if (!more) {
                    lingerClose(connection);
                    break;
                }
            }
        } catch (const Poco::Exception &) {
            return; // the connection failed between two requests: there is nothing to reply to
        }
    }

private:
    bool serveOne(ServedConnection &connection, RequestReader &reader)
    {
        const HttpServerSettings &settings = m_server.m_settings;
        const TimePoint readUntil = std::chrono::steady_clock::now() + settings.readTimeout;
        const auto block = reader.readHead(settings.maxHeadBytes, readUntil);
        if (!block) {
            return refuse(connection, reader, block.error().code);
        }
        const auto head = parseHead(*block);
        if (!head) {
            return refuse(connection, reader, head.error().code);
        }
        const auto framing = checkHead(*head, settings);
        if (!framing) {
            return refuse(connection, reader, framing.error().code);
        }
        HttpExchange exchange(settings, connection, reader, *head, *framing, readUntil);
        if (m_server.m_closing) {
            exchange.closeAfterReply();
        }
        try {
            m_server.m_handler.handle(exchange);
            exchange.finish();
        } catch (const std::exception &exception) {
            logEvent(LogLevel::Error, "http.handler_failed", {{"listener", settings.name}, {"detail", exception.what()}});
            exchange.abort();
        }
        // Also while the server closes, a connection is closed only if its reply announced that: the caller may have sent its next request.
        return exchange.m_keepAlive;
    }

    // Replies to a request that could not be read. Returns false: the connection must be closed.
    bool refuse(ServedConnection &connection, RequestReader &reader, ErrorCode code)
    {
        if (code == ErrorCode::CallerDisconnected) {
            return false;
        }
        const RequestHead head;
        const BodyFraming framing;
        HttpExchange exchange(m_server.m_settings, connection, reader, head, framing, TimePoint{});
        exchange.closeAfterReply();
        const int status = code == ErrorCode::ReadTimeout ? HttpTimeoutStatus : code == ErrorCode::Overloaded ? HttpUnavailableStatus : HttpBadRequestStatus;
        exchange.reply(status, "application/json", m_server.m_handler.describeError(code));
        return false;
    }

    // Call it before the connection is closed: reads and discards what the peer still sends, until the peer has closed its side or LingerLimit has
    // passed. Closing with unread bytes would reset the connection, and the peer would lose the reply.
    void lingerClose(ServedConnection &connection)
    {
        socket().shutdownSend();
        const TimePoint end = std::chrono::steady_clock::now() + LingerLimit;
        std::array<char, 16384> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
        while (std::chrono::steady_clock::now() < end && connection.wait(PeerWait::Close, POLLIN, end) == WaitResult::Ready) {
            if (::recv(connection.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT) <= 0) {
                return;
            }
        }
    }

    HttpServer &m_server;
};

class ServerConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit ServerConnectionFactory(HttpServer &server)
        : m_server(server)
    {
    }
    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new ServerConnection(socket, m_server); // POCO takes ownership
    }

private:
    HttpServer &m_server;
};

HttpServer::HttpServer(HttpServerSettings settings, HttpHandler &handler)
    : m_settings(std::move(settings))
    , m_handler(handler)
{
    constexpr int MinThreads = 4; // threads that the pool keeps
    constexpr int ListenBacklog = 512; // connections that the system queues until they are accepted
    const ConnectionLimits limits = limitsOf(m_settings);
    const int threads = static_cast<int>(limits.threads);
    if (threads < m_settings.connections) {
        logEvent(
            LogLevel::Warning, "http.limited_by_descriptors",
            {{"listener", m_settings.name}, {"connections", static_cast<std::uint64_t>(limits.open)}, {"threads", static_cast<std::uint64_t>(limits.threads)}});
    }
    m_table = makeRef<ConnectionTable>(limits);
    m_pool = std::make_unique<Poco::ThreadPool>(std::min(MinThreads, threads), threads + 1);
    Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams();
    params->setMaxThreads(threads);
    params->setMaxQueued(static_cast<int>(limits.open)); // the table limits the connections, so POCO closes none
    params->setThreadIdleTime(Poco::Timespan(1, 0)); // an idle thread ends after one second; a stop may take as long, as it waits for these threads
    LimitedServerSocket socket(m_table);
    socket.bind(Poco::Net::SocketAddress(m_settings.address), true, false); // no SO_REUSEPORT: a shared port would split callers between two daemons
    socket.listen(ListenBacklog);
    m_server = std::make_unique<Poco::Net::TCPServer>(new ServerConnectionFactory(*this), *m_pool, socket, params);
    m_server->start();
}

HttpServer::~HttpServer()
{
    stop(Duration::zero());
}

std::string HttpServer::address() const
{
    const Poco::Net::SocketAddress wanted(m_settings.address);
    return wanted.host().toString() + ":" + std::to_string(m_server->port());
}

std::uint16_t HttpServer::port() const
{
    return m_server->port();
}

void HttpServer::beginClosing()
{
    m_closing = true;
}

void HttpServer::stop(Duration timeout)
{
    m_server->stop();
    m_closing = true;
    m_table->closeWaiting();
    m_table->awaitRequests(timeout);
}

int HttpServer::activeRequests() const
{
    return static_cast<int>(usage().requests);
}

std::function<HttpServerUsage()> HttpServer::usageReader() const
{
    return [table = m_table] {
        return table->usage();
    };
}

HttpServerUsage HttpServer::usage() const
{
    return m_table->usage();
}

} // namespace vanillanotch
