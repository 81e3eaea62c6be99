#include "watch/watch.h"

#include "deployment/deployment.h"

#include <algorithm>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// TableCache
//-----------------------------------------------------------------------------

void TableCache::apply(const StoredRows &rows, bool whole, TimePoint asOf)
{
    {
        const Lock lock(m_mutex);
        if (whole) {
            // Rows that were removed meanwhile can't be told from rows that never were.
            m_rows.clear();
            m_first = rows.version;
        }
        for (const StoredRow &row : rows.rows) {
            m_rows[row.key] = row;
        }
        forgetRemovedLocked();
        m_version = std::max(whole ? 0 : m_version, rows.version);
        m_asOf = std::max(m_asOf, asOf);
    }
    m_changed.notify_all();
}

// A follower behind what is forgotten reads the table anew.
void TableCache::forgetRemovedLocked()
{
    std::vector<std::uint64_t> removed;
    for (const auto &[key, row] : m_rows) {
        if (row.removed) {
            removed.push_back(row.version);
        }
    }
    if (removed.size() <= MaxRemovedRows) {
        return;
    }
    const auto middle = removed.begin() + static_cast<std::ptrdiff_t>(removed.size() / 2);
    std::nth_element(removed.begin(), middle, removed.end());
    m_first = std::max(m_first, *middle);
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        it = it->second.removed && it->second.version <= *middle ? m_rows.erase(it) : std::next(it);
    }
}

Result<StoredRows> TableCache::changesAfter(std::uint64_t version, std::chrono::milliseconds wait)
{
    Lock lock(m_mutex);
    StoredRows changes;
    const auto collect = [&] {
        changes.rows.clear();
        for (const auto &[key, row] : m_rows) {
            if (row.version > version) {
                changes.rows.push_back(row);
            }
        }
        return !changes.rows.empty();
    };
    if (m_first == 0) {
        return fail(ErrorCode::PlatformUnavailable, "not read yet");
    }
    if (version < m_first) {
        return fail(ErrorCode::StoreHistoryGone);
    }
    m_changed.wait_for(lock, wait, collect);
    if (version < m_first) {
        return fail(ErrorCode::StoreHistoryGone); // the table was read anew meanwhile
    }
    changes.version = std::max(version, m_version);
    changes.asOf = m_asOf; // of these rows: read under the same lock
    return changes;
}

std::size_t TableCache::rowCount() const
{
    const Lock lock(m_mutex);
    return m_rows.size();
}

TimePoint TableCache::asOf() const
{
    const Lock lock(m_mutex);
    return m_asOf;
}

//-----------------------------------------------------------------------------
// RelayedStore
//-----------------------------------------------------------------------------

RelayedStore::RelayedStore(StateStore &store, RelayChannel &channel, std::function<Choice()> choose, RelaySettings settings)
    : m_store(store)
    , m_channel(channel)
    , m_choose(std::move(choose))
    , m_settings(settings)
{
}

bool RelayedStore::direct() const
{
    const Lock lock(m_mutex);
    return suspendAwareNow() < m_directUntil;
}

void RelayedStore::goDirect()
{
    const Lock lock(m_mutex);
    m_directUntil = suspendAwareNow() + m_settings.bypassTime;
}

Result<StoredRows> RelayedStore::readTable(const std::string &table, Duration limit)
{
    return m_store.readTable(table, limit);
}

Result<StoredRows> RelayedStore::awaitChanges(const std::string &table, std::uint64_t after, std::chrono::milliseconds wait, Duration limit)
{
    const Choice choice = m_choose();
    if (choice.relay && !direct()) {
        const auto relayWait = std::min(wait, m_settings.relayWait);
        auto rows = m_channel.follow(*choice.relay, table, after, relayWait, relayWait + m_settings.relayReplyTimeout);
        if (rows && rows->asOf && suspendAwareNow() - *rows->asOf < m_settings.maxDataAge) {
            return rows;
        }
        // A relay that began to follow later than this node can't bridge the gap; the store can.
        const bool gap = !rows && rows.error().code == ErrorCode::StoreHistoryGone;
        if (!gap) {
            goDirect();
        }
        logEvent(LogLevel::Info, "relay.failed",
                 {{"table", table},
                  {"relay", *choice.relay},
                  {"error", rows ? ErrorCode::ConfigurationStale : rows.error().code},
                  {"news_age_ms", rows && rows->asOf ? suspendAwareNow() - *rows->asOf : Duration::zero()}});
    }
    const bool returns = choice.servesFollowers || choice.relay;
    const auto storeWait = returns ? std::min(wait, m_settings.storeWait) : wait;
    return m_store.awaitChanges(table, after, storeWait, limit);
}

Result<void> RelayedStore::writeRow(const std::string &table, const std::string &key, const std::string &value, Duration limit)
{
    return m_store.writeRow(table, key, value, limit);
}

Result<void> RelayedStore::removeRow(const std::string &table, const std::string &key, Duration limit)
{
    return m_store.removeRow(table, key, limit);
}

} // namespace vanillanotch
