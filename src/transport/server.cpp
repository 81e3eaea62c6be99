#include "transport/front.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillanotch
{

namespace
{
constexpr int ListenBacklog = 512; // connections that the system queues until they are accepted
constexpr Duration ExpiryCheckInterval = std::chrono::seconds(1); // longest time between two searches for connections whose time is up
constexpr Duration ShortageCheckInterval = std::chrono::milliseconds(500); // time between two checks of the shares of stalled connections
constexpr Duration AcceptRetryInterval = std::chrono::milliseconds(50); // time until accepting is tried again after a pause
constexpr std::size_t MaxEventsPerWait = 64; // most events taken by one epoll_wait()
constexpr std::size_t ConnectionEvictionDivisor = 32; // the part of all connections that is closed at once to make room for new ones
constexpr Duration MinStall = std::chrono::milliseconds(250); // a connection with progress within this time isn't closed for others
constexpr int ReceiveBufferBytes = 256 * 1024; // of a caller's socket; the system's own limit of some MB for each connection is too much for small VMs
constexpr int MaxUnsentBytes = 128 * 1024; // most bytes that a caller's socket takes before it has sent them
// While the server closes, a connection without any request yet is kept this long after it was accepted.
constexpr Duration FirstRequestGrace = std::chrono::seconds(1);
constexpr Duration ClosingCheckInterval = std::chrono::milliseconds(100); // as ExpiryCheckInterval, while the server closes
} // namespace

FrontServer::FrontServer(std::string name, const std::string &address, FrontHandler &handler, GrowingPool &pool, const FrontCapacity &capacity)
    : m_name(std::move(name))
    , m_handler(handler)
    , m_pool(pool)
    , m_capacity(capacity)
    , m_budget(capacity.memory)
    , m_eviction(makeLongestStalledFirst(MinStall))
    , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    , m_wakeup(makeRef<WakeupSignal>())
{
    m_listener.bind(Poco::Net::SocketAddress(address), true, false); // no SO_REUSEPORT: a shared port would split callers between two daemons
    const auto listener = static_cast<int>(m_listener.impl()->sockfd());
    // Accepted sockets inherit both.
    (void)::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    (void)::setsockopt(listener, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &MaxUnsentBytes, sizeof MaxUnsentBytes);
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
    TimePoint nextShortageCheck = std::chrono::steady_clock::now() + ShortageCheckInterval;
    m_nextCheck = nextShortageCheck;
    while (!m_stopping) {
        const TimePoint wake = m_acceptPaused ? std::min(m_nextCheck, std::chrono::steady_clock::now() + AcceptRetryInterval) : m_nextCheck;
        const int count = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), pollTimeout(wake).count());
        for (int i = 0; i < count; ++i) {
            const int descriptor = events.at(static_cast<std::size_t>(i)).data.fd;
            if (descriptor == m_wakeup->descriptor()) {
                m_wakeup->clear();
            } else if (descriptor == static_cast<int>(m_listener.impl()->sockfd())) {
                accept();
            } else {
                handleEvent(descriptor);
            }
        }
        if (m_acceptPaused) {
            accept();
        }
        const TimePoint now = std::chrono::steady_clock::now();
        if (!m_accepting || now >= m_nextCheck) {
            m_nextCheck = now + (m_accepting ? ExpiryCheckInterval : ClosingCheckInterval);
            closeExpired();
        }
        if (now >= nextShortageCheck) {
            nextShortageCheck = now + ShortageCheckInterval;
            checkShortages();
        }
    }
}

//-----------------------------------------------------------------------------
// Accepting
//-----------------------------------------------------------------------------

// Has the event thread wake, or not wake, for new connections.
void FrontServer::listenFor(bool connections)
{
    if (m_acceptPaused == !connections) {
        return;
    }
    m_acceptPaused = !connections;
    m_acceptPauses += connections ? 0 : 1;
    epoll_event event{};
    event.events = connections ? std::uint32_t{EPOLLIN} : 0U;
    event.data.fd = static_cast<int>(m_listener.impl()->sockfd());
    (void)::epoll_ctl(m_epoll, EPOLL_CTL_MOD, event.data.fd, &event);
}

void FrontServer::accept()
{
    if (m_listenerClosed) {
        return;
    }
    for (;;) {
        if (connectionCount() >= m_capacity.maxConnections) {
            // Some more than are needed at the moment, so that the connections aren't searched for each new one. Streams that were shut down are closed
            // by their threads, a little later.
            if (!evict(EvictionNeed{0, 1 + m_capacity.maxConnections / ConnectionEvictionDivisor}) || connectionCount() >= m_capacity.maxConnections) {
                listenFor(false);
                return;
            }
        }
        try {
            const Poco::Net::StreamSocket socket = m_listener.acceptConnection();
            auto connection = std::make_unique<FrontConnection>(*this, m_budget, socket);
            FrontConnection &added = *connection;
            {
                const Lock lock(m_mutex);
                m_connections[added.descriptor] = std::move(connection);
            }
            park(added, Park::Idle);
        } catch (const Poco::Exception &exception) {
            const int error = exception.code();
            const bool exhausted = error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
            // No further connection is waiting; or the system can't accept one at the moment, and would report the waiting ones without a pause.
            listenFor(!exhausted);
            return;
        }
    }
}

//-----------------------------------------------------------------------------
// Connections that the event thread owns
//-----------------------------------------------------------------------------

void FrontServer::handleEvent(int descriptor)
{
    try {
        handleReadiness(descriptor);
    } catch (const std::exception &exception) {
        // One connection must not end the event thread.
        logEvent(LogLevel::Error, "connection.failed", {{"server", m_name}, {"detail", exception.what()}});
        const Lock lock(m_mutex);
        if (const auto found = m_connections.find(descriptor); found != m_connections.end() && found->second->state == FrontConnection::State::Owned) {
            found->second->deadline = TimePoint{};
            found->second->state = FrontConnection::State::Draining; // closeExpired() closes it
        }
    }
}

void FrontServer::handleReadiness(int descriptor)
{
    FrontConnection *connection = nullptr;
    FrontConnection::State state{};
    {
        const Lock lock(m_mutex);
        const auto found = m_connections.find(descriptor);
        if (found == m_connections.end() || found->second->state == FrontConnection::State::Owned) {
            return;
        }
        connection = found->second.get();
        state = connection->state;
        leaveParked(*connection);
        connection->used = true;
    }
    switch (state) {
    case FrontConnection::State::Sending:
        sendRest(*connection);
        break;
    case FrontConnection::State::Draining:
        drain(*connection);
        break;
    default:
        receive(*connection);
        break;
    }
}

void FrontServer::closeExpired()
{
    if (!m_accepting && !m_listenerClosed) {
        accept(); // connections that the system has accepted already would be reset when the listener is closed
        m_listener.close();
        m_listenerClosed = true;
        m_acceptPaused = false;
    }
    const Duration idleTimeout = m_handler.limits().idleTimeout;
    const TimePoint now = std::chrono::steady_clock::now();
    std::vector<std::unique_ptr<FrontConnection>> closed;
    std::vector<FrontConnection *> unread; // whose request was not received in time
    {
        const Lock lock(m_mutex);
        for (auto it = m_connections.begin(); it != m_connections.end();) {
            FrontConnection &connection = *it->second;
            const FrontConnection::State state = connection.state;
            bool expired = state != FrontConnection::State::Owned && state != FrontConnection::State::Idle && now >= connection.deadline;
            if (state == FrontConnection::State::Idle) {
                const Duration limit = m_accepting ? idleTimeout : connection.used ? Duration::zero() : FirstRequestGrace;
                // A request that has arrived is served: the event thread is about to hear of it.
                expired = now - connection.movedAt >= limit && !connection.hasArrivedBytes();
            } else if (state != FrontConnection::State::Owned && !expired) {
                m_nextCheck = std::min(m_nextCheck, connection.deadline);
            }
            if (!expired) {
                ++it;
                continue;
            }
            leaveParked(connection);
            if (state == FrontConnection::State::Receiving) {
                unread.push_back(&connection);
                ++it;
            } else {
                closed.push_back(std::move(it->second));
                it = m_connections.erase(it);
            }
        }
    }
    for (const auto &connection : closed) {
        if (!connection->unsent.empty()) {
            logEvent(LogLevel::Info, "front.reply_cut",
                     {{"server", m_name},
                      {"sent", static_cast<std::uint64_t>(connection->unsent.sent)},
                      {"of", static_cast<std::uint64_t>(connection->unsent.text.size())}});
            connection->io.resetOnClose(); // what was sent must not look complete
        }
        endRequest(*connection);
    }
    for (FrontConnection *connection : unread) {
        refuse(*connection, ErrorCode::ReadTimeout, 408);
    }
}

//-----------------------------------------------------------------------------
// Connections that any thread owns
//-----------------------------------------------------------------------------

// Has the event thread wait for what the connection needs.
void FrontServer::park(FrontConnection &connection, Park state)
{
    epoll_event event{};
    event.events = state == Park::Sending ? EPOLLOUT | EPOLLONESHOT : EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.fd = connection.descriptor;
    const TimePoint now = std::chrono::steady_clock::now();
    const Lock lock(m_mutex);
    switch (state) {
    case Park::Idle:
        connection.state = FrontConnection::State::Idle;
        connection.movedAt = now;
        connection.movedBytes = 0;
        break;
    case Park::Receiving:
        connection.state = FrontConnection::State::Receiving;
        connection.deadline =
            connection.headRead == TimePoint{} ? connection.arrived + connection.limits.headTimeout : connection.headRead + connection.limits.bodyTimeout;
        break;
    case Park::Sending:
        connection.state = FrontConnection::State::Sending;
        connection.deadline = connection.unsent.pause < connection.unsent.until - now ? now + connection.unsent.pause : connection.unsent.until;
        break;
    case Park::Draining:
        connection.state = FrontConnection::State::Draining;
        break;
    }
    connection.parkedBytes = connection.reservation.bytes();
    m_parkedBytes += connection.parkedBytes;
    const bool registered = std::exchange(connection.registered, true);
    (void)::epoll_ctl(m_epoll, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, connection.descriptor, &event);
}

// Takes the connection from the event thread's waits; the caller holds m_mutex and owns the connection from then on.
void FrontServer::leaveParked(FrontConnection &connection)
{
    connection.state = FrontConnection::State::Owned;
    m_parkedBytes -= connection.parkedBytes;
    connection.parkedBytes = 0;
}

void FrontServer::closeConnection(FrontConnection &connection)
{
    endRequest(connection);
    std::unique_ptr<FrontConnection> owned;
    {
        const Lock lock(m_mutex);
        const auto found = m_connections.find(connection.descriptor);
        owned = std::move(found->second);
        m_connections.erase(found);
    }
    // Closed only after its entry was erased, here, in closeExpired() and in evict(): once it is closed, a new connection may get the same descriptor,
    // which is the key in m_connections.
}

std::size_t FrontServer::connectionCount() const
{
    const Lock lock(m_mutex);
    return m_connections.size();
}

} // namespace vanillanotch
