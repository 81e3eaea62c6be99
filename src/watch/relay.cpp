// TableCache and RelayedStore. A relay is a node that asks the store for changes and passes them on to other nodes, its followers.
#include "watch/watch.h"

#include "deployment/deployment.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr std::size_t LargeTransfer = 64 * 1024; // bytes; larger copies are logged
} // namespace

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
            m_first = rows.position.version();
        }
        for (const StoredRow &row : rows.rows) {
            m_rows[row.key] = row;
        }
        evictRemovedLocked();
        m_position = whole ? rows.position : StorePosition::furthest(m_position, rows.position);
        m_asOf = whole ? asOf : std::max(m_asOf, asOf); // a whole read from another source may be older than the rows that it replaces
        m_hops = rows.hops;
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

bool TableCache::awaitReadLocked(Lock &lock, std::uint64_t era, std::chrono::milliseconds wait)
{
    return m_changed.wait_for(lock, wait, [&] {
        return m_first != 0 && m_position.era() >= era;
    });
}

Result<StoredRows> TableCache::changesAfterVersion(std::uint64_t version, std::chrono::milliseconds wait, TimePoint knownAsOf, Duration maxAge)
{
    std::uint64_t era = 0;
    {
        const Lock lock(m_mutex);
        era = m_position.era();
    }
    return changesAfter(StorePosition(era, version), wait, knownAsOf, maxAge);
}

Result<StoredRows> TableCache::changesAfter(const StorePosition &position, std::chrono::milliseconds wait, TimePoint knownAsOf, Duration maxAge)
{
    const TimePoint begun = std::chrono::steady_clock::now();
    TimePoint until = begun + wait;
    Lock lock(m_mutex);
    if (!awaitReadLocked(lock, position.era(), wait)) {
        return fail(ErrorCode::PlatformUnavailable, "this node has not read the table yet");
    }
    const auto historyGone = [&] {
        return !position.sameEra(m_position) || position.version() < m_first;
    };
    if (historyGone()) {
        return fail(ErrorCode::StoreHistoryGone);
    }
    StoredRows changes;
    const auto collect = [&] {
        if (historyGone()) {
            return true;
        }
        changes.rows.clear();
        for (const auto &[key, row] : m_rows) {
            if (row.version > position.version()) {
                changes.rows.push_back(row);
            }
        }
        return !changes.rows.empty() || m_asOf > knownAsOf;
    };
    if (maxAge != Duration::max()) {
        const Duration untilTooOld = m_asOf + maxAge - suspendAwareNow();
        until = std::min(until, begun + std::max<Duration>(StaleGrace, untilTooOld));
    }
    m_changed.wait_until(lock, until, collect);
    if (historyGone()) {
        return fail(ErrorCode::StoreHistoryGone); // the table was read again, or removed rows were evicted, during the wait
    }
    changes.position = StorePosition::furthest(position, m_position);
    changes.asOf = m_asOf; // read under the same lock as the rows, so that this moment holds for these rows
    changes.hops = m_hops;
    return changes;
}

Result<StoredRows> TableCache::wholeTable(std::chrono::milliseconds wait)
{
    Lock lock(m_mutex);
    if (!awaitReadLocked(lock, 0, wait)) {
        return fail(ErrorCode::PlatformUnavailable, "this node has not read the table yet");
    }
    StoredRows table;
    for (const auto &[key, row] : m_rows) {
        if (!row.removed) {
            table.rows.push_back(row);
        }
    }
    table.position = m_position;
    table.asOf = m_asOf;
    table.hops = m_hops;
    return table;
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

RelayedStore::RelayedStore(StateStore &store, RelayChannel &channel, std::function<SourceOrder(const std::string &table)> order, RelaySettings settings)
    : m_store(store)
    , m_channel(channel)
    , m_order(std::move(order))
    , m_settings(settings)
{
}

RelayedStore::TableState &RelayedStore::stateLocked(const std::string &table)
{
    return m_tables.try_emplace(table, TableState{SourceChooser(m_settings.sources, std::random_device{}()), TimePoint{}}).first->second;
}

Result<StoredRows> RelayedStore::askStore(const std::string &table, const std::optional<StorePosition> &after, std::chrono::milliseconds wait,
                                          Duration replyTimeout)
{
    return after ? m_store.awaitChanges(table, *after, wait, replyTimeout) : m_store.readTable(table, replyTimeout);
}

ReplyLimits relayReplyLimits(const RelayQuery &query, const RelaySettings &settings)
{
    return ReplyLimits{query.after ? query.wait + settings.relayReplyTimeout : settings.wholeTableTimeout, settings.transferPause, LongestTransfer};
}

Result<StoredRows> RelayedStore::askRelay(const std::string &relay, const RelayQuery &query)
{
    auto rows = m_channel.follow(relay, query, relayReplyLimits(query, m_settings));
    return rows && !rows->asOf ? fail(ErrorCode::PeerUnavailable, "expected the age of the relay's copy; the reply has none") : std::move(rows);
}

Result<StoredRows> RelayedStore::fetch(const std::string &table, const std::optional<StorePosition> &after, std::chrono::milliseconds wait,
                                       Duration replyTimeout)
{
    for (;;) {
        const SourceOrder order = m_order(table);
        tl::expected<SourceChooser::Plan, TimePoint> plan;
        TimePoint knownAsOf;
        {
            const Lock lock(m_mutex);
            TableState &state = stateLocked(table);
            plan = state.chooser.next(order, suspendAwareNow());
            knownAsOf = state.asOf;
        }
        if (!plan) {
            return fail(ErrorCode::PlatformUnavailable, "every source of the table failed a short time ago");
        }
        RelayQuery query{table, after, std::min(wait, m_settings.relayWait), Duration::max(), m_settings.sources.maxDataAge};
        if (knownAsOf != TimePoint{}) {
            query.knownAge = suspendAwareNow() - knownAsOf;
        }
        const TimePoint asked = suspendAwareNow();
        auto rows = plan->isStore() ? askStore(table, after, std::min(wait, plan->wait.value_or(wait)), replyTimeout) : askRelay(plan->relay, query);
        // The source works, but doesn't hold all changes after that version.
        const bool historyGone = !rows && rows.error().code == ErrorCode::StoreHistoryGone;
        const Duration age = rows && rows->asOf ? suspendAwareNow() - *rows->asOf : Duration::zero();
        bool usable = historyGone || rows.has_value();
        {
            const Lock lock(m_mutex);
            TableState &state = stateLocked(table);
            bool sourceFit = usable;
            if (rows && !plan->isStore()) {
                const bool news = after && !after->includes(rows->position);
                const ReplyVerdict verdict = state.chooser.judge(order, RelayReply{rows->hops, rows->transfer.ageAtSource, news});
                usable = verdict.useRows && rows->position.era() >= m_era;
                sourceFit = usable && verdict.sourceFit;
            }
            m_era = std::max(m_era, rows ? rows->position.era() : 0);
            if (usable) {
                state.asOf = rows && rows->asOf ? *rows->asOf : state.asOf;
            }
            if (sourceFit) {
                state.chooser.recordSuccess(*plan);
            } else {
                state.chooser.recordFailure(*plan, order, rows ? SourceFailure::Unfit : SourceFailure::Unreachable, suspendAwareNow());
            }
        }
        if (rows && rows->transfer.bytes >= LargeTransfer) {
            logEvent(LogLevel::Info, "relay.copy_received",
                     {{"table", table},
                      {"relay", plan->relay},
                      {"used", usable ? 1 : 0},
                      {"version", rows->position.version()},
                      {"hops", rows->hops},
                      {"bytes", static_cast<std::uint64_t>(rows->transfer.bytes)},
                      {"age_at_source_ms", rows->transfer.ageAtSource},
                      {"transfer_ms", rows->transfer.took}});
        }
        if (usable && historyGone && !plan->isStore()) {
            auto held = askStore(table, after, std::chrono::milliseconds(0), replyTimeout); // the store may still hold them
            return held ? std::move(held) : fail(ErrorCode::StoreHistoryGone); // the relay has the whole table, also for a node that doesn't reach the store
        }
        if (usable || (plan->isStore() && order.afterStore.empty())) {
            return rows;
        }
        // The time for which a source was waited for in vain counts toward the bound, so that the next one must answer at once.
        wait = rows ? wait : std::chrono::milliseconds(0);
        if (!plan->isStore()) {
            logEvent(LogLevel::Info, "relay.failed",
                     {{"table", table},
                      {"relay", plan->relay},
                      {"error", rows ? ErrorCode::ConfigurationStale : rows.error().code},
                      {"detail", rows ? std::string() : rows.error().detail},
                      {"hops", rows ? rows->hops : 0U},
                      {"news_age_ms", age},
                      {"age_at_source_ms", rows ? rows->transfer.ageAtSource : Duration::zero()},
                      {"transfer_ms", rows ? rows->transfer.took : Duration::zero()},
                      {"bytes", static_cast<std::uint64_t>(rows ? rows->transfer.bytes : 0)},
                      {"call_ms", suspendAwareNow() - asked}});
        }
    }
}

Result<StoredRows> RelayedStore::readTable(const std::string &table, Duration timeout)
{
    return fetch(table, std::nullopt, m_settings.relayWait, timeout);
}

Result<StoredRows> RelayedStore::awaitChanges(const std::string &table, const StorePosition &after, std::chrono::milliseconds wait, Duration replyTimeout)
{
    return fetch(table, after, wait, replyTimeout);
}

TimePoint RelayedStore::callableAt(const std::string &table)
{
    const SourceOrder order = m_order(table);
    const Lock lock(m_mutex);
    const auto plan = stateLocked(table).chooser.next(order, suspendAwareNow());
    return plan ? TimePoint{} : plan.error();
}

Result<void> RelayedStore::writeRows(const std::string &table, const std::vector<RowWrite> &rows, Duration timeout)
{
    return m_store.writeRows(table, rows, timeout);
}

Result<void> RelayedStore::removeRow(const std::string &table, const std::string &key, Duration timeout)
{
    return m_store.removeRow(table, key, timeout);
}

} // namespace vanillanotch
