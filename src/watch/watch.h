// vanillanotch watch library: keeps this node's copy of the tables in the platform's store up to date.
//
// Index of sections:
//   [STORE]  StateStore: the operations of the platform's store that a node uses
//   [WATCH]  TableWatch: follows one table; StoreClockMapping, StoreFailureTracker: what it knows of the store's clock and failures
//   [RELAY]  TableCache, RelayedStore: most nodes of a data centre follow a table through a few of them, the relays
//
// Rules this aggregate enforces:
//   - the version of a table from which changes are asked never decreases between two reads of the whole table;
//   - after a gap in the change feed the whole table is read again;
//   - while the store fails it is asked at a bounded rate, and not by all nodes at the same moment.
#pragma once

#include "base/base.h"

#include <random>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [STORE]
//-----------------------------------------------------------------------------

struct StoredRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0; // of the change that wrote or removed the row
    bool removed = false; // a change that removes the row; the value is empty
};

struct StoredRows {
    std::vector<StoredRow> rows;
    std::uint64_t version = 0; // the rows include the changes up to it; the next request for changes starts from it
    Duration storeClock{}; // reading of the store's steady clock when it answered
    // The rows are at least as new as that moment of this node's suspend-aware clock. nullopt: to be derived from storeClock.
    std::optional<TimePoint> asOf;
};

// The operations of the platform's store that a node uses. `timeout`: of a call, the wait included.
class StateStore
{
public:
    virtual ~StateStore() = default;
    // All rows of a table. Errors: PlatformUnavailable, PlatformAnswerLost, StoreRefused, PlatformReplyInvalid.
    virtual Result<StoredRows> readTable(const std::string &table, Duration timeout) = 0;
    // Changes after the version `after`: returned at once when there are any, else after `wait`, perhaps without rows. Errors as of
    // readTable, and StoreHistoryGone: the store doesn't hold the changes since that version any more.
    virtual Result<StoredRows> awaitChanges(const std::string &table, std::uint64_t after, std::chrono::milliseconds wait, Duration timeout) = 0;
    // Errors of both writes as of readTable; PlatformAnswerLost: the write may have taken effect.
    virtual Result<void> writeRow(const std::string &table, const std::string &key, const std::string &value, Duration timeout) = 0;
    virtual Result<void> removeRow(const std::string &table, const std::string &key, Duration timeout) = 0;
};

//-----------------------------------------------------------------------------
// [WATCH]
//-----------------------------------------------------------------------------

// Gets the rows of a table from its watch, on the watch's thread.
class TableListener
{
public:
    virtual ~TableListener() = default;
    // snapshot: all rows of the table. changes: the rows written or removed since the last call; may be empty.
    // `asOf` (suspend-aware clock): the rows are at least as new as that moment.
    // `afterOutage`: the store failed within WatchSettings::recoveryPeriod, so entries that expired meanwhile may be missing.
    virtual void snapshot(const StoredRows &rows, TimePoint asOf, bool afterOutage) = 0;
    virtual void changes(const StoredRows &rows, TimePoint asOf, bool afterOutage) = 0;
};

struct WatchSettings {
    std::chrono::milliseconds longPollWait{2800}; // how long the store holds a request for changes while there are none
    std::chrono::milliseconds coalesceInterval{0}; // pause after an answer, so that changes made in this time come in one answer
    std::chrono::milliseconds replyTimeout{1200}; // timeout of a call, on top of the wait; a slow store takes 250 ms
    std::chrono::milliseconds initialBackoff{150}; // after a failure; doubles with each further one, up to `maxBackoff`
    std::chrono::milliseconds maxBackoff{700}; // a store that works again is noticed within this time
    // Rows that come within this time after a failure are passed on with `afterOutage`. Entries that expired during the outage are
    // registered again within two seconds after the store is back.
    std::chrono::milliseconds recoveryPeriod{2500};
};

// Converts a reading of the store's clock into this node's suspend-aware clock, never too late: the result is at or before the
// moment of the reading. This tells how old an answer to a long poll is, which may have been made long after its request. The
// offset between the two clocks gets exact through calls that are answered quickly.
class StoreClockMapping
{
public:
    // The call that returned `storeClock` was made at `asked` and answered at `received`. Returns a moment in between, at or before
    // the one at which the store answered.
    TimePoint earliestAnswerTime(Duration storeClock, TimePoint asked, TimePoint received);

private:
    std::optional<Duration> m_minOffset; // lower bound of (this node's clock - the store's); nullopt: no call since the store's clock last went back
    Duration m_lastReading{}; // of the store's clock
};

// When a call of this node to the store last failed, for all of its watches: a watch whose request stays open throughout an
// outage sees no failure itself. Thread-safe.
class StoreFailureTracker
{
public:
    void recordFailure(); // a call failed now
    bool failedWithin(Duration span) const; // a call failed less than that time ago

private:
    mutable RankedMutex m_mutex{LockRank::Leaf};
    TimePoint m_lastFailure{}; // zero: none yet
};

class TableCache;

// Follows one table on a thread of its own: reads it whole, then asks for changes in a loop, and passes both to the listener.
class TableWatch
{
public:
    // `cache`: also gets the rows, for nodes that follow the table through this one; may be null.
    TableWatch(StateStore &store, std::string table, TableListener &listener, TableCache *cache, StoreFailureTracker &storeFailures, WatchSettings settings,
               MetricsRegistry &metrics);
    ~TableWatch();
    void start();
    void stop();

private:
    void run();
    bool step(); // one call to the store; false: it failed
    void pause(Duration duration); // ended by stop()
    Duration backOff(); // the pause before the next try; doubles the one after it

    StateStore &m_store;
    const std::string m_table;
    TableListener &m_listener;
    TableCache *m_cache;
    StoreFailureTracker &m_storeFailures;
    const WatchSettings m_settings;
    Counter &m_calls;
    Counter &m_failures;
    StoreClockMapping m_storeClock;
    std::optional<std::uint64_t> m_version; // last seen; nullopt: the whole table must be read
    Duration m_nextPause{}; // upper limit of the next backoff
    bool m_unreachable = false; // the last call failed
    std::mt19937_64 m_generator{std::random_device{}()};
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

//-----------------------------------------------------------------------------
// [RELAY]
//-----------------------------------------------------------------------------

// A relay's copy of a table, for the nodes that follow the table through it. Keeps removed rows, so that followers learn of
// the removal. Thread-safe.
class TableCache
{
public:
    void apply(const StoredRows &rows, bool whole, TimePoint asOf); // `whole`: all rows of the table, not changes
    // Changes after that version; waits for one up to `wait`, and may return no rows then. PlatformUnavailable: the table wasn't read
    // yet. StoreHistoryGone: the changes since that version aren't known here, so the whole table must be read from the store.
    Result<StoredRows> changesAfter(std::uint64_t version, std::chrono::milliseconds wait);
    TimePoint asOf() const; // the copy is at least as new as that moment (suspend-aware clock)
    std::size_t rowCount() const; // number of rows, removed ones included

    // Most removed rows that are kept. Enough, since followers are only seconds behind; one that is further behind reads the whole table.
    static constexpr std::size_t MaxRemovedRows = 1000;

private:
    void evictRemovedLocked(); // the older half of the removed rows, when there are too many

    mutable RankedMutex m_mutex{LockRank::TableCaches};
    std::condition_variable_any m_changed;
    std::map<std::string, StoredRow> m_rows;
    std::uint64_t m_first = 0; // all changes after this version are known; 0: the table wasn't read yet
    std::uint64_t m_version = 0; // newest that was seen
    TimePoint m_asOf{};
};

// Calls another node for the changes of a table.
class RelayChannel
{
public:
    virtual ~RelayChannel() = default;
    // Changes after the version `after` in the TableCache of the node at `peerAddress`, as of StateStore::awaitChanges, with asOf set.
    // Errors: PeerUnavailable, and what TableCache::changesAfter() returned there.
    virtual Result<StoredRows> follow(const std::string &peerAddress, const std::string &table, std::uint64_t after, std::chrono::milliseconds wait,
                                      Duration timeout) = 0;
};

struct RelaySettings {
    // How long a relay holds a request while there are no changes; a failed relay is noticed after this and `relayReplyTimeout`.
    std::chrono::milliseconds relayWait{1000};
    std::chrono::milliseconds relayReplyTimeout{500}; // timeout of a request to the relay, on top of the wait
    std::chrono::milliseconds maxDataAge{2200}; // a relay whose copy is older than this has lost the store itself
    std::chrono::milliseconds bypassTime{4000}; // after a failure of the relay, the store is asked for this long
    // Longest wait in requests to the store by two kinds of nodes: a relay, since its followers' copies are older than its own; and a
    // follower that asks the store because its relay failed, since the store may never answer a long wait of a node that it refuses,
    // while the relay may have newer rows by then.
    std::chrono::milliseconds storeWait{1400};
};

// A store whose changes are asked from the relay that this node follows, and from `store` when there is no relay or it
// fails. All other calls go to `store`. Thread-safe.
class RelayedStore final : public StateStore
{
public:
    struct Choice {
        std::optional<std::string> relay; // peer address of the node to follow; nullopt: this node asks the store itself
        bool servesFollowers = false; // other nodes follow this one
    };
    // `choose` is called for each request for changes.
    RelayedStore(StateStore &store, RelayChannel &channel, std::function<Choice()> choose, RelaySettings settings = {});
    Result<StoredRows> readTable(const std::string &table, Duration timeout) override;
    Result<StoredRows> awaitChanges(const std::string &table, std::uint64_t after, std::chrono::milliseconds wait, Duration timeout) override;
    Result<void> writeRow(const std::string &table, const std::string &key, const std::string &value, Duration timeout) override;
    Result<void> removeRow(const std::string &table, const std::string &key, Duration timeout) override;

private:
    bool bypassesRelay() const; // a failure of the relay is recent
    void bypassRelay(); // for the time in the settings

    StateStore &m_store;
    RelayChannel &m_channel;
    const std::function<Choice()> m_choose;
    const RelaySettings m_settings;
    mutable RankedMutex m_mutex{LockRank::TableCaches};
    TimePoint m_bypassUntil{};
};

} // namespace vanillanotch
