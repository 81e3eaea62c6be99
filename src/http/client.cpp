#include "http/http.h"
#include "http/stream.h"
#include "transport/transport.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/String.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <sstream>

namespace vanillanotch
{

namespace
{
constexpr ReplyHeadLimits HeadLimits{256 * 1024, 256, 16};
constexpr Duration CancelCheckInterval = std::chrono::milliseconds(250); // time between two checks whether the listener cancels the call

Duration timeLeft(TimePoint deadline)
{
    return deadline - std::chrono::steady_clock::now();
}

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
    StreamedReply(Connection &connection, HttpReplyListener &listener, EventLineDecoder decoder)
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
        switch (m_connection.receive()) {
        case IoState::Progress:
            return takeReceived();
        case IoState::WouldBlock:
            return ReadResult::More;
        case IoState::Closed:
            return end(m_decoder.endsWithConnection() ? Result<void>() : fail(ErrorCode::ConnectionLost, "the stream was cut"));
        case IoState::Reset:
            break;
        }
        return end(fail(ErrorCode::ConnectionLost, "the connection failed within the stream"));
    }
    // Decodes what was received, at first the bytes that came together with the head.
    ReadResult takeReceived()
    {
        if (m_connection.received().empty() && !m_decoder.complete()) {
            return ReadResult::More;
        }
        auto fed = m_decoder.feed(m_connection.received(), m_listener);
        m_connection.received().clear();
        if (!fed) {
            return end(std::move(fed));
        }
        m_listener.flush();
        return m_decoder.complete() ? end({}) : ReadResult::More;
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

    Connection &m_connection;
    HttpReplyListener &m_listener;
    EventLineDecoder m_decoder;
    Result<void> m_outcome;
};

// One call over one connection. What the constructor gets by reference or pointer must outlive the object.
class HttpCall
{
public:
    HttpCall(Connection &connection, const std::string &address, const HttpClientRequest &request, TimePoint deadline, Duration gapTimeout,
             HttpReplyListener *listener, const HttpClientSettings &settings, StreamReaderPool *streamReaders)
        : m_connection(connection)
        , m_address(address)
        , m_request(request)
        , m_deadline(deadline)
        , m_gapTimeout(gapTimeout)
        , m_listener(listener)
        , m_settings(settings)
        , m_streamReaders(streamReaders)
    {
    }

    tl::expected<HttpReply, HttpFailure> run()
    {
        if (auto sent = send(); !sent) {
            return tl::unexpected(failure(sent.error()));
        }
        auto head = readHead();
        if (!head) {
            return tl::unexpected(failure(head.error()));
        }
        return readReply(*head);
    }

    bool reusable() const
    {
        return m_replyComplete && m_keepAlive && m_requestSent && !m_surplus && m_connection.received().empty();
    }

private:
    HttpFailure failure(const Error &error) const
    {
        return HttpFailure{error.code, m_maybeSent, false, error.detail};
    }

    // Sends the request. When the connection fails meanwhile, or accepts no more bytes, a reply that came early may still be read. Errors: ServerTimeout.
    Result<void> send()
    {
        Poco::Net::HTTPRequest outgoing(m_request.method, m_request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        outgoing.setKeepAlive(true);
        outgoing.setHost(m_address);
        for (const auto &[name, value] : m_request.headers) {
            outgoing.set(name, value);
        }
        if (m_request.method != "GET") {
            outgoing.setContentType(m_request.contentType);
            outgoing.setContentLength64(static_cast<Poco::Int64>(m_request.body.size()));
        }
        std::ostringstream encoded;
        outgoing.write(encoded);
        const std::string head = encoded.str();
        MessageParts unsent{head, m_request.body, {}};
        m_maybeSent = true; // from here on a byte may have left
        TimePoint stalledAt = std::chrono::steady_clock::now() + m_settings.sendTimeout;
        while (!unsent[0].empty() || !unsent[1].empty()) {
            const IoState state = m_connection.send(unsent);
            if (state == IoState::Reset) {
                return {};
            }
            if (state == IoState::Progress) {
                stalledAt = std::chrono::steady_clock::now() + m_settings.sendTimeout;
                continue;
            }
            pollfd entry{m_connection.descriptor(), POLLOUT, 0};
            (void)::poll(&entry, 1, pollTimeout(std::min(stalledAt, m_deadline)).count());
            if (entry.revents == 0 && timeLeft(std::min(stalledAt, m_deadline)) <= Duration::zero()) {
                pollfd reply{m_connection.descriptor(), POLLIN, 0};
                return ::poll(&reply, 1, 0) == 1 ? Result<void>() : fail(ErrorCode::ServerTimeout, "the connection accepted no bytes within the bound");
            }
        }
        m_requestSent = true;
        return {};
    }

    // Waits until the connection has bytes to read. Errors: CallerDisconnected (the caller disconnected or the listener cancelled),
    // ServerTimeout (the timeout passed), DeadlineExceeded.
    Result<void> awaitBytes(Duration timeout)
    {
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

    // Waits for further bytes of the reply and receives them. False: the connection has ended in order. Errors: ConnectionLost, and those of awaitBytes().
    Result<bool> receiveMore(Duration timeout)
    {
        for (;;) {
            if (auto ready = awaitBytes(timeout); !ready) {
                return tl::unexpected(ready.error());
            }
            switch (m_connection.receive()) {
            case IoState::Progress:
                return true;
            case IoState::Closed:
                return false;
            case IoState::Reset:
                return fail(ErrorCode::ConnectionLost, "the connection failed within the reply");
            case IoState::WouldBlock:
                break;
            }
        }
    }

    Result<ReplyHead> readHead()
    {
        const TimePoint begunBy = std::chrono::steady_clock::now() + m_request.receiveTimeout;
        const Duration rest = std::max(m_request.receiveTimeout, m_gapTimeout); // for the whole head, from its first byte
        std::optional<TimePoint> wholeBy;
        ReplyHeadReader reader(HeadLimits);
        for (;;) {
            const auto more = receiveMore(timeLeft(wholeBy.value_or(begunBy)));
            if (!more) {
                return tl::unexpected(more.error());
            }
            if (!*more) {
                return fail(ErrorCode::ConnectionLost, "the connection ended within the head of the reply");
            }
            if (auto head = reader.take(m_connection.received())) {
                return std::move(*head);
            }
            wholeBy = wholeBy.value_or(std::chrono::steady_clock::now() + rest);
        }
    }

    tl::expected<HttpReply, HttpFailure> readReply(const ReplyHead &head)
    {
        auto framing = replyFraming(head);
        if (!framing) {
            return tl::unexpected(failure(framing.error()));
        }
        if (m_request.method == "HEAD") {
            framing = BodyFraming{};
        }
        HttpReply reply;
        reply.status = head.status;
        for (const HeaderField &field : head.headers.all()) {
            reply.headers[Poco::toLower(field.name)] = field.value;
        }
        if (m_listener != nullptr && !m_listener->onHead(reply)) {
            return tl::unexpected(failure(Error{ErrorCode::CallerDisconnected, "cancelled after the headers"}));
        }
        const std::string *type = head.headers.find("Content-Type");
        const bool streamed = m_listener != nullptr && type != nullptr && type->rfind("text/event-stream", 0) == 0;
        if (const Result<void> read = streamed ? readLines(*framing) : readAll(*framing, reply.body); !read) {
            return tl::unexpected(failure(read.error()));
        }
        m_replyComplete = true;
        m_keepAlive = head.minorVersion == 1 ? !head.headers.listContains("Connection", "close") : head.headers.listContains("Connection", "keep-alive");
        return reply;
    }

    // The server has ended its sending. Waits until it has taken the whole request; false: it hasn't within the bound, or the connection has failed.
    bool requestTaken()
    {
        const TimePoint until = std::min(m_deadline, std::chrono::steady_clock::now() + m_gapTimeout);
        for (;;) {
            const bool taken = m_requestSent && m_connection.acknowledged(); // asked before the failure, which may come in between
            if (!m_requestSent || m_connection.failed()) {
                return false;
            }
            if (taken || timeLeft(until) <= Duration::zero()) {
                return taken;
            }
            pollfd entry{m_connection.descriptor(), 0, 0}; // a failure ends the wait
            (void)::poll(&entry, 1, pollTimeout(std::min(until, std::chrono::steady_clock::now() + AcknowledgementCheck)).count());
        }
    }

    Result<void> readAll(const BodyFraming &framing, std::string &body)
    {
        ChunkDecoder chunks;
        std::string &received = m_connection.received();
        for (;;) {
            if (framing.kind == BodyKind::Chunked) {
                if (const auto fed = chunks.feed(received, body); !fed) {
                    return fail(ErrorCode::InvalidReply, fed.error().detail);
                }
            } else {
                const std::size_t taken = framing.kind == BodyKind::UntilClose ? received.size() : std::min(received.size(), framing.length - body.size());
                body.append(received, 0, taken);
                received.erase(0, taken);
            }
            if (body.size() > m_settings.maxReplyBytes) {
                return fail(ErrorCode::InvalidReply, "the reply is longer than the limit");
            }
            if (framing.kind == BodyKind::Chunked ? chunks.complete() : framing.kind != BodyKind::UntilClose && body.size() == framing.length) {
                return {};
            }
            const auto more = receiveMore(m_gapTimeout);
            if (!more) {
                return tl::unexpected(more.error());
            }
            if (!*more) {
                // Without a length, the end of the connection doesn't show that the reply is whole when the server hasn't taken the whole request.
                const bool whole = framing.kind == BodyKind::UntilClose && requestTaken();
                return whole ? Result<void>() : fail(ErrorCode::ConnectionLost, "the reply was cut short");
            }
        }
    }

    Result<void> readLines(const BodyFraming &framing)
    {
        StreamedReply reply(m_connection, *m_listener, EventLineDecoder(framing, m_settings.maxReplyBytes));
        auto outcome = readStream(reply);
        if (outcome && framing.kind == BodyKind::UntilClose && !requestTaken()) {
            outcome = fail(ErrorCode::ConnectionLost, "the server has not taken the whole request");
        }
        m_surplus = reply.hasSurplus();
        return outcome;
    }

    Result<void> readStream(StreamedReply &reply)
    {
        if (reply.takeReceived() == StreamSource::ReadResult::Ended) {
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

    Connection &m_connection;
    const std::string &m_address;
    const HttpClientRequest &m_request;
    TimePoint m_deadline;
    Duration m_gapTimeout;
    HttpReplyListener *m_listener;
    const HttpClientSettings &m_settings;
    StreamReaderPool *m_streamReaders;
    bool m_maybeSent = false;
    bool m_requestSent = false; // the connection has accepted the whole request
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

std::unique_ptr<Connection> HttpClient::takeIdle(const std::string &address)
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

void HttpClient::returnIdle(const std::string &address, std::unique_ptr<Connection> connection)
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
    std::unique_ptr<Connection> connection = request.freshConnection ? nullptr : takeIdle(address);
    const bool pooled = connection != nullptr;
    if (!pooled) {
        try {
            const Poco::Net::SocketAddress target(address);
            Poco::Net::StreamSocket socket;
            const Duration timeout = std::max<Duration>(std::min<Duration>(m_settings.connectTimeout, timeLeft(deadline)), std::chrono::milliseconds(1));
            socket.connect(target, Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(timeout).count()));
            connection = std::make_unique<Connection>(socket);
        } catch (const Poco::Exception &exception) {
            return tl::unexpected(HttpFailure{ErrorCode::ConnectFailed, false, false, exception.displayText()});
        }
    }
    HttpCall call(*connection, address, request, deadline, gapTimeout, listener, m_settings, m_streamReaders.get());
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
