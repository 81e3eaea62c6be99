#include "transport/transport.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace vanillanotch
{

namespace
{
void setOption(int descriptor, int level, int name, int value)
{
    if (::setsockopt(descriptor, level, name, &value, sizeof value) != 0) {
        logEvent(LogLevel::Debug, "socket.option_failed", {{"option", name}, {"errno", errno}});
    }
}
} // namespace

UpstreamSettings longPollSettings()
{
    UpstreamSettings settings;
    settings.unacknowledgedTimeout = std::chrono::milliseconds(1500);
    settings.keepAliveProbes = 1;
    return settings;
}

UpstreamCall::UpstreamCall(const UpstreamSettings &settings)
    : m_settings(settings)
    , m_headReader(settings.headLimits)
{
}

UpstreamFailure UpstreamCall::failure(ErrorCode code) const
{
    return UpstreamFailure{code, m_maybeSent, false};
}

tl::expected<std::unique_ptr<Connection>, UpstreamFailure> connectDirectly(const UpstreamSettings &settings, const std::string &address, TimePoint until,
                                                                           CancellationWatch &cancellation)
{
    assertNoLockHeld("connectDirectly");
    UpstreamFailure failed{ErrorCode::ConnectFailed, false, false};
    until = std::min(until, std::chrono::steady_clock::now() + settings.connectTimeout);
    Poco::Net::StreamSocket socket;
    try {
        socket.connectNB(Poco::Net::SocketAddress(address));
    } catch (const Poco::Exception &exception) {
        failed.connectionRefused = exception.code() == ECONNREFUSED;
        return tl::unexpected(failed);
    }
    auto connection = std::make_unique<Connection>(socket);
    const int descriptor = connection->descriptor();
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(settings.unacknowledgedTimeout.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(settings.keepAliveIdle.count()));
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(settings.keepAliveInterval.count()));
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, settings.keepAliveProbes);
    for (;;) {
        std::array<pollfd, 2> entries{};
        entries[0].fd = descriptor;
        entries[0].events = POLLOUT;
        cancellation.preparePoll(entries[1]);
        (void)::poll(entries.data(), entries.size(), pollTimeout(until).count());
        cancellation.checkPoll(entries[1]);
        if (cancellation.cancelled()) {
            failed.code = ErrorCode::CallerDisconnected;
            return tl::unexpected(failed);
        }
        if ((entries[0].revents & (POLLOUT | POLLERR | POLLHUP)) != 0) {
            int error = 0;
            socklen_t size = sizeof error;
            (void)::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error == 0) {
                return connection;
            }
            failed.connectionRefused = error == ECONNREFUSED || error == ECONNRESET;
            return tl::unexpected(failed);
        }
        if (std::chrono::steady_clock::now() >= until) {
            return tl::unexpected(failed);
        }
    }
}

tl::expected<void, UpstreamFailure> UpstreamCall::open(const std::string &address, TimePoint until, CancellationWatch &cancellation)
{
    auto connection =
        m_settings.dialer != nullptr ? m_settings.dialer->dial(address, until, cancellation) : connectDirectly(m_settings, address, until, cancellation);
    if (!connection) {
        return tl::unexpected(connection.error());
    }
    m_connection = std::move(*connection);
    return {};
}

bool UpstreamCall::refused(const UpstreamSettings &settings, const std::string &address, TimePoint until)
{
    if (settings.dialer != nullptr) {
        return settings.dialer->refused(address, until);
    }
    NeverCancelled neverCancelled;
    const auto connection = connectDirectly(settings, address, until, neverCancelled);
    return !connection && connection.error().connectionRefused;
}

// Waits until bytes were received or the connection ended, and meanwhile sends what is left of the request. A body that lasts until the connection ends
// isn't taken for complete while a part of the request is unsent or not acknowledged: only that shows whether the server has closed the whole connection.
tl::expected<void, UpstreamFailure> UpstreamCall::waitForBytes(TimePoint until, CancellationWatch &cancellation)
{
    assertNoLockHeld("UpstreamCall::waitForBytes");
    for (;;) {
        const bool sending = !m_unsent.empty() && !m_sendFailed;
        const bool taken = m_serverEnded && !sending && m_connection->acknowledged(); // asked before the failure, which may come in between
        const bool lost = m_serverEnded && !sending && (m_sendFailed || m_connection->failed());
        if (taken || lost) {
            m_receiveEnded = true;
            m_reset = lost;
            return {};
        }
        const bool awaitsAcknowledgement = m_serverEnded && !sending;
        const TimePoint wakeAt = awaitsAcknowledgement ? std::min(until, std::chrono::steady_clock::now() + AcknowledgementCheck) : until;
        std::array<pollfd, 2> entries{};
        entries[0].fd = m_connection->descriptor();
        entries[0].events = static_cast<short>((m_serverEnded ? 0 : POLLIN) | (sending ? POLLOUT : 0));
        cancellation.preparePoll(entries[1]);
        (void)::poll(entries.data(), entries.size(), pollTimeout(wakeAt).count());
        cancellation.checkPoll(entries[1]);
        if (cancellation.cancelled()) {
            return tl::unexpected(failure(ErrorCode::CallerDisconnected));
        }
        const bool ended = (entries[0].revents & (POLLERR | POLLHUP)) != 0;
        if (sending && (ended || (entries[0].revents & POLLOUT) != 0) && m_connection->send(m_unsent) == IoState::Reset) {
            m_sendFailed = true; // nothing more is sent, but a reply that the server sent early may still be readable
        }
        if (!m_serverEnded && (ended || (entries[0].revents & POLLIN) != 0)) {
            switch (m_connection->receive()) {
            case IoState::Progress:
                return {};
            case IoState::Closed:
                m_serverEnded = m_framing.kind == BodyKind::UntilClose;
                m_receiveEnded = !m_serverEnded;
                if (m_receiveEnded) {
                    return {};
                }
                break;
            case IoState::Reset:
                m_receiveEnded = true;
                m_reset = true;
                return {};
            case IoState::WouldBlock:
                break;
            }
        }
        if (std::chrono::steady_clock::now() >= until) {
            return tl::unexpected(failure(ErrorCode::ServerTimeout));
        }
    }
}

tl::expected<ReplyHead, UpstreamFailure> UpstreamCall::exchange(std::string request, TimePoint until, CancellationWatch &cancellation)
{
    m_request = std::move(request);
    m_unsent = m_request;
    m_maybeSent = true; // set before the first send: from here on a byte may have left
    if (m_connection->send(m_unsent) == IoState::Reset) {
        m_sendFailed = true;
    }
    return awaitHead(until, cancellation);
}

tl::expected<ReplyHead, UpstreamFailure> UpstreamCall::awaitHead(TimePoint until, CancellationWatch &cancellation)
{
    for (;;) {
        if (auto head = m_headReader.take(m_connection->received())) {
            if (!*head) {
                return tl::unexpected(failure(ErrorCode::InvalidReply));
            }
            const auto framing = replyFraming(**head);
            if (!framing) {
                return tl::unexpected(failure(ErrorCode::InvalidReply));
            }
            m_framing = *framing;
            m_bodyComplete = m_framing.kind == BodyKind::None;
            return std::move(**head);
        }
        if (m_receiveEnded) {
            return tl::unexpected(failure(ErrorCode::ConnectionLost));
        }
        if (auto waited = waitForBytes(until, cancellation); !waited) {
            return tl::unexpected(waited.error());
        }
    }
}

tl::expected<bool, UpstreamFailure> UpstreamCall::decode(std::string &out, bool ended, bool reset)
{
    std::string &received = m_connection->received();
    if (m_framing.kind == BodyKind::Chunked) {
        if (const auto fed = m_chunks.feed(received, out); !fed) {
            return tl::unexpected(failure(ErrorCode::InvalidReply));
        }
        m_bodyComplete = m_chunks.complete();
    } else if (m_framing.kind == BodyKind::Length) {
        const std::size_t taken = std::min(received.size(), m_framing.length - m_bodyRead);
        out.append(received, 0, taken);
        received.erase(0, taken);
        m_bodyRead += taken;
        m_bodyComplete = m_bodyRead == m_framing.length;
    } else {
        out += received;
        received.clear();
        m_bodyComplete = ended && !reset;
    }
    if (!m_bodyComplete && ended) {
        return tl::unexpected(failure(ErrorCode::ConnectionLost));
    }
    return m_bodyComplete;
}

tl::expected<bool, UpstreamFailure> UpstreamCall::readBody(std::string &out, TimePoint until, CancellationWatch &cancellation)
{
    if (m_bodyComplete) {
        return true;
    }
    const std::size_t before = out.size();
    for (;;) {
        auto decoded = decode(out, m_receiveEnded, m_reset);
        if (!decoded || *decoded || out.size() > before) {
            return decoded;
        }
        if (auto waited = waitForBytes(until, cancellation); !waited) {
            return tl::unexpected(waited.error());
        }
    }
}

namespace
{
class UnlimitedMemory final : public MemoryGrant
{
public:
    bool hold(std::size_t /*bytes*/) override
    {
        return true;
    }
};
} // namespace

tl::expected<std::string, UpstreamFailure> UpstreamCall::readAll(std::size_t limit, TimePoint until, CancellationWatch &cancellation)
{
    UnlimitedMemory unlimited;
    return readAll(limit, until, cancellation, unlimited);
}

tl::expected<std::string, UpstreamFailure> UpstreamCall::readAll(std::size_t limit, const ReplyLimits &limits, TimePoint begun, CancellationWatch &cancellation)
{
    UnlimitedMemory unlimited;
    const auto nextByteBy = [&limits, begun] {
        return limits.nextByteBy(begun, std::chrono::steady_clock::now());
    };
    return readAll(limit, nextByteBy, cancellation, unlimited);
}

tl::expected<std::string, UpstreamFailure> UpstreamCall::readAll(std::size_t limit, TimePoint until, CancellationWatch &cancellation, MemoryGrant &memory)
{
    const auto nextByteBy = [until] {
        return until;
    };
    return readAll(limit, nextByteBy, cancellation, memory);
}

tl::expected<std::string, UpstreamFailure> UpstreamCall::readAll(std::size_t limit, const std::function<TimePoint()> &nextByteBy,
                                                                 CancellationWatch &cancellation, MemoryGrant &memory)
{
    std::string body;
    if (m_framing.kind == BodyKind::Length && m_framing.length > limit) {
        return tl::unexpected(failure(ErrorCode::InvalidReply));
    }
    const std::size_t known = m_framing.kind == BodyKind::Length ? m_framing.length : limit + Connection::ReceiveBytes;
    for (;;) {
        // What was received already, or one more read; memory for a body of known length is taken at once, so that several of them don't each hold a part
        // and wait for the rest.
        const std::size_t next = std::max(m_connection->received().size(), Connection::ReceiveBytes);
        const std::size_t wanted = m_framing.kind == BodyKind::Length ? known : body.size() + next;
        if (!m_bodyComplete && !growWithin(body, wanted, known, 0, memory)) {
            return tl::unexpected(failure(ErrorCode::Overloaded));
        }
        const TimePoint until = nextByteBy();
        const auto complete = readBody(body, until, cancellation);
        if (!complete) {
            return tl::unexpected(complete.error());
        }
        if (body.size() > limit) {
            return tl::unexpected(failure(ErrorCode::InvalidReply));
        }
        if (*complete) {
            return body;
        }
        if (std::chrono::steady_clock::now() >= until) {
            return tl::unexpected(failure(ErrorCode::ServerTimeout)); // bytes still come, but too late
        }
    }
}

} // namespace vanillanotch
