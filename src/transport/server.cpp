#include "transport/transport.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillanotch
{

namespace
{
constexpr int ListenBacklog = 512; // connections that the system queues until they are accepted
constexpr std::size_t MaxPipelinedBytes = 64 * 1024; // bytes of further requests that are read ahead while one is served; beyond it reading pauses
constexpr Duration ErrorReplyTimeout = std::chrono::seconds(1); // for sending the reply to a request that could not be read
constexpr Duration ExpiryCheckInterval = std::chrono::seconds(1); // time between two searches for connections that were idle too long
constexpr std::size_t MaxEventsPerWait = 64; // most events taken by one epoll_wait()
// While the server closes, a connection without any request yet is kept this long after it was accepted.
constexpr Duration FirstRequestGrace = std::chrono::seconds(1);
constexpr Duration ClosingCheckInterval = std::chrono::milliseconds(100); // as ExpiryCheckInterval, while the server closes

// True when bytes have arrived that were not received yet.
bool hasArrivedBytes(int descriptor)
{
    char byte = 0;
    return ::recv(descriptor, &byte, 1, MSG_DONTWAIT | MSG_PEEK) > 0;
}

} // namespace

// A caller's connection. A thread of the pool owns it while a request is received and served; between requests the server's event thread
// owns it.
class FrontConnection
{
public:
    explicit FrontConnection(const Poco::Net::StreamSocket &socket)
        : io(socket)
        , descriptor(io.descriptor())
    {
    }
    Connection io;
    const int descriptor; // key in FrontServer::m_connections; keeps its value after the socket is closed
    bool disconnected = false; // the caller disconnected, did not take a reply in time, or its connection was aborted
    bool idle = false; // true: the event thread owns it; guarded by the server's mutex
    TimePoint idleSince{}; // default value: it was never idle, so it isn't registered with epoll yet; guarded by the server's mutex
    bool used = false; // a request was received or begun on it; guarded by the server's mutex
};

//-----------------------------------------------------------------------------
// FrontExchange
//-----------------------------------------------------------------------------

FrontExchange::FrontExchange(FrontServer &server, FrontConnection &connection, RequestHead head, std::string body, TimePoint arrived)
    : m_server(server)
    , m_connection(connection)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_arrived(arrived)
    , m_closeAfterReply(m_head.minorVersion == 0 || m_head.headers.listContains("Connection", "close"))
{
}

std::string_view FrontExchange::path() const
{
    const std::string_view target = m_head.target;
    return target.substr(0, target.find('?'));
}

std::string FrontExchange::encodeHead(int status, const Headers &headers)
{
    m_closeAfterReply = m_closeAfterReply || m_server.closing();
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonPhrase(status)) + "\r\n";
    for (const HeaderField &field : headers.all()) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (m_closeAfterReply) {
        text += "Connection: close\r\n";
    }
    return text;
}

bool FrontExchange::send(std::string_view bytes, TimePoint until)
{
    assertNoLockHeld("FrontExchange::send");
    while (!bytes.empty() && !m_connection.disconnected) {
        const IoState state = m_connection.io.send(bytes);
        if (state == IoState::Reset) {
            m_connection.disconnected = true;
        } else if (state == IoState::WouldBlock) {
            pollfd entry{m_connection.io.descriptor(), POLLOUT, 0};
            (void)::poll(&entry, 1, pollTimeout(until).count());
            if (std::chrono::steady_clock::now() >= until) {
                m_connection.disconnected = true; // a caller that has not taken the bytes by `until` counts as disconnected
            }
        }
    }
    return !m_connection.disconnected;
}

bool FrontExchange::reply(int status, const Headers &headers, std::string_view body, TimePoint until)
{
    m_replied = true;
    std::string text = encodeHead(status, headers);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (m_head.method != "HEAD") {
        text += body;
    }
    return send(text, until);
}

bool FrontExchange::beginStream(int status, const Headers &headers, std::string_view firstBytes, TimePoint until)
{
    m_replied = true;
    m_streaming = true;
    m_chunked = m_head.minorVersion == 1;
    m_closeAfterReply = m_closeAfterReply || !m_chunked;
    std::string text = encodeHead(status, headers);
    text += m_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    if (m_chunked && !firstBytes.empty()) {
        appendChunk(text, firstBytes);
    } else {
        text += firstBytes;
    }
    return send(text, until);
}

bool FrontExchange::streamBytes(std::string_view bytes, TimePoint until)
{
    if (!m_chunked || bytes.empty()) {
        return send(bytes, until);
    }
    std::string text;
    appendChunk(text, bytes);
    return send(text, until);
}

bool FrontExchange::endStream(TimePoint until)
{
    m_streaming = false;
    return m_chunked ? send(LastChunk, until) : !m_connection.disconnected;
}

void FrontExchange::abort()
{
    m_replied = true;
    m_connection.disconnected = true;
    if (!m_streaming || !m_chunked) {
        m_connection.io.resetOnClose(); // not for a chunked stream: a reset could discard what the caller hasn't read yet
    }
}

bool FrontExchange::cancelled() const
{
    return m_connection.disconnected;
}

void FrontExchange::preparePoll(pollfd &entry) const
{
    const bool full = m_connection.io.received().size() >= MaxPipelinedBytes;
    entry.fd = m_connection.disconnected ? -1 : m_connection.io.descriptor();
    entry.events = static_cast<short>(full ? POLLRDHUP : POLLIN | POLLRDHUP);
    entry.revents = 0;
}

void FrontExchange::checkPoll(const pollfd &entry)
{
    if (entry.fd < 0 || entry.revents == 0) {
        return;
    }
    if ((entry.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
        m_connection.disconnected = true;
        return;
    }
    // What is received is the end of the connection, or bytes of a further request, which are kept until this request has been served.
    const IoState state = m_connection.io.receive();
    if (state == IoState::Closed || state == IoState::Reset) {
        m_connection.disconnected = true;
    }
}

//-----------------------------------------------------------------------------
// FrontServer
//-----------------------------------------------------------------------------

FrontServer::FrontServer(std::string name, const std::string &address, FrontHandler &handler, GrowingPool &pool)
    : m_name(std::move(name))
    , m_handler(handler)
    , m_pool(pool)
    , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    , m_wakeup(makeRef<WakeupSignal>())
{
    m_listener.bind(Poco::Net::SocketAddress(address), true, false); // no SO_REUSEPORT: a shared port would split callers between two daemons
    m_listener.listen(ListenBacklog);
    m_listener.setBlocking(false);
    for (const int descriptor : {static_cast<int>(m_listener.impl()->sockfd()), m_wakeup->descriptor()}) {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = descriptor;
        (void)::epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
    }
    m_eventThread = std::thread([this] {
        runEventLoop();
    });
}

FrontServer::~FrontServer()
{
    stop();
    ::close(m_epoll);
}

std::string FrontServer::address() const
{
    return m_listener.address().toString();
}

void FrontServer::beginClosing()
{
    m_closing = true;
}

void FrontServer::closeIdle()
{
    m_closing = true;
    m_accepting = false;
    m_wakeup->raise();
}

void FrontServer::stop()
{
    if (!m_eventThread.joinable()) {
        return;
    }
    m_stopping = true;
    m_wakeup->raise();
    m_eventThread.join();
}

void FrontServer::runEventLoop()
{
    std::array<epoll_event, MaxEventsPerWait> events{};
    TimePoint nextExpiryCheck = std::chrono::steady_clock::now() + ExpiryCheckInterval;
    while (!m_stopping) {
        const int count = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), pollTimeout(nextExpiryCheck).count());
        for (int i = 0; i < count; ++i) {
            const int descriptor = events.at(static_cast<std::size_t>(i)).data.fd;
            if (descriptor == m_wakeup->descriptor()) {
                m_wakeup->clear();
            } else if (descriptor == static_cast<int>(m_listener.impl()->sockfd())) {
                accept();
            } else {
                serveReadable(descriptor);
            }
        }
        if (!m_accepting || std::chrono::steady_clock::now() >= nextExpiryCheck) {
            closeExpired();
            nextExpiryCheck = std::chrono::steady_clock::now() + (m_accepting ? ExpiryCheckInterval : ClosingCheckInterval);
        }
    }
}

void FrontServer::accept()
{
    for (;;) {
        try {
            const Poco::Net::StreamSocket socket = m_listener.acceptConnection();
            auto connection = std::make_unique<FrontConnection>(socket);
            FrontConnection &added = *connection;
            {
                const Lock lock(m_mutex);
                m_connections[added.descriptor] = std::move(connection);
            }
            awaitNextRequest(added);
        } catch (const Poco::Exception &) {
            return; // no further connection is waiting, or the system can't accept one at the moment
        }
    }
}

void FrontServer::serveReadable(int descriptor)
{
    FrontConnection *connection = nullptr;
    {
        const Lock lock(m_mutex);
        const auto found = m_connections.find(descriptor);
        if (found == m_connections.end() || !found->second->idle) {
            return;
        }
        connection = found->second.get();
        connection->idle = false;
        connection->used = true;
    }
    ++m_activeRequests;
    m_pool.post([this, connection] {
        try {
            serve(*connection);
        } catch (const std::exception &exception) {
            // One request must not end the process, and with it all others.
            logEvent(LogLevel::Error, "request.handler_failed", {{"server", m_name}, {"detail", exception.what()}});
            connection->io.resetOnClose(); // what was sent must not look complete
            closeConnection(*connection);
        }
        --m_activeRequests;
    });
}

// Hands the connection to the event thread, which waits until the connection becomes readable.
void FrontServer::awaitNextRequest(FrontConnection &connection)
{
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.fd = connection.descriptor;
    const Lock lock(m_mutex);
    const bool registered = connection.idleSince != TimePoint{};
    connection.idle = true;
    connection.idleSince = std::chrono::steady_clock::now();
    (void)::epoll_ctl(m_epoll, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, connection.descriptor, &event);
}

void FrontServer::closeConnection(FrontConnection &connection)
{
    std::unique_ptr<FrontConnection> owned;
    {
        const Lock lock(m_mutex);
        const auto found = m_connections.find(connection.descriptor);
        owned = std::move(found->second);
        m_connections.erase(found);
        // Closed only here and in closeExpired(), with the lock held and after the entry was erased: once it is closed, a new connection may get the
        // same descriptor, which is the key in m_connections.
        owned->io.close();
    }
}

std::size_t FrontServer::connectionCount() const
{
    const Lock lock(m_mutex);
    return m_connections.size();
}

void FrontServer::closeExpired()
{
    if (!m_accepting && !m_listenerClosed) {
        accept(); // connections that the system has accepted already would be reset when the listener is closed
        m_listener.close();
        m_listenerClosed = true;
    }
    const Duration idleTimeout = m_handler.limits().idleTimeout;
    const TimePoint now = std::chrono::steady_clock::now();
    const Lock lock(m_mutex);
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        const FrontConnection &connection = *it->second;
        const Duration limit = m_accepting ? idleTimeout : connection.used ? Duration::zero() : FirstRequestGrace;
        // A request that has arrived is served: the event thread is about to hear of it.
        const bool expired = connection.idle && now - connection.idleSince >= limit && !hasArrivedBytes(connection.descriptor);
        it = expired ? m_connections.erase(it) : std::next(it);
    }
}

void FrontServer::serve(FrontConnection &connection)
{
    bool keepOpen = true;
    do {
        keepOpen = serveOne(connection);
    } while (keepOpen && !connection.io.received().empty());
    if (keepOpen) {
        awaitNextRequest(connection);
    } else {
        closeConnection(connection);
    }
}

bool FrontServer::readHead(FrontConnection &connection, const FrontLimits &limits, TimePoint until, std::string &block)
{
    std::string &received = connection.io.received();
    for (;;) {
        const std::size_t end = received.find("\r\n\r\n");
        // Only an empty line that ends with CR LF ends a head. A request with two line feeds in a row (no CR between them) before that end is refused.
        const bool bareLineFeeds = received.find("\n\n") < end;
        if (end != std::string::npos && end + 4 <= limits.maxHeadBytes && !bareLineFeeds) {
            block = received.substr(0, end + 4);
            received.erase(0, end + 4);
            return true;
        }
        if (received.size() > limits.maxHeadBytes || bareLineFeeds) {
            refuse(connection, bareLineFeeds ? ErrorCode::MalformedRequest : ErrorCode::HeaderTooLarge, bareLineFeeds ? 400 : 431);
            return false;
        }
        pollfd entry{connection.io.descriptor(), POLLIN, 0};
        (void)::poll(&entry, 1, pollTimeout(until).count());
        const IoState state = connection.io.receive();
        if (state == IoState::Closed || state == IoState::Reset) {
            return false;
        }
        if (state == IoState::WouldBlock && std::chrono::steady_clock::now() >= until) {
            if (!received.empty()) {
                refuse(connection, ErrorCode::ReadTimeout, 408);
            }
            return false;
        }
    }
}

Result<std::string> FrontServer::readBody(FrontConnection &connection, const BodyFraming &framing, const FrontLimits &limits)
{
    std::string body;
    if (framing.kind == BodyKind::None) {
        return body;
    }
    if (framing.kind == BodyKind::Length && framing.length > limits.maxBodyBytes) {
        return fail(ErrorCode::BodyTooLarge);
    }
    const TimePoint until = std::chrono::steady_clock::now() + limits.bodyTimeout;
    std::string &received = connection.io.received();
    ChunkDecoder chunks;
    for (;;) {
        if (framing.kind == BodyKind::Chunked) {
            if (auto fed = chunks.feed(received, body); !fed) {
                return tl::unexpected(fed.error());
            }
        } else {
            const std::size_t taken = std::min(received.size(), framing.length - body.size());
            body.append(received, 0, taken);
            received.erase(0, taken);
        }
        if (body.size() > limits.maxBodyBytes) {
            return fail(ErrorCode::BodyTooLarge);
        }
        if (framing.kind == BodyKind::Chunked ? chunks.complete() : body.size() == framing.length) {
            return body;
        }
        pollfd entry{connection.io.descriptor(), POLLIN, 0};
        (void)::poll(&entry, 1, pollTimeout(until).count());
        const IoState state = connection.io.receive();
        if (state == IoState::Closed || state == IoState::Reset) {
            return fail(ErrorCode::CallerDisconnected);
        }
        if (state == IoState::WouldBlock && std::chrono::steady_clock::now() >= until) {
            return fail(ErrorCode::ReadTimeout);
        }
    }
}

// Sends an error reply to a request that could not be read, and discards the bytes that have been received after it.
void FrontServer::refuse(FrontConnection &connection, ErrorCode code, int status)
{
    logEvent(LogLevel::Warning, "request.unreadable", {{"server", m_name}, {"code", code}, {"status", status}});
    FrontExchange exchange(*this, connection, RequestHead{}, std::string(), std::chrono::steady_clock::now());
    exchange.closeAfterReply();
    Headers headers;
    headers.add("Content-Type", "application/json");
    (void)exchange.reply(status, headers, m_handler.describeError(code), std::chrono::steady_clock::now() + ErrorReplyTimeout);
    // Ends the sending side and reads what has been received so far: closing a socket that holds unread bytes resets the connection, and the
    // caller could lose the reply.
    (void)::shutdown(connection.io.descriptor(), SHUT_WR);
    while (connection.io.receive() == IoState::Progress) {
        connection.io.received().clear();
    }
}

bool FrontServer::serveOne(FrontConnection &connection)
{
    const TimePoint arrived = std::chrono::steady_clock::now();
    const FrontLimits limits = m_handler.limits();
    std::string block;
    if (!readHead(connection, limits, arrived + limits.headTimeout, block)) {
        return false;
    }
    auto head = parseRequestHead(block);
    const auto framing = head ? requestFraming(*head) : Result<BodyFraming>(tl::unexpected(head.error()));
    if (!framing) {
        refuse(connection, ErrorCode::MalformedRequest, 400);
        return false;
    }
    if (head->headers.listContains("Expect", "100-continue") && connection.io.received().empty()) {
        std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        (void)connection.io.send(interim);
    }
    auto body = readBody(connection, *framing, limits);
    if (!body) {
        const ErrorCode code = body.error().code;
        if (code != ErrorCode::CallerDisconnected) {
            refuse(connection, code, code == ErrorCode::BodyTooLarge ? 413 : code == ErrorCode::ReadTimeout ? 408 : 400);
        }
        return false;
    }
    FrontExchange exchange(*this, connection, std::move(*head), std::move(*body), arrived);
    m_handler.serve(exchange);
    const bool unfinished = !exchange.m_replied || exchange.m_streaming;
    if (unfinished && !connection.disconnected) {
        exchange.abort();
    }
    // Also while the server closes, a connection is closed here only if its reply announced that: the caller may have sent its next request.
    return !unfinished && !connection.disconnected && !exchange.m_closeAfterReply;
}

} // namespace vanillanotch
