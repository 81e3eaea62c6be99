#include "http/http.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// SocketWatchdog
//-----------------------------------------------------------------------------

SocketWatchdog::SocketWatchdog(TimerQueue &timers)
    : m_timers(timers)
{
}

std::uint64_t SocketWatchdog::arm(const Poco::Net::StreamSocket &socket, Duration timeout)
{
    std::uint64_t token = 0;
    {
        const Lock lock(m_mutex);
        token = ++m_lastToken;
        m_armed.emplace(token, socket);
    }
    m_timers.after(timeout, [this, token] {
        check(token);
    });
    return token;
}

bool SocketWatchdog::disarm(std::uint64_t token)
{
    const Lock lock(m_mutex);
    return m_armed.erase(token) == 1;
}

void SocketWatchdog::check(std::uint64_t token)
{
    const Lock lock(m_mutex);
    const auto found = m_armed.find(token);
    if (found == m_armed.end()) {
        return;
    }
    Poco::Net::StreamSocket socket = found->second;
    m_armed.erase(found);
    try {
        socket.shutdownReceive(); // wakes the thread that reads
    } catch (const Poco::Exception &) {
        return; // the peer closed first
    }
}

//-----------------------------------------------------------------------------
// HttpExchange
//-----------------------------------------------------------------------------

HttpExchange::HttpExchange(Poco::Net::HTTPServerRequestImpl &request, Poco::Net::HTTPServerResponseImpl &response, std::size_t maxBodyBytes,
                           std::function<void()> onRead)
    : m_request(request)
    , m_response(response)
    , m_maxBodyBytes(maxBodyBytes)
    , m_onRead(std::move(onRead))
{
    try {
        const Poco::URI uri(request.getURI());
        m_path = uri.getPath();
        for (const auto &[name, value] : uri.getQueryParameters()) {
            m_query[name] = value;
        }
    } catch (const Poco::Exception &) {
        m_path.clear(); // the request's target is invalid: the handler treats the empty path as an unknown one
    }
}

const std::string &HttpExchange::method() const
{
    return m_request.getMethod();
}

std::string HttpExchange::query(const std::string &name) const
{
    const auto found = m_query.find(name);
    return found == m_query.end() ? std::string() : found->second;
}

std::string HttpExchange::header(const std::string &name) const
{
    return m_request.get(name, std::string());
}

std::string HttpExchange::bearerToken() const
{
    const std::string value = header("Authorization");
    const std::string_view scheme = "Bearer ";
    return value.rfind(scheme, 0) == 0 ? value.substr(scheme.size()) : std::string();
}

Result<std::string> HttpExchange::readBody()
{
    if (m_request.hasContentLength() && m_request.getContentLength64() > static_cast<Poco::Int64>(m_maxBodyBytes)) {
        closeAfterReply();
        return fail(ErrorCode::BodyTooLarge, "the body is longer than " + std::to_string(m_maxBodyBytes) + " bytes");
    }
    std::string body;
    std::array<char, 16384> buffer{};
    std::istream &stream = m_request.stream();
    while (stream) {
        stream.read(buffer.data(), buffer.size());
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > m_maxBodyBytes) {
            closeAfterReply();
            return fail(ErrorCode::BodyTooLarge, "the body is longer than " + std::to_string(m_maxBodyBytes) + " bytes");
        }
    }
    const bool whole = !m_request.hasContentLength() || static_cast<Poco::Int64>(body.size()) == m_request.getContentLength64();
    if (stream.bad() || !whole) {
        closeAfterReply();
        return fail(ErrorCode::ReadTimeout, "the body ended early or came too slowly");
    }
    m_onRead();
    return body;
}

void HttpExchange::setHeader(const std::string &name, const std::string &value)
{
    m_response.set(name, value);
}

void HttpExchange::reply(int status, const std::string &contentType, const std::string &body)
{
    m_response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    m_response.setContentType(contentType);
    m_response.sendBuffer(body.data(), body.size());
}

std::ostream &HttpExchange::beginStream(const std::string &contentType)
{
    m_response.setContentType(contentType);
    m_response.setChunkedTransferEncoding(true);
    return m_response.send();
}

bool HttpExchange::replied() const
{
    return m_response.sent();
}

int HttpExchange::callerSocket() const
{
    return m_request.socket().impl()->sockfd();
}

bool HttpExchange::callerDisconnected() const
{
    char byte = 0;
    return ::recv(callerSocket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void HttpExchange::closeAfterReply()
{
    m_response.setKeepAlive(false);
}

//-----------------------------------------------------------------------------
// HttpServer
//-----------------------------------------------------------------------------

// Serves the requests of one connection, one after the other, on one thread.
class ServerConnection final : public Poco::Net::TCPServerConnection
{
public:
    ServerConnection(const Poco::Net::StreamSocket &socket, HttpServer &server, Poco::Net::HTTPServerParams::Ptr params)
        : TCPServerConnection(socket)
        , m_server(server)
        , m_params(std::move(params))
    {
    }

    void run() override
    {
        try {
            socket().setNoDelay(true);
            Poco::Net::HTTPServerSession session(socket(), m_params);
            while (awaitRequest(session)) {
                if (!serveOne(session)) {
                    lingerClose();
                    break;
                }
            }
        } catch (const Poco::Exception &) {
            return; // the connection failed between two requests: there is nothing to reply to
        }
    }

private:
    bool awaitRequest(Poco::Net::HTTPServerSession &session)
    {
        m_server.addIdle(socket());
        const bool more = session.hasMoreRequests();
        m_server.removeIdle(socket());
        return more;
    }

    bool serveOne(Poco::Net::HTTPServerSession &session)
    {
        m_watchdogToken = m_server.m_watchdog.arm(socket(), m_server.m_settings.readTimeout);
        Poco::Net::HTTPServerResponseImpl response(session);
        std::unique_ptr<Poco::Net::HTTPServerRequestImpl> request;
        try {
            request = std::make_unique<Poco::Net::HTTPServerRequestImpl>(response, session, m_params.get());
        } catch (const Poco::Net::NoMessageException &) {
            m_server.m_watchdog.disarm(m_watchdogToken);
            return false;
        } catch (const Poco::Exception &exception) {
            refuseUnreadable(response, exception);
            return false;
        }
        response.setVersion(request->getVersion());
        response.setDate(Poco::Timestamp());
        response.setKeepAlive(!m_server.m_closing && request->getKeepAlive());
        const ActiveCount active(m_server);
        serve(*request, response);
        m_server.m_watchdog.disarm(m_watchdogToken);
        session.setKeepAlive(response.getKeepAlive());
        // Also while the server closes, a connection is closed only if its reply announced that: the caller may have sent its next request.
        return response.getKeepAlive();
    }

    // Call it before the connection is closed: reads and discards what the peer still sends, until the peer has closed its side or LingerLimit has
    // passed. Closing with unread bytes would reset the connection, and the peer would lose the reply.
    void lingerClose()
    {
        constexpr Duration LingerLimit = std::chrono::seconds(2); // longest wait for the peer to close its side
        socket().shutdownSend();
        const TimePoint end = std::chrono::steady_clock::now() + LingerLimit;
        std::array<char, 16384> buffer{};
        while (std::chrono::steady_clock::now() < end) {
            if (!socket().poll(Poco::Timespan(0, 200000), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            if (socket().receiveBytes(buffer.data(), static_cast<int>(buffer.size())) <= 0) {
                return;
            }
        }
    }

    void serve(Poco::Net::HTTPServerRequestImpl &request, Poco::Net::HTTPServerResponseImpl &response)
    {
        const auto onRead = [this] {
            m_server.m_watchdog.disarm(m_watchdogToken);
        };
        if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_GET) {
            onRead(); // the body of a GET request isn't read, so the request counts as read whole and the watchdog is disarmed
        }
        HttpExchange exchange(request, response, m_server.m_settings.maxBodyBytes, onRead);
        try {
            m_server.m_handler.handle(exchange);
        } catch (const Poco::Exception &exception) {
            logEvent(LogLevel::Debug, "http.broken", {{"listener", m_server.m_settings.name}, {"detail", exception.displayText()}});
            response.setKeepAlive(false);
        } catch (const std::exception &exception) {
            logEvent(LogLevel::Error, "http.handler_failed", {{"listener", m_server.m_settings.name}, {"detail", exception.what()}});
            response.setKeepAlive(false);
        }
    }

    void refuseUnreadable(Poco::Net::HTTPServerResponseImpl &response, const Poco::Exception &exception)
    {
        const bool inTime = m_server.m_watchdog.disarm(m_watchdogToken);
        const bool tooLong =
            dynamic_cast<const Poco::Net::MessageException *>(&exception) != nullptr && exception.message().find("too long") != std::string::npos;
        ErrorCode code = ErrorCode::MalformedRequest;
        if (!inTime) {
            code = ErrorCode::ReadTimeout;
        } else if (tooLong || exception.message().find("Too many") != std::string::npos) {
            code = ErrorCode::HeaderTooLarge;
        }
        try {
            response.setKeepAlive(false);
            response.setStatusAndReason(code == ErrorCode::ReadTimeout ? Poco::Net::HTTPResponse::HTTP_REQUEST_TIMEOUT
                                                                       : Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
            response.setContentType("application/json");
            const std::string body = m_server.m_handler.describeError(code);
            response.sendBuffer(body.data(), body.size());
        } catch (const Poco::Exception &) {
            return; // the caller disconnected before the reply
        }
    }

    // Counts a request as active for as long as this object exists.
    class ActiveCount
    {
    public:
        explicit ActiveCount(HttpServer &server)
            : m_server(server)
        {
            ++m_server.m_activeRequests;
        }
        ~ActiveCount()
        {
            const Lock lock(m_server.m_mutex);
            --m_server.m_activeRequests;
            m_server.m_requestEnded.notify_all();
        }
        ActiveCount(const ActiveCount &) = delete;
        ActiveCount &operator=(const ActiveCount &) = delete;

    private:
        HttpServer &m_server;
    };

    HttpServer &m_server;
    Poco::Net::HTTPServerParams::Ptr m_params;
    std::uint64_t m_watchdogToken = 0;
};

class ServerConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit ServerConnectionFactory(HttpServer &server)
        : m_server(server)
        , m_params(new Poco::Net::HTTPServerParams())
    {
        m_params->setKeepAlive(true);
        m_params->setMaxKeepAliveRequests(0);
        m_params->setKeepAliveTimeout(Poco::Timespan(server.m_settings.idleTimeout.count() * 1000));
        m_params->setTimeout(Poco::Timespan(server.m_settings.readTimeout.count() * 1000));
    }
    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new ServerConnection(socket, m_server, m_params); // POCO takes ownership
    }

private:
    HttpServer &m_server;
    Poco::Net::HTTPServerParams::Ptr m_params;
};

HttpServer::HttpServer(HttpServerSettings settings, HttpHandler &handler, SocketWatchdog &watchdog)
    : m_settings(std::move(settings))
    , m_handler(handler)
    , m_watchdog(watchdog)
{
    constexpr int MinThreads = 4; // threads that the pool keeps
    constexpr int ListenBacklog = 512; // connections that the system queues until they are accepted
    m_pool = std::make_unique<Poco::ThreadPool>(MinThreads, m_settings.connections + 1);
    Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams();
    params->setMaxThreads(m_settings.connections);
    params->setMaxQueued(m_settings.queuedConnections);
    params->setThreadIdleTime(Poco::Timespan(1, 0)); // an idle thread ends after one second; a stop may take as long, as it waits for these threads
    Poco::Net::ServerSocket socket;
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
    closeIdle();
    Lock lock(m_mutex);
    m_requestEnded.wait_for(lock, timeout, [this] {
        return m_activeRequests == 0;
    });
}

void HttpServer::addIdle(const Poco::Net::StreamSocket &socket)
{
    const Lock lock(m_mutex);
    m_idleSockets.insert(socket);
    if (m_idleClosed) {
        shutdownIdleLocked(socket);
    }
}

void HttpServer::removeIdle(const Poco::Net::StreamSocket &socket)
{
    const Lock lock(m_mutex);
    m_idleSockets.erase(socket);
}

void HttpServer::shutdownIdleLocked(Poco::Net::StreamSocket socket)
{
    try {
        socket.shutdownReceive(); // a request that has arrived already is still read
    } catch (const Poco::Exception &exception) {
        logEvent(LogLevel::Debug, "http.already_closed", {{"listener", m_settings.name}, {"detail", exception.displayText()}});
    }
}

void HttpServer::closeIdle()
{
    const Lock lock(m_mutex);
    m_idleClosed = true;
    for (const Poco::Net::StreamSocket &socket : m_idleSockets) {
        shutdownIdleLocked(socket);
    }
}

int HttpServer::activeRequests() const
{
    return m_activeRequests;
}

} // namespace vanillanotch
