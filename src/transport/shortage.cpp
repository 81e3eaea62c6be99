// FrontServer: what it does when memory, descriptors or threads are short, and the metrics and log lines of it.
#include "transport/front.h"

#include <algorithm>
#include <malloc.h>
#include <sys/socket.h>

namespace vanillanotch
{

namespace
{
constexpr std::size_t EvictionDivisor = 16; // each eviction frees at least this part of the budget, so that the connections aren't searched for each read
constexpr std::size_t TrimThreshold = 8 * 1024 * 1024; // bytes that were given back until freed memory is returned to the system
} // namespace

FrontCounts FrontServer::counts() const
{
    return FrontCounts{m_refusedForMemory, m_evicted, m_acceptPauses};
}

bool FrontServer::hold(FrontConnection &connection, std::size_t bytes)
{
    MemoryReservation &reservation = connection.reservation;
    if (reservation.resize(bytes)) {
        return true;
    }
    if (bytes > m_budget.limits().perHolder) {
        return false;
    }
    const std::size_t missing = bytes - reservation.bytes();
    return evict(EvictionNeed{std::max(missing, m_budget.limits().total / EvictionDivisor), 0}, &connection) && reservation.resize(bytes);
}

// Closes connections as the policy says. A stream that a thread is sending is only shut down; its thread closes it.
bool FrontServer::evict(const EvictionNeed &need, const FrontConnection *except)
{
    std::vector<std::unique_ptr<FrontConnection>> closed; // destroyed after the lock was released
    std::size_t chosenCount = 0;
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const Lock lock(m_mutex);
        std::vector<StalledConnection> candidates;
        for (const auto &[descriptor, connection] : m_connections) {
            const bool parked = connection->state != FrontConnection::State::Owned;
            if (connection.get() != except && (parked || connection->blocked)) {
                candidates.push_back(StalledConnection{descriptor, connection->reservation.bytes(), now - connection->movedAt,
                                                       connection->state == FrontConnection::State::Idle});
            }
        }
        const std::vector<int> chosen = m_eviction->choose(std::move(candidates), need);
        chosenCount = chosen.size();
        for (const int descriptor : chosen) {
            const auto found = m_connections.find(descriptor);
            FrontConnection &connection = *found->second;
            if (connection.state == FrontConnection::State::Idle && connection.hasArrivedBytes()) {
                --chosenCount;
                continue; // its request is about to be received
            }
            if (connection.blocked) {
                (void)::shutdown(descriptor, SHUT_RDWR); // ends the wait of the thread that sends
                continue;
            }
            leaveParked(connection);
            closed.push_back(std::move(found->second));
            m_connections.erase(found);
        }
    }
    for (const auto &connection : closed) {
        if (!connection->unsent.empty()) {
            connection->io.resetOnClose(); // what was sent must not look complete
        }
        endRequest(*connection);
    }
    m_evicted += chosenCount;
    return chosenCount > 0;
}

void FrontServer::setBlocked(FrontConnection &connection, bool blocked)
{
    {
        const Lock lock(m_mutex);
        connection.blocked = blocked;
        connection.movedAt = std::chrono::steady_clock::now();
        connection.movedBytes = 0;
    }
    m_blockedStreams += blocked ? 1 : std::size_t(-1);
}

// Called by the event thread now and then: closes stalled connections beyond their shares, and returns freed memory to the system.
void FrontServer::checkShortages()
{
    if (const std::size_t blocked = m_blockedStreams; blocked > m_capacity.maxBlockedStreams) {
        (void)evict(EvictionNeed{0, blocked - m_capacity.maxBlockedStreams});
    }
    std::size_t parked = 0;
    {
        const Lock lock(m_mutex);
        parked = m_parkedBytes;
    }
    if (parked > m_capacity.maxParkedBytes) {
        (void)evict(EvictionNeed{parked - m_capacity.maxParkedBytes, 0});
    }
    if (m_budget.takeReleased(TrimThreshold) > 0) {
        (void)::malloc_trim(0);
    }
    const FrontCounts now = counts();
    if (now.refusedForMemory != m_loggedCounts.refusedForMemory || now.evicted != m_loggedCounts.evicted || now.acceptPauses != m_loggedCounts.acceptPauses) {
        logEvent(LogLevel::Warning, "callers.shortage",
                 {{"server", m_name},
                  {"refused_for_memory", now.refusedForMemory - m_loggedCounts.refusedForMemory},
                  {"closed", now.evicted - m_loggedCounts.evicted},
                  {"accept_pauses", now.acceptPauses - m_loggedCounts.acceptPauses},
                  {"held_bytes", static_cast<std::uint64_t>(m_budget.used())},
                  {"blocked_streams", static_cast<std::uint64_t>(m_blockedStreams)}});
        m_loggedCounts = now;
    }
}

} // namespace vanillanotch
