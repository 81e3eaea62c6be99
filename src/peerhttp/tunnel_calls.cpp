// Tunnels: a connection to another node whose bytes go to and come from a backend server. The call is a request of HTTP/1.0, so that what follows the reply's
// head has no framing and lasts until the connection ends, in both directions.
#include "peerhttp/peer_call.h"

#include <nlohmann/json.hpp>

#include <poll.h>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

constexpr std::size_t ErrorReplyLimit = 4096; // bytes
constexpr std::size_t MaxBufferedBytes = 64 * 1024; // of one direction; beyond it the sender waits
constexpr Duration ReplyMargin = std::chrono::milliseconds(100); // for the gateway's reply, after the time that it has for connecting
constexpr Duration IdleLimit = std::chrono::seconds(60); // a tunnel without a byte in either direction for this long is closed
constexpr Duration TakeLimit = std::chrono::seconds(10); // for the caller's side to take what the server sent

class HttpTunnelChannel final : public TunnelChannel
{
public:
    explicit HttpTunnelChannel(const UpstreamSettings &settings)
        : m_settings(settings)
    {
    }

    tl::expected<std::unique_ptr<Connection>, TunnelError> open(const std::string &gateway, const std::string &server, TimePoint until,
                                                                CancellationWatch &cancellation) override
    {
        const TimePoint connectBy = std::min(until, std::chrono::steady_clock::now() + m_settings.connectTimeout);
        const TimePoint replyBy = std::min(until, connectBy + m_settings.connectTimeout + ReplyMargin);
        UpstreamCall call(m_settings);
        if (const auto opened = call.open(gateway, connectBy, cancellation); !opened) {
            return tl::unexpected(errorOf(opened.error()));
        }
        const std::string body = Json{{"server", server}}.dump();
        const auto head = call.exchange("POST " + std::string(TunnelPath) + " HTTP/1.0\r\nHost: " + gateway
                                            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                                        replyBy, cancellation);
        if (!head) {
            return tl::unexpected(errorOf(head.error()));
        }
        if (head->headers.find(TunnelHeader) != nullptr) {
            return call.takeConnection();
        }
        const auto reply = call.readAll(ErrorReplyLimit, replyBy, cancellation);
        if (!reply) {
            return tl::unexpected(errorOf(reply.error()));
        }
        const Json json = Json::parse(*reply, nullptr, false);
        if (!json.is_object() || json.value("error", 0) != static_cast<int>(ErrorCode::ConnectFailed)) {
            return tl::unexpected(TunnelError::Unavailable);
        }
        return tl::unexpected(json.value("refused", false) ? TunnelError::ServerRefuses : TunnelError::ServerUnreachable);
    }

private:
    static TunnelError errorOf(const UpstreamFailure &failure)
    {
        return failure.code == ErrorCode::CallerDisconnected ? TunnelError::Cancelled : TunnelError::Unavailable;
    }

    const UpstreamSettings m_settings;
};

// Passes bytes on in both directions until one side ends. An orderly end of the server's side reaches the caller's as one only once the server's system has
// taken all that was sent; any other end as a reset.
class TunnelPump
{
public:
    TunnelPump(FrontExchange &exchange, Connection &server, std::function<void(std::string_view)> onServerBytes)
        : m_exchange(exchange)
        , m_server(server)
        , m_onServerBytes(std::move(onServerBytes))
    {
    }

    void run()
    {
        TimePoint idleSince = std::chrono::steady_clock::now();
        while (step()) {
            const TimePoint now = std::chrono::steady_clock::now();
            idleSince = std::exchange(m_moved, false) ? now : idleSince;
            if (now - idleSince > IdleLimit) {
                m_exchange.abort();
                return;
            }
        }
    }

private:
    bool step() // false: the tunnel has ended
    {
        std::array<pollfd, 2> entries{};
        m_exchange.preparePoll(entries[0]);
        if (m_toServer.size() >= MaxBufferedBytes) {
            entries[0].events = POLLRDHUP;
        }
        entries[1].fd = m_server.descriptor();
        entries[1].events = static_cast<short>((m_serverEnded ? 0 : POLLIN) | (m_toServer.empty() ? 0 : POLLOUT));
        const Duration wait = m_serverEnded ? Duration(AcknowledgementCheck) : IdleLimit;
        (void)::poll(entries.data(), entries.size(), pollTimeout(std::chrono::steady_clock::now() + wait).count());
        if (m_toServer.size() < MaxBufferedBytes || (entries[0].revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0) {
            m_exchange.checkPoll(entries[0]);
        }
        if (m_exchange.cancelled()) {
            m_server.resetOnClose(); // the server need not finish its work
            return false;
        }
        return passToServer() && passFromServer(entries[1]);
    }

    bool passToServer()
    {
        const std::string arrived = m_exchange.takeArrived();
        m_moved = m_moved || !arrived.empty();
        m_toServer += arrived;
        std::string_view rest = m_toServer;
        while (!rest.empty()) {
            const std::size_t before = rest.size();
            const IoState state = m_server.send(rest);
            if (state == IoState::Reset) {
                m_sendFailed = true; // a reply that the server sent early may still be readable
                rest = {};
            } else if (rest.size() == before) {
                break;
            }
        }
        m_moved = m_moved || rest.size() < m_toServer.size();
        m_toServer.erase(0, m_toServer.size() - rest.size());
        return true;
    }

    bool passFromServer(const pollfd &entry)
    {
        if (m_serverEnded) {
            if (m_toServer.empty() && m_server.acknowledged() && !m_sendFailed && !m_server.failed()) {
                (void)m_exchange.endStream(std::chrono::steady_clock::now() + TakeLimit);
                return false;
            }
            if (m_sendFailed || m_server.failed()) {
                m_exchange.abort();
                return false;
            }
            return true;
        }
        if (entry.revents == 0) {
            return true;
        }
        const IoState state = m_server.receive();
        if (state == IoState::Reset) {
            m_exchange.abort();
            return false;
        }
        m_serverEnded = state == IoState::Closed;
        if (state != IoState::Progress) {
            return true;
        }
        m_moved = true;
        const std::string bytes = std::exchange(m_server.received(), std::string());
        m_onServerBytes(bytes);
        return m_exchange.streamBytes(bytes, std::chrono::steady_clock::now() + TakeLimit);
    }

    FrontExchange &m_exchange;
    Connection &m_server;
    const std::function<void(std::string_view)> m_onServerBytes;
    std::string m_toServer; // not sent yet
    bool m_sendFailed = false;
    bool m_serverEnded = false; // it has closed its sending side
    bool m_moved = false; // bytes, since the last look
};
} // namespace

std::unique_ptr<TunnelChannel> makeTunnelChannel(const UpstreamSettings &settings)
{
    return std::make_unique<HttpTunnelChannel>(settings);
}

void PeerHandler::serveTunnel(FrontExchange &exchange)
{
    const TimePoint until = std::chrono::steady_clock::now() + PeerReplyTimeout;
    Headers headers;
    const auto refuse = [&](ErrorCode code, bool refused) {
        headers.add("Content-Type", "application/json");
        (void)exchange.reply(200, headers, Json{{"error", static_cast<int>(code)}, {"refused", refused}}.dump(), until);
    };
    const Json request = Json::parse(exchange.body(), nullptr, false);
    if (m_tunnels == nullptr || !request.is_object() || !request.contains("server") || !request["server"].is_string()) {
        refuse(ErrorCode::PeerUnavailable, false);
        return;
    }
    const std::string server = request["server"].get<std::string>();
    const auto place = m_tunnels->gate.enter(server);
    if (!place) {
        refuse(place.error() == TunnelError::Unavailable ? ErrorCode::PeerUnavailable : ErrorCode::ConnectFailed, false);
        return;
    }
    if (auto connection = m_tunnels->dialer.dialDirect(server, until, exchange); connection) {
        headers.add(TunnelHeader, "open");
        if (exchange.beginStream(200, headers, {}, until)) {
            TunnelPump(exchange, **connection, m_tunnels->observe(server)).run();
        }
    } else {
        refuse(ErrorCode::ConnectFailed, connection.error().connectionRefused);
    }
}

} // namespace vanillanotch
