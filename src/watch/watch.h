// vanillanotch watch library: keeps this node's view of the platform's tables up to date.
//
// Index of sections:
//   [STORE]  StateStore: the platform's store as far as a node watches it
//   [WATCH]  TableWatch, StoreClock: follow one table
//   [RELAY]  TableCache, RelayedStore: nodes of a data centre follow a table through a few of them
//
// Rules this aggregate enforces:
//   - the version of a table that was seen never falls;
//   - after a gap in the change feed the table is read anew;
//   - while the store is in trouble it is asked at a bounded rate, and not by all nodes at once.
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
    std::uint64_t version = 0;
    bool removed = false; // in a change: the row is gone
};

struct StoredRows {
    std::vector<StoredRow> rows;
    std::uint64_t version = 0; // the store's newest
    Duration storeClock{}; // the store's steady clock when it answered
    std::optional<TimePoint> asOf; // at least as new as that moment (suspend-aware clock); nullopt: to be told by the store's clock
};

// The platform's store as far as a node watches it.
class StateStore
{
public:
    virtual ~StateStore() = default;
    // All rows of a table. Errors: PlatformUnavailable, StoreRefused, PlatformReplyInvalid.
    virtual Result<StoredRows> readTable(const std::string &table, Duration limit) = 0;
    // Changes after a version, at once when there are any, else after `wait`. StoreHistoryGone besides.
    virtual Result<StoredRows> awaitChanges(const std::string &table, std::uint64_t after, std::chrono::milliseconds wait, Duration limit) = 0;
    virtual Result<void> writeRow(const std::string &table, const std::string &key, const std::string &value, Duration limit) = 0;
    virtual Result<void> removeRow(const std::string &table, const std::string &key, Duration limit) = 0;
};

//-----------------------------------------------------------------------------
// [WATCH]
//-----------------------------------------------------------------------------

class TableListener
{
public:
    virtual ~TableListener() = default;
    // `asOf` (suspend-aware clock): the rows are at least as new as that moment.
    // `afterTrouble`: the store was out of reach until a moment ago.
    virtual void snapshot(const StoredRows &rows, TimePoint asOf, bool afterTrouble) = 0;
    virtual void changes(const StoredRows &rows, TimePoint asOf, bool afterTrouble) = 0;
};

struct WatchSettings {
    std::chrono::milliseconds longPollWait{2800}; // longest time between two answers of an idle feed
    std::chrono::milliseconds coalesceInterval{0}; // after an answer; changes of this time come together
    std::chrono::milliseconds replyTimeout{1200}; // for an answer besides the wait; a slow store takes a quarter second
    std::chrono::milliseconds initialBackoff{150}; // after a failure; grows to `longestPause`
    std::chrono::milliseconds maxBackoff{700}; // a returned store is seen within this time
    std::chrono::milliseconds recoveryPeriod{2500}; // lapsed entries are back within two seconds of the store's return
};

// Bounds from below when the store gave an answer, on this node's clock. A long poll's answer is far younger than its
// question; the store's clock says how much, once quick calls have shown how the two clocks stand to each other.
class StoreClockMapping
{
public:
    // The call that brought `storeClock` was made between the two moments. Returns a moment at or before the answer was given.
    TimePoint earliestAnswerTime(Duration storeClock, TimePoint asked, TimePoint received);

private:
    std::optional<Duration> m_least; // least possible (this clock - the store's)
    Duration m_lastSeen{};
};

// When this node last failed to reach the store, by any of its watches: a feed that hangs through an outage fails by none.
class StoreFailureTracker
{
public:
    void recordFailure();
    bool failedWithin(Duration span) const; // a failure is no older than that

private:
    mutable RankedMutex m_mutex{LockRank::Leaf};
    TimePoint m_lastFailure{};
};

class TableCache;

// Follows one table on a thread of its own.
class TableWatch
{
public:
    // `cache` may be null.
    TableWatch(StateStore &store, std::string table, TableListener &listener, TableCache *cache, StoreFailureTracker &trouble, WatchSettings settings,
               MetricsRegistry &metrics);
    ~TableWatch();
    void start();
    void stop();

private:
    void run();
    bool step(); // false: the store didn't answer
    void pause(Duration duration);
    Duration backOff();

    StateStore &m_store;
    const std::string m_table;
    TableListener &m_listener;
    TableCache *m_cache;
    StoreFailureTracker &m_trouble;
    const WatchSettings m_settings;
    Counter &m_calls;
    Counter &m_failures;
    StoreClockMapping m_clock;
    std::optional<std::uint64_t> m_version; // nullopt: the table must be read
    Duration m_nextPause{};
    bool m_lost = false;
    std::mt19937_64 m_generator{std::random_device{}()};
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

//-----------------------------------------------------------------------------
// [RELAY]
//-----------------------------------------------------------------------------

// What this node has seen of a table, removed rows included, for nodes that follow it through this one.
class TableCache
{
public:
    void apply(const StoredRows &rows, bool whole, TimePoint asOf);
    // Waits for a change after that version. StoreHistoryGone: this node has not followed the table from there.
    Result<StoredRows> changesAfter(std::uint64_t version, std::chrono::milliseconds wait);
    TimePoint asOf() const;
    std::size_t rowCount() const; // removed ones included

    static constexpr std::size_t MaxRemovedRows = 1000; // rows; followers are seconds behind at most

private:
    void forgetRemovedLocked();

    mutable RankedMutex m_mutex{LockRank::TableCaches};
    std::condition_variable_any m_changed;
    std::map<std::string, StoredRow> m_rows;
    std::uint64_t m_first = 0; // changes are known from this version on; 0: not read yet
    std::uint64_t m_version = 0;
    TimePoint m_asOf{};
};

// Asks another node for a table.
class RelayChannel
{
public:
    virtual ~RelayChannel() = default;
    virtual Result<StoredRows> follow(const std::string &peerAddress, const std::string &table, std::uint64_t after, std::chrono::milliseconds wait,
                                      Duration limit) = 0;
};

struct RelaySettings {
    std::chrono::milliseconds relayWait{1000}; // of a question to the relay: bounds how long its silence is unnoticed
    std::chrono::milliseconds relayReplyTimeout{500}; // for the answer besides
    std::chrono::milliseconds maxDataAge{2200}; // a relay whose own news is older is itself cut off
    std::chrono::milliseconds bypassTime{4000}; // after the relay failed, the store is asked
    // Of questions to the store by a relay, whose followers' news is older than its own, and by a follower that has passed its
    // relay by: a store that turns this node away may never end a long wait, and the relay may know more by then.
    std::chrono::milliseconds storeWait{1400};
};

// Asks the relay that is in charge of this node, and the store when there is none or it fails.
class RelayedStore final : public StateStore
{
public:
    // `relay`: address of the node to follow; nullopt: this node asks the store, and `serves` others.
    struct Choice {
        std::optional<std::string> relay;
        bool servesFollowers = false;
    };
    RelayedStore(StateStore &store, RelayChannel &channel, std::function<Choice()> choose, RelaySettings settings = {});
    Result<StoredRows> readTable(const std::string &table, Duration limit) override;
    Result<StoredRows> awaitChanges(const std::string &table, std::uint64_t after, std::chrono::milliseconds wait, Duration limit) override;
    Result<void> writeRow(const std::string &table, const std::string &key, const std::string &value, Duration limit) override;
    Result<void> removeRow(const std::string &table, const std::string &key, Duration limit) override;

private:
    bool direct() const;
    void goDirect();

    StateStore &m_store;
    RelayChannel &m_channel;
    const std::function<Choice()> m_choose;
    const RelaySettings m_settings;
    mutable RankedMutex m_mutex{LockRank::TableCaches};
    TimePoint m_directUntil{};
};

} // namespace vanillanotch
