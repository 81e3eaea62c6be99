#include "http/connections.h"

#include <Poco/Net/NetException.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace vanillanotch
{

namespace
{
// A connection counts as stalled when it has waited this long without progress. A request's first bytes come with the connection or a round trip later; a
// connection that has sent them already may need several round trips for more.
constexpr Duration RequestGrace = std::chrono::milliseconds(250);
constexpr Duration ProgressGrace = std::chrono::seconds(1);
constexpr std::size_t ProgressBytes = 16 * 1024; // fewer bytes than these within ProgressGrace are no progress
// Longest wait for memory. Longer than ProgressGrace, so that all connections that stand still at the beginning of the wait can be closed for it.
constexpr Duration MemoryTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t SmallBytes = 64 * 1024; // connections with no more than this may use all memory
constexpr std::size_t SmallShare = 4; // one in this many bytes is kept for such connections
constexpr Duration AcceptTimeout = std::chrono::milliseconds(100); // the thread that accepts looks this often whether the server stops
constexpr std::size_t FirstCapacity = 4 * 1024; // of a ReservedBuffer, bytes

Duration graceOf(PeerWait kind)
{
    switch (kind) {
    case PeerWait::Request:
        return RequestGrace;
    case PeerWait::Rest:
    case PeerWait::Reading:
        return ProgressGrace;
    case PeerWait::Close:
        break;
    }
    return Duration::zero();
}

int pollMilliseconds(Duration duration)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
    return static_cast<int>(std::clamp<std::int64_t>(rounded, 0, 3600 * 1000));
}

// A connection whose place returns to the table when its descriptor is closed.
class PlacedSocketImpl final : public Poco::Net::StreamSocketImpl
{
public:
    PlacedSocketImpl(int descriptor, Ref<ConnectionTable> table)
        : StreamSocketImpl(descriptor)
        , m_table(std::move(table))
    {
    }
    PlacedSocketImpl(const PlacedSocketImpl &) = delete;
    PlacedSocketImpl &operator=(const PlacedSocketImpl &) = delete;

protected:
    ~PlacedSocketImpl() override
    {
        close(); // before the place is taken by another connection
        m_table->returnPlace();
    }

private:
    const Ref<ConnectionTable> m_table;
};

class LimitedServerSocketImpl final : public Poco::Net::ServerSocketImpl
{
public:
    explicit LimitedServerSocketImpl(Ref<ConnectionTable> table)
        : m_table(std::move(table))
    {
    }
    Poco::Net::SocketImpl *acceptConnection(Poco::Net::SocketAddress &clientAddress) override
    {
        if (!m_table->takePlace(AcceptTimeout)) {
            throw Poco::TimeoutException("all places for connections are taken");
        }
        sockaddr_storage address{};
        socklen_t length = sizeof address;
        const int descriptor = ::accept4(sockfd(), reinterpret_cast<sockaddr *>(&address), &length, SOCK_CLOEXEC);
        if (descriptor < 0) {
            const int failure = errno;
            m_table->returnPlace();
            if (failure == EMFILE || failure == ENFILE || failure == ENOBUFS || failure == ENOMEM) {
                (void)::poll(nullptr, 0, pollMilliseconds(AcceptTimeout)); // the connection stays in the queue, so the listener is readable at once
            }
            throw Poco::Net::NetException("accept failed", failure);
        }
        clientAddress = Poco::Net::SocketAddress(reinterpret_cast<const sockaddr *>(&address), length);
        return new PlacedSocketImpl(descriptor, m_table); // POCO takes ownership
    }

private:
    const Ref<ConnectionTable> m_table;
};
} // namespace

LimitedServerSocket::LimitedServerSocket(Ref<ConnectionTable> table)
    : ServerSocket(new LimitedServerSocketImpl(std::move(table)), true) // POCO takes ownership
{
}

//-----------------------------------------------------------------------------
// ConnectionTable
//-----------------------------------------------------------------------------

ConnectionTable::ConnectionTable(const ConnectionLimits &limits)
    : m_limits(limits)
{
}

bool ConnectionTable::takePlace(Duration timeout)
{
    Lock lock(m_mutex);
    if (m_open >= m_limits.open) {
        ++m_acceptsWaiting;
        closeStalled();
        m_placeFreed.wait_for(lock, timeout, [this] {
            return m_open < m_limits.open;
        });
        --m_acceptsWaiting;
        if (m_open >= m_limits.open) {
            return false;
        }
    }
    ++m_open;
    closeStalled();
    return true;
}

void ConnectionTable::returnPlace()
{
    const Lock lock(m_mutex);
    --m_open;
    m_placeFreed.notify_all();
}

void ConnectionTable::closeWaiting()
{
    const Lock lock(m_mutex);
    m_closeWaiting = true;
    for (auto it = m_stalled.begin(); it != m_stalled.end();) {
        ServedConnection &connection = *it++;
        if (connection.m_kind == PeerWait::Request) {
            markClosed(connection);
        }
    }
}

void ConnectionTable::awaitRequests(Duration timeout)
{
    Lock lock(m_mutex);
    m_requestEnded.wait_for(lock, timeout, [this] {
        return m_requests == 0;
    });
}

HttpServerUsage ConnectionTable::usage() const
{
    const Lock lock(m_mutex);
    HttpServerUsage usage;
    usage.connections = m_open;
    usage.requests = m_requests;
    usage.memoryBytes = m_bytes;
    usage.releasedBytes = m_releasedBytes;
    usage.closedForOthers = m_closed.value();
    usage.memoryRefusals = m_refused.value();
    return usage;
}

bool ConnectionTable::fits(const ServedConnection &connection, std::size_t bytes) const
{
    const bool isSmall = connection.m_bytes + bytes <= SmallBytes;
    const std::size_t limit = isSmall ? m_limits.memory : m_limits.memory - m_limits.memory / SmallShare;
    return m_limits.memory == 0 || m_bytes + bytes <= limit;
}

bool ConnectionTable::placesWanted() const
{
    const std::size_t withoutThread = m_open > m_served && m_served >= m_limits.threads ? m_open - m_served : 0;
    return withoutThread + m_acceptsWaiting > m_closing;
}

bool ConnectionTable::memoryWanted() const
{
    const std::size_t beyond = m_limits.memory != 0 && m_bytes > m_limits.memory ? m_bytes - m_limits.memory : 0;
    return m_wantedBytes + beyond > m_closingBytes;
}

bool ConnectionTable::mustClose(const ServedConnection &connection) const
{
    return placesWanted() || (connection.m_bytes > 0 && memoryWanted()) || (m_closeWaiting && connection.m_kind == PeerWait::Request);
}

void ConnectionTable::markClosed(ServedConnection &connection)
{
    if (connection.is_linked()) {
        m_stalled.erase(m_stalled.iterator_to(connection));
        // Wakes the thread. Of a connection without a request what has arrived already is still read.
        (void)::shutdown(connection.m_descriptor, connection.m_kind == PeerWait::Reading ? SHUT_RDWR : SHUT_RD);
    }
    connection.m_closed = true;
    ++m_closing;
    m_closingBytes += connection.m_bytes;
    if (!m_closeWaiting) {
        m_closed.add();
    }
}

void ConnectionTable::closeStalled()
{
    // First the connections that hold no request, since they lose least.
    for (const bool idle : {true, false}) {
        for (auto it = m_stalled.begin(); it != m_stalled.end();) {
            ServedConnection &connection = *it++;
            const bool isIdle = connection.m_kind == PeerWait::Request || connection.m_kind == PeerWait::Close;
            if (isIdle == idle && mustClose(connection)) {
                markClosed(connection);
            }
        }
    }
}

//-----------------------------------------------------------------------------
// ServedConnection
//-----------------------------------------------------------------------------

ServedConnection::ServedConnection(ConnectionTable &table, int descriptor)
    : m_table(table)
    , m_descriptor(descriptor)
{
    const Lock lock(m_table.m_mutex);
    ++m_table.m_served;
    m_table.closeStalled(); // the last thread may be taken now, while others wait for one
}

ServedConnection::~ServedConnection()
{
    const Lock lock(m_table.m_mutex);
    --m_table.m_served;
    m_table.m_requests -= m_inRequest ? 1 : 0; // an exception has ended it
    m_table.m_closing -= m_closed ? 1 : 0;
}

void ServedConnection::beginRequest()
{
    const Lock lock(m_table.m_mutex);
    m_inRequest = true;
    ++m_table.m_requests;
}

void ServedConnection::endRequest()
{
    const Lock lock(m_table.m_mutex);
    m_inRequest = false;
    --m_table.m_requests;
    m_table.m_requestEnded.notify_all();
}

void ServedConnection::beginWaits()
{
    m_progressAt = std::chrono::steady_clock::now();
    m_progressBytes = 0;
}

void ServedConnection::addProgress(std::size_t bytes)
{
    m_progressBytes += bytes;
    if (m_progressBytes >= ProgressBytes) {
        beginWaits();
    }
}

WaitResult ServedConnection::wait(PeerWait kind, short events, TimePoint until)
{
    pollfd entry{m_descriptor, events, 0};
    if (!m_closed && ::poll(&entry, 1, 0) > 0) {
        return WaitResult::Ready;
    }
    const TimePoint stalledAt = m_progressAt + graceOf(kind);
    for (;;) {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now >= until) {
            return WaitResult::TimedOut;
        }
        const bool stalled = now >= stalledAt;
        if (stalled && !offer(kind)) {
            return WaitResult::Closed;
        }
        const int ready = ::poll(&entry, 1, pollMilliseconds((stalled ? until : std::min(until, stalledAt)) - now));
        if (stalled && !withdraw()) {
            // A request that crossed the close is still served.
            char byte = 0;
            const bool arrived = kind == PeerWait::Request && ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
            return arrived ? WaitResult::Ready : WaitResult::Closed;
        }
        if (ready > 0) {
            return WaitResult::Ready;
        }
    }
}

bool ServedConnection::offer(PeerWait kind)
{
    const Lock lock(m_table.m_mutex);
    m_kind = kind;
    if (m_closed || m_table.mustClose(*this)) {
        if (!m_closed) {
            m_table.markClosed(*this);
        }
        return false;
    }
    m_table.m_stalled.push_back(*this);
    return true;
}

bool ServedConnection::withdraw()
{
    const Lock lock(m_table.m_mutex);
    if (is_linked()) {
        m_table.m_stalled.erase(m_table.m_stalled.iterator_to(*this));
    }
    return !m_closed;
}

Result<void> ServedConnection::reserve(std::size_t bytes)
{
    Lock lock(m_table.m_mutex);
    if (!m_table.fits(*this, bytes)) {
        m_table.m_wantedBytes += bytes;
        m_table.closeStalled();
        const bool freed = m_table.m_memoryFreed.wait_for(lock, MemoryTimeout, [&] {
            return m_table.fits(*this, bytes);
        });
        m_table.m_wantedBytes -= bytes;
        if (!freed) {
            m_table.m_refused.add();
            return fail(ErrorCode::Overloaded, "this node's memory for requests is in use");
        }
    }
    m_bytes += bytes;
    m_table.m_bytes += bytes;
    m_table.m_closingBytes += m_closed ? bytes : 0;
    return {};
}

void ServedConnection::reserveAnyway(std::size_t bytes)
{
    const Lock lock(m_table.m_mutex);
    m_bytes += bytes;
    m_table.m_bytes += bytes;
    m_table.m_closingBytes += m_closed ? bytes : 0;
    m_table.closeStalled();
}

void ServedConnection::release(std::size_t bytes)
{
    const Lock lock(m_table.m_mutex);
    m_bytes -= bytes;
    m_table.m_bytes -= bytes;
    m_table.m_releasedBytes += bytes;
    m_table.m_closingBytes -= m_closed ? bytes : 0;
    m_table.m_memoryFreed.notify_all();
}

//-----------------------------------------------------------------------------
// ReservedBuffer
//-----------------------------------------------------------------------------

Result<void> ReservedBuffer::grow(std::size_t size)
{
    if (size <= m_reserved) {
        return {};
    }
    const std::size_t capacity = std::max({size, m_reserved * 2, FirstCapacity});
    if (auto reserved = m_connection.reserve(capacity); !reserved) {
        return reserved;
    }
    m_bytes.reserve(capacity); // holds the old and the new memory until the bytes are copied
    m_connection.release(std::exchange(m_reserved, capacity));
    return {};
}

void ReservedBuffer::reset()
{
    std::string().swap(m_bytes);
    m_connection.release(std::exchange(m_reserved, 0));
}

} // namespace vanillanotch
