#include "tunnels/tunnels.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr std::size_t MaxGatewaysAsked = 3; // for one connection
constexpr Duration LeftOutTime = std::chrono::seconds(1); // for which a gateway that could not help isn't asked
} // namespace

//-----------------------------------------------------------------------------
// Reachability
//-----------------------------------------------------------------------------

Reachability::Reachability(const Clock &clock, ReachabilitySettings settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

void Reachability::recordDirect(const std::string &server, bool connected)
{
    bool reachedAgain = false;
    {
        const Lock lock(m_mutex);
        if (connected) {
            reachedAgain = std::exchange(m_cutOff, false);
            m_failed.clear();
        } else {
            m_failed[server] = m_clock.now();
        }
    }
    if (reachedAgain) {
        logEvent(LogLevel::Info, "servers.reached_again", {{"server", server}});
    }
}

bool Reachability::recordTunnel()
{
    const Lock lock(m_mutex);
    if (m_cutOff || !severalFailedLocked()) {
        return false; // also for a tunnel that was asked for before the way to the servers was back
    }
    m_cutOff = true;
    return true;
}

bool Reachability::severalFailedLocked() const
{
    const TimePoint oldest = m_clock.now() - m_settings.failureMemory;
    const auto recent = std::count_if(m_failed.begin(), m_failed.end(), [oldest](const auto &failure) {
        return failure.second >= oldest;
    });
    return static_cast<std::size_t>(recent) >= m_settings.failedServers;
}

bool Reachability::maybeCutOff() const
{
    const Lock lock(m_mutex);
    return m_cutOff || severalFailedLocked();
}

bool Reachability::cutOff() const
{
    const Lock lock(m_mutex);
    return m_cutOff;
}

//-----------------------------------------------------------------------------
// GatewayChooser
//-----------------------------------------------------------------------------

GatewayChooser::GatewayChooser(const Clock &clock, std::string dataCentre, std::function<std::vector<Gateway>()> nodes)
    : m_clock(clock)
    , m_dataCentre(std::move(dataCentre))
    , m_nodes(std::move(nodes))
    , m_generator(std::random_device{}())
{
}

std::vector<std::string> GatewayChooser::choose(std::size_t limit)
{
    std::vector<Gateway> nodes = m_nodes();
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    if (now < m_allLeftOutUntil) {
        return {};
    }
    nodes.erase(std::remove_if(nodes.begin(), nodes.end(),
                               [&](const Gateway &node) {
                                   const auto leftOut = m_leftOutUntil.find(node.address);
                                   return leftOut != m_leftOutUntil.end() && leftOut->second > now;
                               }),
                nodes.end());
    std::shuffle(nodes.begin(), nodes.end(), m_generator);
    const auto far = std::stable_partition(nodes.begin(), nodes.end(), [this](const Gateway &node) {
        return node.dataCentre == m_dataCentre;
    });
    std::vector<std::string> addresses;
    auto nextNear = nodes.begin();
    auto nextFar = far;
    while (addresses.size() < limit && (nextNear != far || nextFar != nodes.end())) {
        const bool near = nextNear != far && (addresses.size() % 2 == 0 || nextFar == nodes.end());
        addresses.push_back((near ? nextNear++ : nextFar++)->address);
    }
    return addresses;
}

void GatewayChooser::leaveOut(const std::string &address)
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (auto entry = m_leftOutUntil.begin(); entry != m_leftOutUntil.end();) {
        entry = entry->second <= now ? m_leftOutUntil.erase(entry) : std::next(entry);
    }
    m_leftOutUntil[address] = now + LeftOutTime;
}

void GatewayChooser::leaveOutAll()
{
    const Lock lock(m_mutex);
    m_allLeftOutUntil = m_clock.now() + LeftOutTime;
}

//-----------------------------------------------------------------------------
// Dialers
//-----------------------------------------------------------------------------

DirectDialer::DirectDialer(const UpstreamSettings &settings)
    : m_settings(settings)
{
}

tl::expected<std::unique_ptr<Connection>, UpstreamFailure> DirectDialer::dial(const std::string &address, TimePoint until, CancellationWatch &cancellation)
{
    return connectDirectly(m_settings, address, until, cancellation);
}

bool DirectDialer::refused(const std::string &address, TimePoint until)
{
    NeverCancelled neverCancelled;
    const auto connection = dial(address, until, neverCancelled);
    return !connection && connection.error().connectionRefused;
}

TunnelDialer::TunnelDialer(Dialer &direct, TunnelChannel &channel, Reachability &reachability, GatewayChooser &gateways, MetricsRegistry &metrics)
    : m_direct(direct)
    , m_channel(channel)
    , m_reachability(reachability)
    , m_gateways(gateways)
    , m_opened(metrics.counter("vanillanotch_tunnels_opened_total"))
    , m_failed(metrics.counter("vanillanotch_tunnels_failed_total"))
{
}

tl::expected<std::unique_ptr<Connection>, UpstreamFailure> TunnelDialer::dialDirect(const std::string &address, TimePoint until,
                                                                                    CancellationWatch &cancellation)
{
    auto connection = m_direct.dial(address, until, cancellation);
    if (connection || connection.error().code != ErrorCode::CallerDisconnected) {
        m_reachability.recordDirect(address, connection.has_value());
    }
    return connection;
}

tl::expected<std::unique_ptr<Connection>, TunnelError> TunnelDialer::tunnel(const std::string &address, TimePoint until, CancellationWatch &cancellation)
{
    TunnelError verdict = TunnelError::Unavailable;
    for (const std::string &gateway : m_gateways.choose(MaxGatewaysAsked)) {
        auto connection = m_channel.open(gateway, address, until, cancellation);
        if (connection) {
            m_opened.add();
            if (m_reachability.recordTunnel()) {
                logEvent(LogLevel::Warning, "servers.cut_off", {{"server", address}, {"gateway", gateway}});
            }
            return connection;
        }
        if (connection.error() == TunnelError::Unavailable) {
            m_gateways.leaveOut(gateway);
        } else if (connection.error() == TunnelError::Cancelled || connection.error() == std::exchange(verdict, connection.error())) {
            return connection; // two gateways agree: one alone may be cut off itself, and not know it yet
        }
        if (std::chrono::steady_clock::now() >= until) {
            break;
        }
    }
    m_failed.add();
    if (verdict == TunnelError::Unavailable) {
        m_gateways.leaveOutAll();
    }
    return tl::unexpected(verdict);
}

tl::expected<std::unique_ptr<Connection>, UpstreamFailure> TunnelDialer::dial(const std::string &address, TimePoint until, CancellationWatch &cancellation)
{
    {
        const Lock lock(m_mutex);
        m_lastDialled = address;
    }
    tl::expected<std::unique_ptr<Connection>, UpstreamFailure> direct = tl::unexpected(UpstreamFailure{ErrorCode::ConnectFailed, false, false});
    if (!m_reachability.cutOff()) {
        direct = dialDirect(address, until, cancellation);
        if (direct || direct.error().code == ErrorCode::CallerDisconnected || !m_reachability.maybeCutOff()) {
            return direct;
        }
    }
    auto connection = tunnel(address, until, cancellation);
    if (connection) {
        return std::move(*connection);
    }
    UpstreamFailure failure = direct.error();
    failure.connectionRefused = connection.error() == TunnelError::ServerRefuses;
    failure.code = connection.error() == TunnelError::Cancelled ? ErrorCode::CallerDisconnected : ErrorCode::ConnectFailed;
    return tl::unexpected(failure);
}

// A host that refuses this node may accept another one, so a gateway has the last word if one can be asked.
bool TunnelDialer::refused(const std::string &address, TimePoint until)
{
    NeverCancelled neverCancelled;
    if (!m_reachability.cutOff()) {
        const auto direct = dialDirect(address, until, neverCancelled);
        if (direct || !direct.error().connectionRefused) {
            return false;
        }
    }
    const auto connection = tunnel(address, until, neverCancelled);
    return connection ? false
                      : connection.error() == TunnelError::ServerRefuses || (connection.error() == TunnelError::Unavailable && !m_reachability.cutOff());
}

void TunnelDialer::probe(TimePoint until)
{
    std::string address;
    {
        const Lock lock(m_mutex);
        address = m_lastDialled;
    }
    if (m_reachability.cutOff() && !address.empty()) {
        NeverCancelled neverCancelled;
        (void)dialDirect(address, until, neverCancelled);
    }
}

//-----------------------------------------------------------------------------
// TunnelGate
//-----------------------------------------------------------------------------

TunnelGate::TunnelGate(const Reachability &reachability, std::size_t maxTunnels, std::function<bool(const std::string &server)> usable)
    : m_reachability(reachability)
    , m_maxTunnels(maxTunnels)
    , m_usable(std::move(usable))
{
}

tl::expected<TunnelGate::Place, TunnelError> TunnelGate::enter(const std::string &server)
{
    if (m_reachability.maybeCutOff()) {
        return tl::unexpected(TunnelError::Unavailable);
    }
    if (!m_usable(server)) {
        return tl::unexpected(TunnelError::ServerUnreachable);
    }
    const std::size_t before = m_count.fetch_add(1);
    Place place(m_count);
    if (before >= m_maxTunnels) {
        return tl::unexpected(TunnelError::Unavailable);
    }
    return place;
}

std::size_t TunnelGate::count() const
{
    return m_count;
}

} // namespace vanillanotch
