// vanillanotch watch library: keeps this node's copy of the tables in the platform's store up to date.
//
// Index of sections:
//   [STORE]  StateStore: the operations of the platform's store that a node uses
//   [WATCH]  TableWatch: follows one table; StoreClockMapping, StoreFailureTracker: what it knows of the store's clock and failures
//   [RELAY]  TableCache, RelayedStore: most nodes of a data centre follow a table through a few of them
//
// The platform is the existing infrastructure that the nodes run on; a node is one vanillanotch process. The platform's store holds tables
// of rows; the version of a table is a number that grows with each change. To follow a table is to read it whole and then ask for its
// changes again and again. A relay is a node that asks the store and passes the changes on to other nodes of its data centre, its
// followers. The suspend-aware clock is suspendAwareNow() of the deployment library: a monotonic clock that also counts the time in which
// the VM was suspended.
//
// Rules this aggregate enforces:
//   - the version of a table from which changes are asked never decreases between two reads of the whole table;
//   - after a gap in the change feed the whole table is read again;
//   - while the store fails, a node repeats its calls at a limited rate, and not all nodes at the same moment.
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
    std::uint64_t version = 0; // the table's version after the change that wrote or removed the row
    bool removed = false; // true: the change removed the row, and `value` is empty
};

struct StoredRows {
    std::vector<StoredRow> rows;
    std::uint64_t version = 0; // version of the table up to which the rows include all changes; the next request for changes starts from it
    Duration storeClock{}; // reading of the store's steady clock when it answered
    // The rows are at least as new as this moment of this node's suspend-aware clock. Set for rows that came from a relay. nullopt: the rows
    // came from the store itself, and TableWatch computes the moment from storeClock.
    std::optional<TimePoint> asOf;
};

// The operations of the platform's store that a node uses. `timeout` limits a whole call, including `wait`.
class StateStore
{
public:
    virtual ~StateStore() = default;
    // All rows of a table. Errors: PlatformUnavailable, PlatformAnswerLost, StoreRefused, PlatformReplyInvalid.
    virtual Result<StoredRows> readTable(const std::string &table, Duration timeout) = 0;
    // Changes after the version `after`: returned at once when there are any, else after at most `wait`, perhaps without rows. Errors:
    // those of readTable(), and StoreHistoryGone when the store no longer holds all changes after that version.
    virtual Result<StoredRows> awaitChanges(const std::string &table, std::uint64_t after, std::chrono::milliseconds wait, Duration timeout) = 0;
    // Errors of both writes: those of readTable(); after PlatformAnswerLost the write may have taken effect.
    virtual Result<void> writeRow(const std::string &table, const std::string &key, const std::string &value, Duration timeout) = 0;
    virtual Result<void> removeRow(const std::string &table, const std::string &key, Duration timeout) = 0;
};

//-----------------------------------------------------------------------------
// [WATCH]
//-----------------------------------------------------------------------------

// Receives the rows of a table from the TableWatch that follows it, on that watch's thread.
class TableListener
{
public:
    virtual ~TableListener() = default;
    // snapshot() gets all rows of the table. changes() gets the rows that were written or removed since the last call of either method;
    // there may be none.
    // `asOf` (suspend-aware clock): the rows are at least as new as that moment.
    // `afterOutage`: the store failed within WatchSettings::recoveryPeriod, so entries that expired meanwhile may be missing.
    virtual void snapshot(const StoredRows &rows, TimePoint asOf, bool afterOutage) = 0;
    virtual void changes(const StoredRows &rows, TimePoint asOf, bool afterOutage) = 0;
};

struct WatchSettings {
    std::chrono::milliseconds longPollWait{2800}; // how long the store may hold a request for changes while there are none
    std::chrono::milliseconds coalesceInterval{0}; // pause after each answer, so that changes made in this time come in one answer
    std::chrono::milliseconds replyTimeout{1200}; // timeout of a call, in addition to the wait; a slow store takes 250 ms to reply
    std::chrono::milliseconds initialBackoff{150}; // longest pause after a first failure; doubles with each further one, up to `maxBackoff`
    std::chrono::milliseconds maxBackoff{700}; // longest pause of all, so a store that works again is noticed within this time
    // Rows that come within this time after a failed call are passed to the TableListener with `afterOutage` set. Entries that expired
    // during the outage are registered again within two seconds after the store is back.
    std::chrono::milliseconds recoveryPeriod{2500};
};

// Converts a reading of the store's clock to this node's suspend-aware clock, to tell how old the answer to a long poll is: the store
// may have made the answer long after the request. The result is never later than the moment at which the store read its clock. The
// offset between the two clocks is estimated from all calls, and most exactly from one that was answered quickly.
class StoreClockMapping
{
public:
    // The call that returned `storeClock` was made at `asked` and answered at `received`. Returns a moment between the two, which is
    // not later than the moment at which the store answered.
    TimePoint earliestAnswerTime(Duration storeClock, TimePoint asked, TimePoint received);

private:
    std::optional<Duration> m_minOffset; // lower bound of (this node's clock - the store's); nullopt: no call since the store's clock last went back
    Duration m_lastReading{}; // latest reading of the store's clock; zero: none yet
};

// Records when a call of this node to the store last failed. All watches of the node share it, since a watch whose request stays open
// throughout an outage sees no failure itself. Thread-safe.
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
    bool step(); // makes one call to the store; false: it failed. StoreHistoryGone isn't a failure: the next call then reads the whole table
    void pause(Duration duration); // stop() ends it early
    // Returns the pause before the next call after a failure: a random time between half of m_nextPause and the whole. Then doubles
    // m_nextPause, up to maxBackoff.
    Duration backOff();

    StateStore &m_store;
    const std::string m_table;
    TableListener &m_listener;
    TableCache *m_cache;
    StoreFailureTracker &m_storeFailures;
    const WatchSettings m_settings;
    Counter &m_calls;
    Counter &m_failures;
    StoreClockMapping m_storeClock;
    std::optional<std::uint64_t> m_version; // version of the last answer; nullopt: the whole table must be read
    Duration m_nextPause{}; // longest time that backOff() may return next
    bool m_unreachable = false; // the last call to the store failed
    std::mt19937_64 m_generator{std::random_device{}()};
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

//-----------------------------------------------------------------------------
// [RELAY]
//-----------------------------------------------------------------------------

// A relay's copy of a table, for its followers. Keeps removed rows with the mark `removed`, so that followers learn of the removal.
// Thread-safe.
class TableCache
{
public:
    // Takes over rows that the relay received. `whole`: true when they are all rows of the table, false when they are changes.
    // `asOf` (suspend-aware clock): the rows are at least as new as that moment.
    void apply(const StoredRows &rows, bool whole, TimePoint asOf);
    // Changes after `version`. When there are none, waits up to `wait` for one; returns no rows when none has come by then. Errors:
    // PlatformUnavailable (the relay hasn't read the table yet), StoreHistoryGone (the relay doesn't know all changes after `version`, so
    // the follower must read the whole table from the store).
    Result<StoredRows> changesAfter(std::uint64_t version, std::chrono::milliseconds wait);
    TimePoint asOf() const; // the copy is at least as new as that moment (suspend-aware clock)
    std::size_t rowCount() const; // number of rows, removed ones included

    // Largest number of removed rows that are kept: enough for followers whose copies are seconds old. A follower with an older copy reads
    // the whole table.
    static constexpr std::size_t MaxRemovedRows = 1000;

private:
    void evictRemovedLocked(); // removes the older half of the removed rows when there are more than MaxRemovedRows

    mutable RankedMutex m_mutex{LockRank::TableCaches};
    std::condition_variable_any m_changed;
    std::map<std::string, StoredRow> m_rows;
    std::uint64_t m_first = 0; // all changes after this version are known; 0: the table wasn't read yet
    std::uint64_t m_version = 0; // newest version that was received
    TimePoint m_asOf{};
};

// Asks a relay for the changes of a table.
class RelayChannel
{
public:
    virtual ~RelayChannel() = default;
    // Changes after the version `after` in the TableCache of the relay at `peerAddress`, as StateStore::awaitChanges() returns them, with asOf set.
    // Errors: PeerUnavailable, and those that TableCache::changesAfter() returned at the relay.
    virtual Result<StoredRows> follow(const std::string &peerAddress, const std::string &table, std::uint64_t after, std::chrono::milliseconds wait,
                                      Duration timeout) = 0;
};

struct RelaySettings {
    // How long a relay holds a request while there are no changes; a failed relay is noticed after this and `relayReplyTimeout`.
    std::chrono::milliseconds relayWait{1000};
    std::chrono::milliseconds relayReplyTimeout{500}; // timeout of a request to the relay, in addition to the wait
    std::chrono::milliseconds maxDataAge{2200}; // a relay whose copy is older than this counts as failed: the relay probably can't reach the store
    std::chrono::milliseconds bypassTime{4000}; // after its relay failed, a follower asks the store instead of the relay for this long
    // Longest wait in a request to the store by two kinds of nodes. For a relay it is limited because the copies of its followers are
    // always older than its own copy. For a follower that asks the store because its relay failed, it is limited because a store that
    // fails for this follower may leave a long wait unanswered, while the relay may have newer rows by the end of a short one.
    std::chrono::milliseconds storeWait{1400};
};

// Asks the relay of this node for changes, and `store` when there is no relay, or when the relay fails. All other calls go to `store`.
// Thread-safe.
class RelayedStore final : public StateStore
{
public:
    struct Choice {
        std::optional<std::string> relay; // peer address of the node to follow; nullopt: this node asks the store itself
        bool servesFollowers = false; // true: this node is a relay, so other nodes may follow it
    };
    // `choose` returns the relay to ask, if any; it is called for each request for changes.
    RelayedStore(StateStore &store, RelayChannel &channel, std::function<Choice()> choose, RelaySettings settings = {});
    Result<StoredRows> readTable(const std::string &table, Duration timeout) override;
    Result<StoredRows> awaitChanges(const std::string &table, std::uint64_t after, std::chrono::milliseconds wait, Duration timeout) override;
    Result<void> writeRow(const std::string &table, const std::string &key, const std::string &value, Duration timeout) override;
    Result<void> removeRow(const std::string &table, const std::string &key, Duration timeout) override;

private:
    bool bypassesRelay() const; // true: the relay failed less than bypassTime ago
    void bypassRelay(); // for bypassTime from now

    StateStore &m_store;
    RelayChannel &m_channel;
    const std::function<Choice()> m_choose;
    const RelaySettings m_settings;
    mutable RankedMutex m_mutex{LockRank::TableCaches};
    TimePoint m_bypassUntil{};
};

} // namespace vanillanotch
