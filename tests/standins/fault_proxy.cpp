// Fault-injecting TCP proxy. A link listens on a port of its own and forwards each connection to its target (an address), with the
// faults of the link's mode.
//
//   POST /links?target=IP:PORT            creates a link; reply: {"id": N, "address": "IP:PORT"}, where the address is the link's
//   POST /links/N?mode=MODE[&delay_ms=M]  delays each block that is forwarded by M ms; without delay_ms: 0. A link keeps its mode
//                                         until the next call, but silence and reset take effect once and leave the mode. Modes:
//     pass       forward
//     refuse     reset new connections at once, keep forwarding for the open ones
//     cut        close all connections, reset new ones at once
//     blackhole  all connections, open and new, stay open and forward nothing
//     silence    the connections open now forward nothing any more, whatever the later mode; new ones work
//     swallow    requests are forwarded, replies aren't
//     mute       replies are forwarded, requests aren't
//     reset      the connections open now are reset; new ones work
#include "standin.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <poll.h>

namespace
{
using namespace vanillanotch;
using Json = nlohmann::json;

enum class Mode { Pass, Refuse, Cut, Blackhole, Swallow, Mute };

// A connection that the link accepted and the one that it opened to the target for it. Two threads, one for each direction, forward.
struct ConnectionPair : RefCounted<ConnectionPair> {
    Poco::Net::StreamSocket client; // accepted on the link's port
    Poco::Net::StreamSocket server; // connected to the link's target
    std::atomic<bool> silent{false}; // forwards nothing any more; set by mode silence
    std::atomic<bool> closed{false}; // tells the pair's two forwarding threads to end
    std::atomic<bool> reset{false}; // tells the pair's forwarding threads to reset both connections; set by mode reset
};

class Link : public RefCounted<Link>
{
public:
    explicit Link(const std::string &target)
        : m_target(target)
    {
        m_listener.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true, false); // without SO_REUSEPORT, which POCO's constructor would set
        m_listener.listen();
        std::thread([self = Ref<Link>(this)] {
            self->acceptLoop();
        }).detach(); // runs until the process ends
    }
    std::string address() const
    {
        return m_listener.address().toString();
    }
    bool setMode(const std::string &mode, int delayMilliseconds)
    {
        m_delayMilliseconds = delayMilliseconds;
        if (mode == "silence") {
            const Lock lock(m_mutex);
            for (const Ref<ConnectionPair> &pair : m_pairs) {
                pair->silent = true;
            }
            return true;
        }
        if (mode == "reset") {
            const Lock lock(m_mutex);
            for (const Ref<ConnectionPair> &pair : m_pairs) {
                pair->reset = true; // the pair's forwarding threads see this and reset both connections
            }
            m_pairs.clear();
            return true;
        }
        const std::map<std::string, Mode> modes{{"pass", Mode::Pass},           {"refuse", Mode::Refuse},   {"cut", Mode::Cut},
                                                {"blackhole", Mode::Blackhole}, {"swallow", Mode::Swallow}, {"mute", Mode::Mute}};
        const auto found = modes.find(mode);
        if (found == modes.end()) {
            return false;
        }
        m_mode = found->second;
        if (m_mode == Mode::Cut) {
            const Lock lock(m_mutex);
            for (const Ref<ConnectionPair> &pair : m_pairs) {
                close(*pair);
            }
            m_pairs.clear();
        }
        return true;
    }

private:
    static void close(ConnectionPair &pair)
    {
        pair.closed = true;
        ::shutdown(pair.client.impl()->sockfd(), SHUT_RDWR);
        ::shutdown(pair.server.impl()->sockfd(), SHUT_RDWR);
    }

    // Resets both connections: with SO_LINGER of 0 each end gets an RST when the last thread of the pair releases the sockets.
    static void resetBoth(ConnectionPair &pair)
    {
        pair.closed = true;
        pair.client.setLinger(true, 0);
        pair.server.setLinger(true, 0);
    }

    void acceptLoop()
    {
        for (;;) {
            Ref<ConnectionPair> pair = makeRef<ConnectionPair>();
            pair->client = m_listener.acceptConnection();
            if (m_mode == Mode::Refuse || m_mode == Mode::Cut) {
                pair->client.setLinger(true, 0); // the client gets an RST, as from a port on which no process listens
                pair->client.close();
                continue;
            }
            try {
                pair->server.connect(Poco::Net::SocketAddress(m_target), Poco::Timespan(1, 0));
                pair->server.setNoDelay(true);
                pair->client.setNoDelay(true);
            } catch (const Poco::Exception &) {
                pair->client.setLinger(true, 0);
                pair->client.close();
                continue;
            }
            {
                const Lock lock(m_mutex);
                m_pairs.erase(std::remove_if(m_pairs.begin(), m_pairs.end(),
                                             [](const Ref<ConnectionPair> &old) {
                                                 return old->closed.load();
                                             }),
                              m_pairs.end());
                m_pairs.push_back(pair);
            }
            startForwarding(pair, true);
            startForwarding(pair, false);
        }
    }

    void startForwarding(const Ref<ConnectionPair> &pair, bool upstream)
    {
        std::thread([self = Ref<Link>(this), pair, upstream] {
            self->forward(*pair, upstream);
        }).detach();
    }

    bool isBlocked(const ConnectionPair &pair, bool upstream) const
    {
        return pair.silent || m_mode == Mode::Blackhole || (m_mode == Mode::Swallow && !upstream) || (m_mode == Mode::Mute && upstream);
    }

    void forward(ConnectionPair &pair, bool upstream)
    {
        Poco::Net::StreamSocket &from = upstream ? pair.client : pair.server;
        Poco::Net::StreamSocket &to = upstream ? pair.server : pair.client;
        std::array<char, 65536> buffer{};
        while (!pair.closed) {
            if (pair.reset) {
                return resetBoth(pair);
            }
            if (isBlocked(pair, upstream)) {
                standin::sleepFor(std::chrono::milliseconds(10));
                continue;
            }
            pollfd ready{from.impl()->sockfd(), POLLIN, 0};
            if (::poll(&ready, 1, 50) == 0) {
                continue;
            }
            const ssize_t size = ::recv(from.impl()->sockfd(), buffer.data(), buffer.size(), 0);
            while (size > 0 && isBlocked(pair, upstream) && !pair.closed) {
                standin::sleepFor(std::chrono::milliseconds(10));
            }
            if (size <= 0) {
                return close(pair);
            }
            if (m_delayMilliseconds > 0) {
                standin::sleepFor(std::chrono::milliseconds(m_delayMilliseconds));
            }
            ssize_t sent = 0;
            while (sent < size) {
                const ssize_t written = ::send(to.impl()->sockfd(), buffer.data() + sent, static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
                if (written <= 0) {
                    return close(pair);
                }
                sent += written;
            }
        }
    }

    std::string m_target;
    Poco::Net::ServerSocket m_listener;
    std::atomic<Mode> m_mode{Mode::Pass};
    std::atomic<int> m_delayMilliseconds{0};
    RankedMutex m_mutex{LockRank::Leaf};
    std::vector<Ref<ConnectionPair>> m_pairs;
};

class Proxy
{
public:
    void handle(HttpExchange &exchange)
    {
        if (exchange.path() == "/links") {
            const Lock lock(m_mutex);
            m_links.push_back(makeRef<Link>(exchange.query("target")));
            return exchange.reply(200, "application/json", Json{{"id", m_links.size() - 1}, {"address", m_links.back()->address()}}.dump());
        }
        const std::string prefix = "/links/";
        Ref<Link> link;
        {
            const Lock lock(m_mutex);
            link = m_links.at(std::stoul(exchange.path().substr(prefix.size())));
        }
        const std::string delay = exchange.query("delay_ms");
        const bool modeKnown = link->setMode(exchange.query("mode"), delay.empty() ? 0 : std::stoi(delay));
        exchange.reply(modeKnown ? 200 : 400, "text/plain", modeKnown ? "ok" : "unknown mode");
    }

private:
    RankedMutex m_mutex{LockRank::Connections};
    std::vector<Ref<Link>> m_links;
};
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = vanillanotch::standin::blockTerminationSignals();
    Proxy proxy;
    const vanillanotch::standin::StandinServer server("proxy", 16, [&proxy](vanillanotch::HttpExchange &exchange) {
        proxy.handle(exchange);
    });
    std::cout << "listening address=" << server.address() << std::endl;
    vanillanotch::standin::awaitTerminationSignal(signals);
    std::_Exit(0); // ends without destructors: detached threads still run and use the proxy's objects
}
