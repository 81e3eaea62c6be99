// vanillanotch watch library: keeps this node's copy of the tables in the platform's store up to date.
//
// Index of sections:
//   [STORE]  StateStore: the operations of the platform's store that a node uses; RowStore: those on single rows
//   [WATCH]  TableWatch: follows one table; PollSchedule: how it calls; StoreClockMapping, StoreHealth: what it knows of the store's clock and failures
//   [SOURCES] SourceOrder, SourceChooser: from which node, or from the store, a node gets a table, and what it does when that fails
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
//   - while the store fails, a node repeats its calls at a limited rate, and not all nodes at the same moment;
//   - entries that are missing after an outage are awaited from the store's return on, not from when this node notices the outage;
//   - no call is open for longer than the time within which its table must be up to date again after a fault.
#pragma once

#include "base/base.h"
#include "fleet/fleet.h"
#include "transport/transport.h"

#include <random>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [STORE]
//-----------------------------------------------------------------------------

// A moment in the history of the store: its era, and the version within that era. The era rises each time the store comes back from an older copy. What was
// written after the copy is lost then, and the versions since are given out again, for other changes. So versions of different eras can't be compared: a copy
// of one era is not continued in another one, but read again as a whole.
class StorePosition
{
public:
    StorePosition() = default; // before every other one: nothing was read
    StorePosition(std::uint64_t era, std::uint64_t version)
        : m_era(era)
        , m_version(version)
    {
    }
    std::uint64_t era() const // 0: the store states none
    {
        return m_era;
    }
    std::uint64_t version() const // means nothing without the era
    {
        return m_version;
    }
    bool sameEra(const StorePosition &other) const
    {
        return m_era == other.m_era;
    }
    bool operator==(const StorePosition &other) const
    {
        return sameEra(other) && m_version == other.m_version;
    }
    // False also when the two are of different eras.
    bool includes(const StorePosition &other) const
    {
        return sameEra(other) && m_version >= other.m_version;
    }
    // The further one of two positions of the same era; of different eras: `newer`.
    static StorePosition furthest(const StorePosition &known, const StorePosition &newer)
    {
        return known.includes(newer) ? known : newer;
    }

private:
    std::uint64_t m_era = 0;
    std::uint64_t m_version = 0;
};

struct StoredRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0; // the table's version after the change that wrote or removed the row
    bool removed = false; // true: the change removed the row, and `value` is empty
};

// How rows came from a relay.
struct RowsTransfer {
    Duration ageAtSource{}; // of the relay's copy when it began to reply
    Duration took{}; // from then until the last byte had come
    std::size_t bytes = 0; // of the reply's body
};

struct StoredRows {
    std::vector<StoredRow> rows;
    StorePosition position; // up to which the rows include all changes; the next request for changes starts from it
    Duration storeClock{}; // reading of the store's steady clock when it answered
    // The rows are at least as new as this moment of this node's suspend-aware clock. Set for rows that came from a relay. nullopt: the rows
    // came from the store itself, and TableWatch computes the moment from storeClock.
    std::optional<TimePoint> asOf;
    unsigned hops = 0; // number of nodes that passed the rows on: 0 for rows that came from the store itself
    RowsTransfer transfer; // of rows that came from a relay
};

struct RowWrite {
    std::string key;
    std::string value;
    bool mustBeNew = false; // the table must not hold a row with this key yet
};

// Longest time of one reply with rows. Only a source that sends a little now and then comes near it.
constexpr std::chrono::seconds LongestTransfer{60};

// How long the store's reply may take that it may hold for `wait`. `timeout`: until the reply begins, in addition to the wait, and of each pause within it.
ReplyLimits storeReplyLimits(std::chrono::milliseconds wait, Duration timeout);

// The operations of the platform's store that a node uses. `timeout`: until the reply begins; of a read also for each pause within the reply, as the
// time that its bytes take depends on their number and on the link.
class StateStore
{
public:
    virtual ~StateStore() = default;
    static constexpr std::size_t MaxRowsOfWrite = 100;
    // All rows of a table. Errors: PlatformUnavailable, PlatformAnswerLost, StoreRefused, PlatformReplyInvalid.
    virtual Result<StoredRows> readTable(const std::string &table, Duration timeout) = 0;
    // Changes after the position `after`: returned at once when there are any, else after at most `wait`, perhaps without rows. A call without a reply ends
    // `replyTimeout` after the wait, so that shortening the wait shortens the whole call. Errors: those of readTable(), and StoreHistoryGone
    // when the store no longer holds all changes after that position, or is of another era.
    virtual Result<StoredRows> awaitChanges(const std::string &table, const StorePosition &after, std::chrono::milliseconds wait, Duration replyTimeout) = 0;
    // From when a call for this table reaches a source again (suspend-aware clock); in the past: at once. A store that avoids sources which failed a
    // short time ago overrides this.
    virtual TimePoint callableAt(const std::string & /*table*/)
    {
        return TimePoint{};
    }
    // Writes all of the rows or none; at most MaxRowsOfWrite. Errors of both writes: those of readTable(); after PlatformAnswerLost the write
    // may have taken effect. ConditionFailed: a row that must be new exists already.
    virtual Result<void> writeRows(const std::string &table, const std::vector<RowWrite> &rows, Duration timeout) = 0;
    virtual Result<void> removeRow(const std::string &table, const std::string &key, Duration timeout) = 0;
};

// A table's rows are divided into parts, which the store writes independently of each other.
struct RowKey {
    std::string table;
    std::string part;
    std::string key;
};

struct RowReading {
    std::optional<StoredRow> row; // nullopt: there is no such row
    std::uint64_t era = 0; // rises each time the store comes back from an older copy, and has lost what was written since
};

// Operations on single rows, and on parts other than the empty one. `timeout` limits a whole call. Errors: those of StateStore.
class RowStore
{
public:
    virtual ~RowStore() = default;
    virtual Result<RowReading> readRow(const RowKey &key, Duration timeout) = 0;
    // `expected`: version that the row must have; 0: it must not exist. nullopt: any. Further errors: ConditionFailed.
    virtual Result<void> writeRow(const RowKey &key, const std::string &value, std::optional<std::uint64_t> expected, Duration timeout) = 0;
    // Writes all of the rows or none; at most StateStore::MaxRowsOfWrite.
    virtual Result<void> writePart(const std::string &table, const std::string &part, const std::vector<RowWrite> &rows, Duration timeout) = 0;
    virtual Result<StoredRows> readPart(const std::string &table, const std::string &part, Duration timeout) = 0; // `timeout`: of a page
    // Removes all of the rows or none; at most StateStore::MaxRowsOfWrite. ConditionFailed: one of them has another version by now.
    virtual Result<void> removeRows(const std::string &table, const std::string &part, const std::vector<StoredRow> &rows, Duration timeout) = 0;
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
    // `storeWorksFor`: as StoreHealth::worksFor(). A short time after an outage, entries that expired meanwhile may still be missing.
    virtual void snapshot(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) = 0;
    virtual void changes(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) = 0;
};

struct WatchSettings {
    std::chrono::milliseconds longPollWait{1400}; // how long the store may hold a request for changes while there are none
    // Pause after an answer with changes, so that further changes made in this time come in one answer. Counts toward the age of the copies
    // that followers get, so it must be well below SourceSettings::maxDataAge.
    std::chrono::milliseconds coalesceInterval{0};
    std::chrono::milliseconds replyTimeout{1200}; // timeout of a call, in addition to the wait; a slow store takes 250 ms to reply
    std::chrono::milliseconds initialBackoff{150}; // longest pause after a first failure; doubles with each further one, up to `maxBackoff`
    std::chrono::milliseconds maxBackoff{700}; // longest pause of all, so a store that works again is noticed within this time
};

// Settings for a table that must be up to date again within `bound` after the store and the network have recovered. Only its timeout shows
// that a call was lost whose connection stays open, so the longest call, the pause after it and the next answer fit into the bound.
WatchSettings watchSettings(std::chrono::milliseconds bound, std::chrono::milliseconds coalesceInterval);

// Decides how a TableWatch makes its next call, and the pause before it. Makes no calls itself. Not thread-safe.
class PollSchedule
{
public:
    PollSchedule(WatchSettings settings, std::uint64_t seed);
    // How long the source may hold the next call. Zero after a failure: a source that has recovered answers at once, and one that has not must
    // not keep the node waiting, since it may have lost the call.
    std::chrono::milliseconds wait() const;
    Duration recordAnswer(bool hadChanges); // returns the pause before the next call
    // Returns the pause before the next call: a random time, at least half of the longest one, so that nodes whose calls failed at the same
    // moment don't repeat them at the same moment. The longest one doubles with each failure, up to WatchSettings::maxBackoff.
    Duration recordFailure();

private:
    const WatchSettings m_settings;
    Duration m_longestPause; // that recordFailure() may return next
    bool m_failed = false; // the last call failed
    std::mt19937_64 m_generator;
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

// For how long the store has been working, from the calls of all watches of this node: each of them learns of an outage at another moment, and a call
// that was lost in the outage fails only at its timeout, long after the store's return. All times are of the suspend-aware clock. Thread-safe.
class StoreHealth
{
public:
    void recordFailure(TimePoint failingAt); // a call failed; the store may not have worked at that moment
    void recordAnswer(TimePoint asOf); // the store worked at that moment
    // Time since the first answer after the last moment at which the store may not have worked. Zero: no answer yet; max(): no call has failed so far.
    Duration worksFor(TimePoint now) const;

private:
    static constexpr std::chrono::milliseconds MinAnswerDistance{50}; // answers that follow another one sooner aren't kept
    static constexpr std::size_t MaxAnswers = 256; // enough for the time until the longest call fails

    mutable RankedMutex m_mutex{LockRank::Leaf};
    TimePoint m_failingAt{}; // latest moment of a failure; zero: none yet
    std::set<TimePoint> m_answers; // after m_failingAt
};

class TableCache;

// Follows one table on a thread of its own: reads it whole, then asks for changes in a loop, and passes both to the listener.
class TableWatch
{
public:
    // `cache`: also gets the rows, for nodes that follow the table through this one; may be null.
    TableWatch(StateStore &store, std::string table, TableListener &listener, TableCache *cache, StoreHealth &storeHealth, WatchSettings settings,
               MetricsRegistry &metrics);
    ~TableWatch();
    void start();
    void stop();

private:
    void run();
    Duration step(); // makes one call to the store; returns the pause before the next one. StoreHistoryGone: the next call reads the whole table
    Duration pauseAfterFailure(); // before the next call
    void pause(Duration duration); // stop() ends it early

    StateStore &m_store;
    const std::string m_table;
    TableListener &m_listener;
    TableCache *m_cache;
    StoreHealth &m_storeHealth;
    const WatchSettings m_settings;
    Counter &m_calls;
    Counter &m_failures;
    StoreClockMapping m_storeClock;
    std::optional<StorePosition> m_position; // of the last answer; nullopt: the whole table must be read
    PollSchedule m_schedule;
    bool m_unreachable = false; // the last call to the store failed
    unsigned m_failuresInARow = 0; // calls that failed since the last answer
    ErrorCode m_lastError{}; // of the last failed call
    TimePoint m_lastAnswerAt; // when the last call was answered (suspend-aware clock); at first when this object was made
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

//-----------------------------------------------------------------------------
// [SOURCES]
//-----------------------------------------------------------------------------

// How many members of a data centre pass a table on to the others. The first member by dutyRank() among those with fast
// links is the primary relay: it alone asks the
// store while it works. The other serving relays follow the primary and share the remaining members among them. Standbys are only asked
// when a serving relay fails. Each table has an order of its own, so that its relays are other nodes than those of the next table.
struct RelayPolicy {
    std::size_t minMembers = 8; // in a smaller data centre every member asks the store
    std::size_t membersPerRelay = 24; // one serving relay for each of this many members; limits the calls that one node serves
    std::size_t maxServing = 6; // largest number of serving relays
    double slowLinkFactor = 4; // a node whose link is more than so many times slower than the fastest one's is a relay only when these fail
    std::size_t standbys = 2;
    std::size_t remoteRelays = 2; // primary relays of other data centres, asked when all else fails
};

// The sources of one table, in the order in which one node tries them.
struct SourceOrder {
    std::vector<std::string> beforeStore; // peer addresses of relays
    std::vector<std::string> afterStore; // peer addresses of relays that are asked only while the store fails
    bool isRelay = false; // this node may be asked by others
    bool hasRelays() const
    {
        return isRelay || !beforeStore.empty();
    }
};

SourceOrder sourceOrder(const std::vector<MemberRecord> &members, const MemberRecord &self, const std::string &table, const RelayPolicy &policy);

struct SourceSettings {
    // Longest wait of one call to the store by a node that has relays or is one. The copies of a relay's followers get as old as this.
    std::chrono::milliseconds storeWait{1000};
    std::chrono::milliseconds maxDataAge{1400}; // a relay whose copy is older than this can't reach the store
    std::chrono::milliseconds unfitRetry{1000}; // pause before a relay is asked again whose copy was too old or not direct
    std::chrono::milliseconds relayRetry{2000}; // pause before a relay that failed is asked again; doubles with each further failure
    std::chrono::milliseconds maxRelayRetry{16000};
    // After a failure the store is avoided until `storePause` after the end of the call, and by members other than the primary relay also until
    // `storeRetry` after its beginning: all members of a data centre ask the store when they can't use their relays, most of all while the store
    // itself fails. Each time is random, between half of the value and the whole. A node without relays has no other source and avoids nothing.
    std::chrono::milliseconds storePause{500};
    std::chrono::milliseconds storeRetry{2500};
};

// What a node got from a relay.
struct RelayReply {
    unsigned hops = 0; // StoredRows::hops
    Duration ageAtSource{}; // age of the copy when the relay began to reply
    bool news = false; // the copy is known to be further on than the one that this node has
};

struct ReplyVerdict {
    bool useRows = false;
    bool sourceFit = false; // false: another source is asked next
};

enum class SourceFailure {
    Unreachable, // the call failed
    Unfit // the relay answered, but its copy is too old or of an earlier era, or not direct although this node needs a direct one
};

// Decides which source of a table a node asks next. Makes no calls itself. Not thread-safe.
//
// A relay accepts only direct copies, which came from the store through one other node at most. So two relays never follow each other.
class SourceChooser
{
public:
    struct Plan {
        std::string relay; // peer address; empty: the store
        std::optional<std::chrono::milliseconds> wait; // longest wait of a call to the store; nullopt: as long as wanted
        TimePoint begun{}; // when the call was planned
        bool isStore() const
        {
            return relay.empty();
        }
    };
    explicit SourceChooser(SourceSettings settings, std::uint64_t seed);
    // Returns the source to ask now. If each of them failed a short time ago: from when one may be asked again.
    tl::expected<Plan, TimePoint> next(const SourceOrder &order, TimePoint now) const;
    ReplyVerdict judge(const SourceOrder &order, const RelayReply &reply) const;
    void recordSuccess(const Plan &plan);
    void recordFailure(const Plan &plan, const SourceOrder &order, SourceFailure failure, TimePoint now);

private:
    struct RelayState {
        TimePoint avoidUntil{};
        unsigned failures = 0; // in a row; an unfit copy isn't counted
    };
    TimePoint callableAt(const std::string &relay) const;

    const SourceSettings m_settings;
    std::map<std::string, RelayState> m_relays; // by peer address; holds only relays whose last call failed
    TimePoint m_avoidStoreUntil{};
    std::optional<std::string> m_last; // source of the last success; empty string: the store
    std::mt19937_64 m_generator;
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
    // Changes after `position`. When there are none, waits up to `wait` until there are, or until the copy was confirmed to be current at a
    // moment later than `knownAsOf` (suspend-aware clock), which the follower knows already. The wait ends when the copy is older than
    // `maxAge`, but not before StaleGrace. Errors: PlatformUnavailable (by the end of the wait the relay hasn't read the table, or not in that
    // era, which is later than its own), StoreHistoryGone (the relay doesn't know all changes after `position`, or is of a later era).
    Result<StoredRows> changesAfter(const StorePosition &position, std::chrono::milliseconds wait, TimePoint knownAsOf = TimePoint::max(),
                                    Duration maxAge = Duration::max());
    // For a follower of an earlier build, which states no era: as above, with a position of the era of this copy.
    Result<StoredRows> changesAfterVersion(std::uint64_t version, std::chrono::milliseconds wait, TimePoint knownAsOf, Duration maxAge);
    // The whole table, without removed rows. Waits up to `wait` for this node's own first read. Errors: PlatformUnavailable.
    Result<StoredRows> wholeTable(std::chrono::milliseconds wait);
    TimePoint asOf() const; // the copy is at least as new as that moment (suspend-aware clock)
    std::size_t rowCount() const; // number of rows, removed ones included

    // Largest number of removed rows that are kept: enough for followers whose copies are seconds old. A follower with an older copy reads
    // the whole table.
    static constexpr std::size_t MaxRemovedRows = 1000;
    // How long a copy that is too old already is waited for: a relay that has lost its own source is about to get it from the next one.
    static constexpr std::chrono::milliseconds StaleGrace{200};

private:
    bool awaitReadLocked(Lock &lock, std::uint64_t era, std::chrono::milliseconds wait); // a read in `era` or a later one; false: none by the end of the wait
    void evictRemovedLocked(); // removes the older half of the removed rows when there are more than MaxRemovedRows

    mutable RankedMutex m_mutex{LockRank::TableCaches};
    std::condition_variable_any m_changed;
    std::map<std::string, StoredRow> m_rows;
    std::uint64_t m_first = 0; // all changes after this version are known, in the era of m_position; 0: the table wasn't read yet
    StorePosition m_position; // furthest one that was received
    TimePoint m_asOf{};
    unsigned m_hops = 0; // StoredRows::hops of the latest rows
};

// What a follower asks a relay.
struct RelayQuery {
    std::string table;
    std::optional<StorePosition> after; // the changes after this position; nullopt: the whole table
    std::chrono::milliseconds wait{0}; // how long the relay may hold the query
    Duration knownAge = Duration::max(); // age of the copy that the follower has; a later confirmation ends the wait. max(): it has none
    Duration maxAge = Duration::max(); // oldest copy that the follower accepts
};

// Asks a relay for the rows of a table.
class RelayChannel
{
public:
    virtual ~RelayChannel() = default;
    // The rows from the TableCache of the relay at `peerAddress`, with asOf, hops and transfer set. Errors:
    // PeerUnavailable (also for a relay of an earlier build, which doesn't say of which era its rows are), and those that the TableCache returned
    // at the relay.
    virtual Result<StoredRows> follow(const std::string &peerAddress, const RelayQuery &query, const ReplyLimits &limits) = 0;
};

struct RelaySettings {
    SourceSettings sources;
    // How long a relay may hold a query while there is nothing new; a failed relay is noticed after this and `relayReplyTimeout`.
    std::chrono::milliseconds relayWait{1200};
    std::chrono::milliseconds relayReplyTimeout{400}; // until a relay begins to reply, in addition to the wait
    std::chrono::milliseconds wholeTableTimeout{1500}; // the same for a whole table
    std::chrono::milliseconds transferPause{1000}; // a relay that sends nothing for this long within its reply has failed
};

// How long a relay's reply to a query may take.
ReplyLimits relayReplyLimits(const RelayQuery &query, const RelaySettings &settings);

// Gets each table from the source that its SourceChooser names, and turns to the next one when that fails. Writes go to `store`. Thread-safe.
class RelayedStore final : public StateStore
{
public:
    // `order` returns the sources of a table; it is called for each call to a source.
    RelayedStore(StateStore &store, RelayChannel &channel, std::function<SourceOrder(const std::string &table)> order, RelaySettings settings = {});
    Result<StoredRows> readTable(const std::string &table, Duration timeout) override;
    Result<StoredRows> awaitChanges(const std::string &table, const StorePosition &after, std::chrono::milliseconds wait, Duration replyTimeout) override;
    TimePoint callableAt(const std::string &table) override;
    Result<void> writeRows(const std::string &table, const std::vector<RowWrite> &rows, Duration timeout) override;
    Result<void> removeRow(const std::string &table, const std::string &key, Duration timeout) override;

private:
    struct TableState {
        SourceChooser chooser;
        TimePoint asOf{}; // of the latest rows from a relay (suspend-aware clock)
    };
    TableState &stateLocked(const std::string &table);
    // Asks sources one after the other until one answers, without a wait after one that didn't answer. `after`: as in RelayQuery.
    Result<StoredRows> fetch(const std::string &table, const std::optional<StorePosition> &after, std::chrono::milliseconds wait, Duration replyTimeout);
    Result<StoredRows> askStore(const std::string &table, const std::optional<StorePosition> &after, std::chrono::milliseconds wait, Duration replyTimeout);
    Result<StoredRows> askRelay(const std::string &relay, const RelayQuery &query);

    StateStore &m_store;
    RelayChannel &m_channel;
    const std::function<SourceOrder(const std::string &table)> m_order;
    const RelaySettings m_settings;
    mutable RankedMutex m_mutex{LockRank::TableCaches};
    std::map<std::string, TableState> m_tables;
    std::uint64_t m_era = 0; // latest one that any source has stated, for any table: a relay that is still in an earlier one is behind
};

} // namespace vanillanotch
