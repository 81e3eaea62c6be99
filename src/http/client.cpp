#include "http/http.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr Duration CancelCheckInterval = std::chrono::milliseconds(250);

Poco::Timespan timespan(Duration duration)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return Poco::Timespan(std::max<std::int64_t>(microseconds, 1000));
}

Duration until(TimePoint deadline)
{
    return deadline - std::chrono::steady_clock::now();
}

bool isClosed(int socket)
{
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}
} // namespace

// A POCO session which shows how much it has read ahead.
class HttpConnection final : public Poco::Net::HTTPClientSession
{
public:
    using Poco::Net::HTTPClientSession::HTTPClientSession;
    // Bytes that are read ahead. The line end that closes a chunk doesn't count: nothing can be read behind it yet.
    bool hasBuffered()
    {
        constexpr int LineEnd = 2; // bytes
        const int size = buffered();
        return size > LineEnd || (size > 0 && peek() != '\r');
    }
    void holdPackets(bool hold)
    {
        socket().setOption(IPPROTO_TCP, TCP_CORK, hold ? 1 : 0);
    }
    int descriptor()
    {
        return socket().impl()->sockfd();
    }
};

// One call over one connection.
class HttpCall
{
public:
    HttpCall(HttpConnection &connection, const std::string &address, const HttpRequestOut &request, TimePoint deadline, Duration gap, HttpWaiter *waiter,
             std::size_t replyLimit)
        : m_connection(connection)
        , m_address(address)
        , m_request(request)
        , m_deadline(deadline)
        , m_gap(gap)
        , m_waiter(waiter)
        , m_replyLimit(replyLimit)
    {
    }

    tl::expected<HttpReply, HttpFailure> run()
    {
        try {
            send();
            if (auto ready = awaitBytes(m_request.receiveTimeout); !ready) {
                return tl::unexpected(failure(ready.error().code, ready.error().detail));
            }
            return receive();
        } catch (const Poco::TimeoutException &) {
            return tl::unexpected(failure(ErrorCode::ServerTimeout, "no bytes within the bound"));
        } catch (const Poco::Exception &exception) {
            return tl::unexpected(failure(ErrorCode::ConnectionLost, exception.displayText()));
        }
    }

    bool reusable() const
    {
        return m_complete && m_keepAlive;
    }

private:
    HttpFailure failure(ErrorCode code, std::string detail) const
    {
        return HttpFailure{code, m_sent, false, std::move(detail)};
    }

    void send()
    {
        Poco::Net::HTTPRequest out(m_request.method, m_request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        out.setKeepAlive(true);
        out.setHost(m_address); // the session has none: it must never reconnect by itself
        for (const auto &[name, value] : m_request.headers) {
            out.set(name, value);
        }
        if (m_request.method != "GET") {
            out.setContentType(m_request.contentType);
            out.setContentLength64(static_cast<Poco::Int64>(m_request.body.size()));
        }
        m_sent = true; // from here on some bytes may have left
        m_connection.holdPackets(true); // head and body leave together, so that the server wakes once
        std::ostream &stream = m_connection.sendRequest(out);
        stream << m_request.body << std::flush;
        m_connection.holdPackets(false);
    }

    // Waits until the connection has bytes, the caller goes, or the time is over.
    Result<void> awaitBytes(Duration bound)
    {
        if (m_connection.hasBuffered()) {
            return {};
        }
        const TimePoint end = std::min(m_deadline, std::chrono::steady_clock::now() + bound);
        for (;;) {
            const Duration left = until(end);
            if (left <= Duration::zero()) {
                return fail(std::chrono::steady_clock::now() >= m_deadline ? ErrorCode::DeadlineExceeded : ErrorCode::ServerTimeout,
                            "no bytes within the bound");
            }
            std::array<pollfd, 2> sockets{};
            sockets[0] = pollfd{m_connection.descriptor(), POLLIN, 0};
            const int caller = m_waiter != nullptr ? m_waiter->callerSocket() : -1;
            sockets[1] = pollfd{m_callerHasData ? -1 : caller, POLLIN, 0};
            const Duration slice = std::min<Duration>(left, CancelCheckInterval);
            ::poll(sockets.data(), sockets.size(), static_cast<int>(toMilliseconds(slice).count()) + 1);
            if (sockets[0].revents != 0) {
                return {};
            }
            if (sockets[1].revents != 0) {
                if (isClosed(caller)) {
                    return fail(ErrorCode::CallerGone);
                }
                m_callerHasData = true; // a pipelined request: don't look again
            }
            if (m_waiter != nullptr && m_waiter->cancelled()) {
                return fail(ErrorCode::CallerGone);
            }
        }
    }

    tl::expected<HttpReply, HttpFailure> receive()
    {
        const Duration headerBound = std::min(until(m_deadline), std::max(m_request.receiveTimeout, m_gap));
        m_connection.socket().setReceiveTimeout(timespan(headerBound));
        Poco::Net::HTTPResponse in;
        std::istream &stream = m_connection.receiveResponse(in);
        HttpReply reply;
        reply.status = in.getStatus();
        for (const auto &[name, value] : in) {
            reply.headers[Poco::toLower(name)] = value;
        }
        if (m_waiter != nullptr && !m_waiter->begin(reply)) {
            return tl::unexpected(failure(ErrorCode::CallerGone, "cancelled after the headers"));
        }
        const bool streamed = m_waiter != nullptr && in.getContentType().rfind("text/event-stream", 0) == 0;
        const Result<void> read = streamed ? readLines(stream) : readAll(stream, in, reply.body);
        if (!read) {
            return tl::unexpected(failure(read.error().code, read.error().detail));
        }
        m_complete = true;
        m_keepAlive = in.getKeepAlive();
        return reply;
    }

    Result<void> readAll(std::istream &stream, const Poco::Net::HTTPResponse &in, std::string &body)
    {
        std::array<char, 16384> buffer{};
        for (;;) {
            const bool whole = in.hasContentLength() && static_cast<Poco::Int64>(body.size()) >= in.getContentLength64();
            if (!whole && stream.rdbuf()->in_avail() <= 0) {
                if (auto ready = awaitBytes(m_gap); !ready) {
                    return ready;
                }
            }
            const std::streamsize available = std::max<std::streamsize>(stream.rdbuf()->in_avail(), 1);
            stream.read(buffer.data(), std::min<std::streamsize>(available, buffer.size()));
            body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
            if (body.size() > m_replyLimit) {
                return fail(ErrorCode::InvalidReply, "the reply is longer than the limit");
            }
            if (!stream) {
                break;
            }
        }
        if (in.hasContentLength() && static_cast<Poco::Int64>(body.size()) != in.getContentLength64()) {
            return fail(ErrorCode::ConnectionLost, "the reply was cut short");
        }
        return {};
    }

    Result<void> readLines(std::istream &stream)
    {
        std::string line;
        for (;;) {
            if (stream.rdbuf()->in_avail() <= 0) {
                m_waiter->pause();
                if (auto ready = awaitBytes(m_gap); !ready) {
                    return ready;
                }
            }
            if (std::chrono::steady_clock::now() >= m_deadline) {
                return fail(ErrorCode::DeadlineExceeded, "the deadline passed while the reply was streamed");
            }
            if (!std::getline(stream, line)) {
                m_waiter->pause();
                return {};
            }
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (line.size() > m_replyLimit) {
                return fail(ErrorCode::InvalidReply, "a line of the reply is longer than the limit");
            }
            if (!line.empty() && !m_waiter->line(line)) {
                return fail(ErrorCode::CallerGone);
            }
        }
    }

    HttpConnection &m_connection;
    const std::string &m_address;
    const HttpRequestOut &m_request;
    TimePoint m_deadline;
    Duration m_gap;
    HttpWaiter *m_waiter;
    std::size_t m_replyLimit;
    bool m_sent = false;
    bool m_complete = false;
    bool m_keepAlive = false;
    bool m_callerHasData = false;
};

HttpClient::HttpClient(HttpClientSettings settings)
    : m_settings(settings)
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpConnection> HttpClient::takeIdle(const std::string &address)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const Lock lock(m_mutex);
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        Idle candidate = std::move(idle.front());
        idle.pop_front();
        if (now - candidate.since > m_settings.idleLimit) {
            idle.clear(); // the others are older
            return nullptr;
        }
        pollfd socket{candidate.connection->descriptor(), POLLIN, 0};
        if (::poll(&socket, 1, 0) == 0) {
            return std::move(candidate.connection);
        }
    }
    return nullptr;
}

void HttpClient::giveBack(const std::string &address, std::unique_ptr<HttpConnection> connection)
{
    const Lock lock(m_mutex);
    auto &idle = m_idle[address];
    idle.push_front(Idle{std::move(connection), std::chrono::steady_clock::now()});
    if (idle.size() > m_settings.idlePerAddress) {
        idle.pop_back();
    }
}

void HttpClient::dropIdle(const std::string &address)
{
    const Lock lock(m_mutex);
    m_idle.erase(address);
}

void HttpClient::closeOld()
{
    const TimePoint now = std::chrono::steady_clock::now();
    const Lock lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto &idle = it->second;
        while (!idle.empty() && now - idle.back().since > m_settings.idleLimit) {
            idle.pop_back(); // the oldest is last
        }
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

tl::expected<HttpReply, HttpFailure> HttpClient::call(const std::string &address, const HttpRequestOut &request, TimePoint deadline, Duration gap,
                                                      HttpWaiter *waiter)
{
    assertNoLockHeld("an HTTP call leaves the process");
    if (until(deadline) <= Duration::zero()) {
        return tl::unexpected(HttpFailure{ErrorCode::DeadlineExceeded, false, false, "the deadline has passed"});
    }
    std::unique_ptr<HttpConnection> connection = request.freshConnection ? nullptr : takeIdle(address);
    const bool pooled = connection != nullptr;
    if (!pooled) {
        try {
            const Poco::Net::SocketAddress target(address);
            Poco::Net::StreamSocket socket;
            socket.connect(target, timespan(std::min<Duration>(m_settings.connectTimeout, until(deadline))));
            socket.setNoDelay(true);
            connection = std::make_unique<HttpConnection>(socket);
            connection->setKeepAlive(true);
        } catch (const Poco::Exception &exception) {
            return tl::unexpected(HttpFailure{ErrorCode::ConnectFailed, false, false, exception.displayText()});
        }
    }
    connection->setTimeout(timespan(m_settings.connectTimeout), timespan(m_settings.sendTimeout), timespan(request.receiveTimeout));
    HttpCall call(*connection, address, request, deadline, gap, waiter, m_settings.replyLimit);
    auto result = call.run();
    if (!result) {
        result.error().pooled = pooled;
        return result;
    }
    result->freshConnection = !pooled;
    if (call.reusable()) {
        giveBack(address, std::move(connection));
    }
    return result;
}

} // namespace vanillanotch
