// vanillanotch tunnels library: connections to backend servers for a node that has lost its own way to them.
//
// A node may be cut off from the backend servers while callers, the store and the other nodes still reach it. It then has another node, the gateway, make the
// connection and pass its bytes on in both directions: a tunnel. All decisions on a request (attempts, limits, retries, deadlines) stay at the node that has
// it; a tunnel replaces only the connection, so the attempt at a server counts once.
//
// Index of sections:
//   [REACHABILITY] Reachability: whether this node reaches the servers by itself, from its own connections
//   [GATEWAYS]     GatewayChooser: which node is asked for a tunnel
//   [DIALER]       TunnelChannel, TunnelDialer: direct connections first, tunnels while the node is cut off
//   [SERVING]      TunnelGate: what a gateway admits
//
// Rules this aggregate enforces:
//   - a node takes itself for cut off by its own failed connections only, never by what another node says;
//   - a gateway connects directly, so a tunnel never leads through a third node;
//   - a connection that another node could make is no failure of the server.
#pragma once

#include "transport/transport.h"

#include <random>
#include <set>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [REACHABILITY]
//-----------------------------------------------------------------------------

struct ReachabilitySettings {
    std::size_t failedServers = 2; // different servers whose connections failed in a row after which the node may be cut off
    std::chrono::milliseconds failureMemory{3000}; // older failures don't count
};

// Whether this node reaches the backend servers by direct connections. Thread-safe.
class Reachability
{
public:
    explicit Reachability(const Clock &clock, ReachabilitySettings settings = {});
    void recordDirect(const std::string &server, bool connected); // a direct connection was made or failed; `server`: its address
    // A gateway reached a server that this node doesn't. True: that shows for the first time that the node is cut off.
    bool recordTunnel();
    bool maybeCutOff() const; // no server was reached since the connections to some failed, so a gateway is worth asking
    bool cutOff() const; // and a gateway has reached one: direct connections aren't tried until one succeeds again

private:
    bool severalFailedLocked() const;

    const Clock &m_clock;
    const ReachabilitySettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Leaf};
    std::map<std::string, TimePoint> m_failed; // latest failure by server, since the last connection that was made
    bool m_cutOff = false;
};

//-----------------------------------------------------------------------------
// [GATEWAYS]
//-----------------------------------------------------------------------------

struct Gateway {
    std::string address;
    std::string dataCentre;
};

// Chooses among the other nodes: in turn one of this node's data centre and one of another, since what keeps this node from the servers may hold for its whole
// data centre. One that could not help is left out for a while. Thread-safe.
class GatewayChooser
{
public:
    GatewayChooser(const Clock &clock, std::string dataCentre, std::function<std::vector<Gateway>()> nodes);
    std::vector<std::string> choose(std::size_t limit); // addresses, in the order in which they are to be asked
    void leaveOut(const std::string &address);
    void leaveOutAll(); // none of those that were asked could help; so that a node that reaches no other one doesn't wait for some at each connection

private:
    const Clock &m_clock;
    const std::string m_dataCentre;
    const std::function<std::vector<Gateway>()> m_nodes;
    RankedMutex m_mutex{LockRank::Leaf};
    std::map<std::string, TimePoint> m_leftOutUntil; // by address
    TimePoint m_allLeftOutUntil{};
    std::mt19937_64 m_generator;
};

//-----------------------------------------------------------------------------
// [DIALER]
//-----------------------------------------------------------------------------

enum class TunnelError {
    Unavailable, // the gateway didn't answer, is cut off itself, or has no room
    ServerRefuses, // the gateway reached the server's host, which refuses connections
    ServerUnreachable, // the gateway doesn't reach the server either, or may not send it anything
    Cancelled
};

// Asks a gateway for a tunnel.
class TunnelChannel
{
public:
    virtual ~TunnelChannel() = default;
    // A connection to the gateway whose bytes go to and come from the server at `server` (IP:port).
    virtual tl::expected<std::unique_ptr<Connection>, TunnelError> open(const std::string &gateway, const std::string &server, TimePoint until,
                                                                        CancellationWatch &cancellation) = 0;
};

// The dialer of a node's calls to backend servers.
class TunnelDialer final : public Dialer
{
public:
    // `direct`: makes direct connections.
    TunnelDialer(Dialer &direct, TunnelChannel &channel, Reachability &reachability, GatewayChooser &gateways, MetricsRegistry &metrics);
    tl::expected<std::unique_ptr<Connection>, UpstreamFailure> dial(const std::string &address, TimePoint until, CancellationWatch &cancellation) override;
    bool refused(const std::string &address, TimePoint until) override;
    // A direct connection, whatever is known of the node; it counts in Reachability.
    tl::expected<std::unique_ptr<Connection>, UpstreamFailure> dialDirect(const std::string &address, TimePoint until, CancellationWatch &cancellation);
    // While the node is cut off: tries a direct connection to the server that was dialled last. Call it every now and then.
    void probe(TimePoint until);

private:
    tl::expected<std::unique_ptr<Connection>, TunnelError> tunnel(const std::string &address, TimePoint until, CancellationWatch &cancellation);

    Dialer &m_direct;
    TunnelChannel &m_channel;
    Reachability &m_reachability;
    GatewayChooser &m_gateways;
    Counter &m_opened;
    Counter &m_failed;
    RankedMutex m_mutex{LockRank::Leaf};
    std::string m_lastDialled; // address of a server; empty: none yet
};

// Connects directly, by `settings`, which must outlive the object.
class DirectDialer final : public Dialer
{
public:
    explicit DirectDialer(const UpstreamSettings &settings);
    tl::expected<std::unique_ptr<Connection>, UpstreamFailure> dial(const std::string &address, TimePoint until, CancellationWatch &cancellation) override;
    bool refused(const std::string &address, TimePoint until) override;

private:
    const UpstreamSettings &m_settings;
};

//-----------------------------------------------------------------------------
// [SERVING]
//-----------------------------------------------------------------------------

// What a gateway admits. Thread-safe.
class TunnelGate
{
public:
    // `usable`: whether there is a server at this address that may get requests from this node.
    TunnelGate(const Reachability &reachability, std::size_t maxTunnels, std::function<bool(const std::string &server)> usable);
    // The place of an admitted tunnel, until it is destroyed.
    class Place
    {
    public:
        explicit Place(std::atomic<std::size_t> &count)
            : m_count(&count)
        {
        }

    private:
        struct Leave {
            void operator()(std::atomic<std::size_t> *count) const
            {
                count->fetch_sub(1);
            }
        };
        std::unique_ptr<std::atomic<std::size_t>, Leave> m_count; // not owned
    };
    tl::expected<Place, TunnelError> enter(const std::string &server);
    std::size_t count() const; // tunnels that are open or being opened

private:
    const Reachability &m_reachability;
    const std::size_t m_maxTunnels;
    const std::function<bool(const std::string &server)> m_usable;
    std::atomic<std::size_t> m_count{0};
};

} // namespace vanillanotch
