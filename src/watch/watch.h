// vanillanotch watch library: keeps this node's view of the platform's tables up to date.
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
    std::chrono::milliseconds wait{2800}; // longest time between two answers of an idle feed
    std::chrono::milliseconds rest{0}; // after an answer; changes of this time come together
    std::chrono::milliseconds answerLimit{1200}; // for an answer besides the wait; a slow store takes a quarter second
    std::chrono::milliseconds firstPause{150}; // after a failure; grows to `longestPause`
    std::chrono::milliseconds longestPause{700}; // a returned store is seen within this time
    std::chrono::milliseconds troubleMemory{2500}; // lapsed entries are back within two seconds of the store's return
};

// Bounds from below when the store gave an answer, on this node's clock. A long poll's answer is far younger than its
// question; the store's clock says how much, once quick calls have shown how the two clocks stand to each other.
class StoreClock
{
public:
    // The call that brought `storeClock` was made between the two moments. Returns a moment at or before the answer was given.
    TimePoint answeredAfter(Duration storeClock, TimePoint asked, TimePoint received);

private:
    std::optional<Duration> m_least; // least possible (this clock - the store's)
    Duration m_lastSeen{};
};

// Follows one table on a thread of its own.
class TableWatch
{
public:
    TableWatch(StateStore &store, std::string table, TableListener &listener, WatchSettings settings, MetricsRegistry &metrics);
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
    const WatchSettings m_settings;
    Counter &m_calls;
    Counter &m_failures;
    StoreClock m_clock;
    std::optional<std::uint64_t> m_version; // nullopt: the table must be read
    Duration m_nextPause{};
    TimePoint m_lastFailure{};
    bool m_lost = false;
    std::mt19937_64 m_generator{std::random_device{}()};
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace vanillanotch
