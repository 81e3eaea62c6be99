// TableCache and RelayedStore. A relay is a node that asks the store for changes and passes them on to other nodes, its followers.
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
            // A read of the whole table doesn't show which rows were removed before it. So a follower whose version is older than
            // this read can't be sent the changes since; it must read the whole table from the store.
            m_rows.clear();
            m_first = rows.version;
        }
        for (const StoredRow &row : rows.rows) {
            m_rows[row.key] = row;
        }
        evictRemovedLocked();
        m_version = std::max(whole ? 0 : m_version, rows.version);
        m_asOf = std::max(m_asOf, asOf);
    }
    m_changed.notify_all();
}

// Evicts the older half of the removed rows when there are too many. A follower whose version is older than an evicted row then gets
// StoreHistoryGone and reads the whole table from the store.
void TableCache::evictRemovedLocked()
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
        return fail(ErrorCode::PlatformUnavailable, "this node has not read the table from the store yet");
    }
    if (version < m_first) {
        return fail(ErrorCode::StoreHistoryGone);
    }
    m_changed.wait_for(lock, wait, collect);
    if (version < m_first) {
        return fail(ErrorCode::StoreHistoryGone); // the table was read again, or removed rows were evicted, during the wait
    }
    changes.version = std::max(version, m_version);
    changes.asOf = m_asOf; // read under the same lock as the rows, so that this moment holds for these rows
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

bool RelayedStore::bypassesRelay() const
{
    const Lock lock(m_mutex);
    return suspendAwareNow() < m_bypassUntil;
}

void RelayedStore::bypassRelay()
{
    const Lock lock(m_mutex);
    m_bypassUntil = suspendAwareNow() + m_settings.bypassTime;
}

Result<StoredRows> RelayedStore::readTable(const std::string &table, Duration timeout)
{
    return m_store.readTable(table, timeout);
}

Result<StoredRows> RelayedStore::awaitChanges(const std::string &table, std::uint64_t after, std::chrono::milliseconds wait, Duration timeout)
{
    const Choice choice = m_choose();
    if (choice.relay && !bypassesRelay()) {
        const auto pollWait = std::min(wait, m_settings.relayWait);
        auto rows = m_channel.follow(*choice.relay, table, after, pollWait, pollWait + m_settings.relayReplyTimeout);
        if (rows && rows->asOf && suspendAwareNow() - *rows->asOf < m_settings.maxDataAge) {
            return rows;
        }
        // StoreHistoryGone: the relay began to follow the table later than this node, or evicted removed rows, so it doesn't know all
        // changes after this node's version; the store may know them. The relay works, so it isn't bypassed for later requests.
        const bool historyGap = !rows && rows.error().code == ErrorCode::StoreHistoryGone;
        if (!historyGap) {
            bypassRelay();
        }
        logEvent(LogLevel::Info, "relay.failed",
                 {{"table", table},
                  {"relay", *choice.relay},
                  {"error", rows ? ErrorCode::ConfigurationStale : rows.error().code},
                  {"news_age_ms", rows && rows->asOf ? suspendAwareNow() - *rows->asOf : Duration::zero()}});
    }
    const bool limitsWait = choice.servesFollowers || choice.relay;
    const auto storeWait = limitsWait ? std::min(wait, m_settings.storeWait) : wait;
    return m_store.awaitChanges(table, after, storeWait, timeout);
}

Result<void> RelayedStore::writeRow(const std::string &table, const std::string &key, const std::string &value, Duration timeout)
{
    return m_store.writeRow(table, key, value, timeout);
}

Result<void> RelayedStore::removeRow(const std::string &table, const std::string &key, Duration timeout)
{
    return m_store.removeRow(table, key, timeout);
}

} // namespace vanillanotch
