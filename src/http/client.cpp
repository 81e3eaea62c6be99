#include "http/connection.h"
#include "http/http.h"
#include "http/stream.h"
#include "transport/transport.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <poll.h>

#include <algorithm>
#include <cerrno>

namespace vanillanotch
{

namespace
{
constexpr std::size_t MaxHeadBytes = 256 * 1024; // most bytes of a reply's head, interim replies included
constexpr Duration CancelCheckInterval = std::chrono::milliseconds(250); // time between two checks whether the listener cancels the call

// True when the peer has closed its sending side and all that it sent has been read.
bool isClosed(int socket)
{
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}
} // namespace

// A text/event-stream reply, read as its bytes arrive.
class StreamedReply final : public StreamSource
{
public:
    StreamedReply(HttpConnection &connection, HttpReplyListener &listener, EventLineDecoder decoder)
        : m_connection(connection)
        , m_listener(listener)
        , m_decoder(std::move(decoder))
    {
    }
    int descriptor() override
    {
        return m_connection.descriptor();
    }
    bool cancelled() override
    {
        return m_listener.cancelled();
    }
    std::optional<std::size_t> delivered() const override
    {
        return m_listener.delivered();
    }
    ReadResult read() override
    {
        // Checked before bytes are read: passing them on to a caller whose socket accepts none would block this worker thread and all streams that it reads.
        return callerTakesBytes() ? readNow() : ReadResult::SlowCaller;
    }
    // Reads the available bytes and passes them on, even to a slow caller. Only for the thread that made the call, since passing bytes on may
    // block until the caller takes them.
    ReadResult readNow()
    {
        std::array<char, 16384> buffer{};
        const ssize_t size = ::recv(descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return ReadResult::More;
        }
        if (size <= 0) {
            const bool whole = size == 0 && !m_decoder.chunked();
            return end(whole ? Result<void>() : fail(ErrorCode::ConnectionLost, "the stream was cut"));
        }
        return take({buffer.data(), static_cast<std::size_t>(size)});
    }
    // Decodes the bytes that were received together with the headers.
    ReadResult takeBuffered()
    {
        const std::string bytes = m_connection.takeBuffered();
        return bytes.empty() ? ReadResult::More : take(bytes);
    }
    Result<void> outcome() const
    {
        return m_outcome;
    }
    bool hasSurplus() const
    {
        return m_decoder.hasSurplus();
    }

private:
    ReadResult take(std::string_view bytes)
    {
        if (auto fed = m_decoder.feed(bytes, m_listener); !fed) {
            return end(fed);
        }
        if (m_decoder.complete()) {
            m_listener.flush();
            return end({});
        }
        m_listener.flush();
        return ReadResult::More;
    }
    ReadResult end(Result<void> outcome)
    {
        m_outcome = std::move(outcome);
        return ReadResult::Ended;
    }
    bool callerTakesBytes() const
    {
        pollfd caller{m_listener.callerSocket(), POLLOUT, 0}; // a descriptor of -1 means that there is no caller's socket; then the result is true
        return m_listener.callerSocket() < 0 || ::poll(&caller, 1, 0) == 1;
    }

    HttpConnection &m_connection;
    HttpReplyListener &m_listener;
    EventLineDecoder m_decoder;
    Result<void> m_outcome;
};

// One call over one connection. What the constructor gets by reference or pointer must outlive the object.
class HttpCall
{
public:
    HttpCall(HttpConnection &connection, const std::string &address, const HttpClientRequest &request, TimePoint deadline, Duration gapTimeout,
             HttpReplyListener *listener, std::size_t maxReplyBytes, StreamReaderPool *streamReaders)
        : m_connection(connection)
        , m_address(address)
        , m_request(request)
        , m_deadline(deadline)
        , m_gapTimeout(gapTimeout)
        , m_listener(listener)
        , m_maxReplyBytes(maxReplyBytes)
        , m_streamReaders(streamReaders)
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

    bool reusable()
    {
        return m_replyComplete && m_keepAlive && !m_surplus && !m_connection.hasBuffered();
    }

private:
    HttpFailure failure(ErrorCode code, std::string detail) const
    {
        return HttpFailure{code, m_maybeSent, false, std::move(detail)};
    }

    void send()
    {
        Poco::Net::HTTPRequest outgoing(m_request.method, m_request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        outgoing.setKeepAlive(true);
        outgoing.setHost(m_address); // sets the Host header only: POCO's session would reconnect by itself if it knew the host
        for (const auto &[name, value] : m_request.headers) {
            outgoing.set(name, value);
        }
        if (m_request.method != "GET") {
            outgoing.setContentType(m_request.contentType);
            outgoing.setContentLength64(static_cast<Poco::Int64>(m_request.body.size()));
        }
        m_maybeSent = true; // from here on a byte may have left
        m_connection.holdPackets(true); // head and body are sent together, so that the server wakes up once
        std::ostream &stream = m_connection.sendRequest(outgoing);
        stream << m_request.body << std::flush;
        m_connection.holdPackets(false);
    }

    // Waits until the connection has bytes to read. Errors: CallerDisconnected (the caller disconnected or the listener cancelled),
    // ServerTimeout (the timeout passed), DeadlineExceeded.
    Result<void> awaitBytes(Duration timeout)
    {
        if (m_connection.hasBuffered()) {
            return {};
        }
        const TimePoint end = std::min(m_deadline, std::chrono::steady_clock::now() + timeout);
        for (;;) {
            const Duration left = timeLeft(end);
            if (left <= Duration::zero()) {
                return fail(std::chrono::steady_clock::now() >= m_deadline ? ErrorCode::DeadlineExceeded : ErrorCode::ServerTimeout,
                            "no bytes within the bound");
            }
            std::array<pollfd, 2> sockets{};
            sockets[0] = pollfd{m_connection.descriptor(), POLLIN, 0};
            const int caller = m_listener != nullptr ? m_listener->callerSocket() : -1;
            sockets[1] = pollfd{m_callerHasData ? -1 : caller, POLLIN, 0};
            const Duration slice = std::min<Duration>(left, CancelCheckInterval);
            ::poll(sockets.data(), sockets.size(), static_cast<int>(toMilliseconds(slice).count()) + 1);
            if (sockets[0].revents != 0) {
                return {};
            }
            if (sockets[1].revents != 0) {
                if (isClosed(caller)) {
                    return fail(ErrorCode::CallerDisconnected);
                }
                // The caller has sent a further request, which stays unread for now. The unread bytes would end every poll() at once, so the caller's
                // socket isn't watched any more.
                m_callerHasData = true;
            }
            if (m_listener != nullptr && m_listener->cancelled()) {
                return fail(ErrorCode::CallerDisconnected);
            }
        }
    }

    tl::expected<HttpReply, HttpFailure> receive()
    {
        const Duration headerTimeout = std::min(timeLeft(m_deadline), std::max(m_request.receiveTimeout, m_gapTimeout));
        m_connection.socket().setReceiveTimeout(timespan(headerTimeout));
        m_connection.setReceiveBounds(std::chrono::steady_clock::now() + headerTimeout, MaxHeadBytes);
        Poco::Net::HTTPResponse incoming;
        (void)m_connection.receiveResponse(incoming);
        HttpReply reply;
        reply.status = incoming.getStatus();
        for (const auto &[name, value] : incoming) {
            reply.headers[Poco::toLower(name)] = value;
        }
        if (m_listener != nullptr && !m_listener->onHead(reply)) {
            return tl::unexpected(failure(ErrorCode::CallerDisconnected, "cancelled after the headers"));
        }
        const bool streamed = m_listener != nullptr && incoming.getContentType().rfind("text/event-stream", 0) == 0;
        const Result<void> read = streamed ? readLines(incoming.getChunkedTransferEncoding()) : readAll(incoming, reply.body);
        if (!read) {
            return tl::unexpected(failure(read.error().code, read.error().detail));
        }
        m_replyComplete = true;
        m_keepAlive = incoming.getKeepAlive();
        return reply;
    }

    // Reads the body by its framing. POCO's streams aren't used for it: they end in the same way when a chunked body is complete and when it
    // has broken off.
    Result<void> readAll(const Poco::Net::HTTPResponse &incoming, std::string &body)
    {
        const bool chunked = incoming.getChunkedTransferEncoding();
        const bool withoutBody = m_request.method == "HEAD" || incoming.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT
            || incoming.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
        const bool hasLength = withoutBody || (!chunked && incoming.hasContentLength());
        const auto length = withoutBody ? std::size_t{0} : static_cast<std::size_t>(std::max<Poco::Int64>(0, incoming.getContentLength64()));
        ChunkDecoder chunks;
        std::string received = m_connection.takeBuffered();
        for (;;) {
            if (chunked && !withoutBody) {
                if (const auto fed = chunks.feed(received, body); !fed) {
                    return fail(ErrorCode::InvalidReply, fed.error().detail);
                }
            } else {
                const std::size_t taken = hasLength ? std::min(received.size(), length - body.size()) : received.size();
                body.append(received, 0, taken);
                received.erase(0, taken);
            }
            if (body.size() > m_maxReplyBytes) {
                return fail(ErrorCode::InvalidReply, "the reply is longer than the limit");
            }
            if (hasLength ? body.size() == length : chunked && chunks.complete()) {
                m_surplus = !received.empty();
                return {};
            }
            if (auto ready = awaitBytes(m_gapTimeout); !ready) {
                return ready;
            }
            std::array<char, 16384> buffer{};
            const ssize_t count = ::recv(m_connection.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count == 0 && !hasLength && !chunked) {
                return {};
            }
            if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
                return fail(ErrorCode::ConnectionLost, "the reply was cut short");
            }
            received.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
    }

    Result<void> readLines(bool chunked)
    {
        StreamedReply reply(m_connection, *m_listener, EventLineDecoder(chunked, m_maxReplyBytes));
        auto outcome = readStream(reply);
        m_surplus = reply.hasSurplus();
        return outcome;
    }

    Result<void> readStream(StreamedReply &reply)
    {
        if (reply.takeBuffered() == StreamSource::ReadResult::Ended) {
            return reply.outcome();
        }
        if (m_streamReaders != nullptr) {
            const auto end = m_streamReaders->run(reply, m_deadline, m_gapTimeout);
            if (!end) {
                return tl::unexpected(end.error());
            }
            if (*end == StreamSource::ReadResult::Ended) {
                return reply.outcome();
            }
        }
        // This thread reads the rest when there are no worker threads, or when the caller is so slow that a worker would delay other streams.
        TimePoint silentAt = std::chrono::steady_clock::now() + m_gapTimeout;
        for (;;) {
            if (auto ready = awaitBytes(timeLeft(silentAt)); !ready) {
                return ready;
            }
            const auto before = reply.delivered();
            if (reply.readNow() == StreamSource::ReadResult::Ended) {
                return reply.outcome();
            }
            const bool progress = !before || reply.delivered() > before;
            silentAt = progress ? std::chrono::steady_clock::now() + m_gapTimeout : silentAt;
        }
    }

    HttpConnection &m_connection;
    const std::string &m_address;
    const HttpClientRequest &m_request;
    TimePoint m_deadline;
    Duration m_gapTimeout;
    HttpReplyListener *m_listener;
    std::size_t m_maxReplyBytes;
    StreamReaderPool *m_streamReaders;
    bool m_maybeSent = false;
    bool m_replyComplete = false;
    bool m_keepAlive = false;
    bool m_surplus = false; // further bytes came after the reply: they belong to no request, so the connection isn't used again
    bool m_callerHasData = false;
};

HttpClient::HttpClient(HttpClientSettings settings)
    : m_settings(settings)
    , m_streamReaders(settings.streamWorkers > 0 ? std::make_unique<StreamReaderPool>(settings.streamWorkers) : nullptr)
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
        if (now - candidate.since > m_settings.idleTimeout) {
            idle.clear(); // the list has the newest first, so the remaining connections have been idle even longer
            return nullptr;
        }
        // An idle connection with something to read was closed by the peer, or has bytes that belong to no reply: it isn't used.
        pollfd socket{candidate.connection->descriptor(), POLLIN, 0};
        if (::poll(&socket, 1, 0) == 0) {
            return std::move(candidate.connection);
        }
    }
    return nullptr;
}

void HttpClient::returnIdle(const std::string &address, std::unique_ptr<HttpConnection> connection)
{
    const Lock lock(m_mutex);
    auto &idle = m_idle[address];
    idle.push_front(Idle{std::move(connection), std::chrono::steady_clock::now()});
    if (idle.size() > m_settings.idlePerAddress) {
        idle.pop_back();
    }
}

void HttpClient::closeIdle(const std::string &address)
{
    const Lock lock(m_mutex);
    m_idle.erase(address);
}

void HttpClient::closeExpired()
{
    const TimePoint now = std::chrono::steady_clock::now();
    const Lock lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto &idle = it->second;
        while (!idle.empty() && now - idle.back().since > m_settings.idleTimeout) {
            idle.pop_back(); // the list has the newest first, so the last connection has been idle longest
        }
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

tl::expected<HttpReply, HttpFailure> HttpClient::call(const std::string &address, const HttpClientRequest &request, TimePoint deadline, Duration gapTimeout,
                                                      HttpReplyListener *listener)
{
    assertNoLockHeld("a thread makes an HTTP call while it holds a lock");
    if (timeLeft(deadline) <= Duration::zero()) {
        return tl::unexpected(HttpFailure{ErrorCode::DeadlineExceeded, false, false, "the deadline has passed"});
    }
    std::unique_ptr<HttpConnection> connection = request.freshConnection ? nullptr : takeIdle(address);
    const bool pooled = connection != nullptr;
    if (!pooled) {
        try {
            const Poco::Net::SocketAddress target(address);
            BoundedSocket socket;
            socket.connect(target, timespan(std::min<Duration>(m_settings.connectTimeout, timeLeft(deadline))));
            socket.setNoDelay(true);
            connection = std::make_unique<HttpConnection>(socket);
            connection->setKeepAlive(true);
        } catch (const Poco::Exception &exception) {
            return tl::unexpected(HttpFailure{ErrorCode::ConnectFailed, false, false, exception.displayText()});
        }
    }
    connection->setTimeout(timespan(m_settings.connectTimeout), timespan(m_settings.sendTimeout), timespan(request.receiveTimeout));
    HttpCall call(*connection, address, request, deadline, gapTimeout, listener, m_settings.maxReplyBytes, m_streamReaders.get());
    auto result = call.run();
    if (!result) {
        result.error().reusedConnection = pooled;
        return result;
    }
    result->freshConnection = !pooled;
    if (call.reusable()) {
        returnIdle(address, std::move(connection));
    }
    return result;
}

} // namespace vanillanotch
