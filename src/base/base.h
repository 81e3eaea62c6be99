// vanillanotch base library: everything the other libraries share.
//
// Index of sections (search for the tag):
//   [ERRORS]   numbered result codes, Error, Result
//   [IDS]      random identifiers and digests
//   [TIME]     Clock, SystemClock, ManualClock
//   [COUNTS]   intrusive reference counts
//   [LOCKS]    the lock-rank table, RankedMutex
//   [WORKERS]  WorkerPool, TimerQueue
//   [METRICS]  Counter, Histogram, MetricsRegistry
//   [LOGS]     one key=value line per event
#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <tl/expected.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [ERRORS]
//-----------------------------------------------------------------------------

// Numbered result codes. docs/ERRORS.md holds the same table for callers and operators.
enum class ErrorCode : int {
    // 10xx: the request could not be read
    MalformedRequest = 1001, // body isn't JSON, or a member has the wrong type
    BodyTooLarge = 1002, // body longer than the node's limit
    HeaderTooLarge = 1003, // header block longer than the node's limit
    UnknownPath = 1004, // no such resource, or wrong method
    InvalidDeadline = 1005, // deadline absent, zero, negative or past the pipeline's limit
    ReadTimeout = 1006, // the caller sent its request too slowly
    MissingIdempotencyKey = 1007, // the pipeline needs an idempotency key
    InvalidIdempotencyKey = 1008, // key empty, too long, or not printable ASCII
    // 11xx: who is asking
    MissingCredentials = 1101,
    UnknownCredentials = 1102,
    PipelineNotAllowed = 1103, // the client account may not use this pipeline
    UnknownPipeline = 1104,
    // 12xx: admission
    NotReady = 1201, // no configuration in force yet
    ShuttingDown = 1202,
    AccountRateExceeded = 1203,
    AccountConcurrencyExceeded = 1204,
    DeadlineUnattainable = 1205, // the expected finish lies past the deadline
    SuspectRefused = 1207, // the request was in flight at several server deaths
    ConfigurationStale = 1208, // the configuration can't be shown to be the newest, so API keys can't be trusted
    Overloaded = 1209, // no place for the request at this node, or its stages are too far behind
    UnknownRoute = 1210,
    // 13xx: routing and stages
    NoFitServer = 1301, // no backend server passes the hard gates
    DeadlineExceeded = 1302,
    CallerGone = 1303,
    // 14xx: backend servers
    ConnectFailed = 1401, // nothing was sent
    ConnectionLost = 1402, // closed or reset after bytes were sent
    ServerTimeout = 1403, // no bytes within the bound; the connection may be silent
    ServerRejected = 1404, // the server answered with an error status
    InvalidReply = 1405, // the reply can't be decoded
    AttemptMismatch = 1406, // the reply names another attempt
    ServerBusy = 1407, // the server answered 429 or 503 and did not run the call
    WrongInstance = 1408, // another server has the address now
    InputsGone = 1409, // results of earlier stages no longer exist
    // 15xx: journal of non-idempotent requests
    KeyReused = 1501, // same key, other body
    KeyInProgress = 1502, // another holder is running this key
    KeyOutcomeUnknown = 1503, // a former attempt was started; its end isn't known
    ReservationLost = 1504, // another holder took the key over
    // 16xx: configuration
    InvalidConfiguration = 1601,
    RevisionConflict = 1602, // another operator's change came first
    UnknownPreset = 1603,
    UnknownEntry = 1604,
    // 17xx: the platform
    PlatformUnavailable = 1701,
    ConditionFailed = 1702, // a conditional write met another version
    PlatformAnswerLost = 1703, // the write may have taken effect
    ObjectNotFound = 1704,
    PlatformReplyInvalid = 1705,
    // 18xx: a node's settings and the command line
    InvalidSettings = 1801,
    FileUnreadable = 1802,
    InvalidArgument = 1803,
    ListenFailed = 1804,
    StoreHistoryGone = 1706, // the change feed no longer goes back that far
    StoreRefused = 1707, // 429 or 503: nothing was done
    DocumentInvalid = 1708, // a row or document can't be read
    // 19xx: peers
    PeerUnavailable = 1901,
    PeerRefused = 1902, // wrong shared secret
};

std::string_view errorName(ErrorCode code);

struct Error {
    ErrorCode code;
    std::string detail; // for people; never holds keys or callers' text
};

template<typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> fail(ErrorCode code, std::string detail = {})
{
    return tl::unexpected<Error>(Error{code, std::move(detail)});
}

//-----------------------------------------------------------------------------
// [IDS]
//-----------------------------------------------------------------------------

std::string randomId(std::string_view prefix); // prefix, '-', then 16 hexadecimal digits
std::string sha256Hex(std::string_view data); // 64 hexadecimal digits
bool equalConstantTime(std::string_view a, std::string_view b); // time depends on the lengths only
std::uint64_t stableHash(std::string_view data); // the same on every node and in every release

//-----------------------------------------------------------------------------
// [TIME]
//-----------------------------------------------------------------------------

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Source of time for decisions. Tests drive ManualClock by hand.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0; // monotonic
    virtual WallTime wallNow() const = 0; // for records and logs only
};

class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    void advance(Duration step);

private:
    std::atomic<std::int64_t> m_elapsed{std::chrono::nanoseconds(std::chrono::hours(1)).count()};
};

std::string formatWallTime(WallTime time); // ISO 8601, UTC, milliseconds
std::chrono::milliseconds toMilliseconds(Duration duration); // rounded down

//-----------------------------------------------------------------------------
// [COUNTS]
//-----------------------------------------------------------------------------

// Shared objects carry their own count: derive from RefCounted<Self>, hold with Ref<Self>.
template<typename T>
using RefCounted = boost::intrusive_ref_counter<T, boost::thread_safe_counter>;

template<typename T>
using Ref = boost::intrusive_ptr<T>;

template<typename T, typename... Args>
Ref<T> makeRef(Args &&...args)
{
    return Ref<T>(new T(std::forward<Args>(args)...));
}

//-----------------------------------------------------------------------------
// [LOCKS]
//-----------------------------------------------------------------------------

// The lock-rank table. A thread that holds a lock may only take one of a higher rank.
// No lock is held across a call that leaves the process.
enum class LockRank : int {
    Configuration = 10, // ConfigurationTable: pointer to the snapshot in force
    Deployment = 12, // DeploymentTable: routes, services and API keys in force on the platform
    Members = 20, // MemberTable
    BackendServers = 30, // BackendServerTable
    Stages = 31, // StageScheduler: waiting pieces and lanes
    Instances = 32, // InstanceTable: registered instances of services
    StageOwners = 33, // OwnedStages: nodes that schedule stages for others
    Accounts = 40, // AccountTable
    Requests = 50, // RequestTable
    Estimates = 60, // StageEstimates, RetryBudget, RetryAllowance, EngineTimes, StatedDeadlines
    Suspects = 65, // SuspectTable
    Duties = 67, // Duty
    Journal = 70, // JournalWriter: rows waiting for a group commit
    Costs = 75, // CostTable
    TableCaches = 76, // TableCache: rows that other nodes follow through this one
    Results = 78, // ResultReleaser: results of stages to be freed
    Connections = 80, // idle connections, socket watchdog
    Storage = 85, // MemoryPlatform
    Workers = 90, // WorkerPool and TimerQueue queues
    Metrics = 95, // MetricsRegistry
    Leaf = 99, // short-lived locals: completion latches
};

// Aborts with a message when a thread takes a lock whose rank isn't above all it holds.
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank)
        : m_rank(rank)
    {
    }
    RankedMutex(const RankedMutex &) = delete;
    RankedMutex &operator=(const RankedMutex &) = delete;
    void lock();
    void unlock();

private:
    std::mutex m_mutex;
    LockRank m_rank;
};

using Lock = std::unique_lock<RankedMutex>;

// Aborts when the calling thread holds any lock: put it where a call leaves the process.
void assertNoLockHeld(const char *where);

//-----------------------------------------------------------------------------
// [WORKERS]
//-----------------------------------------------------------------------------

// A fixed number of threads which run posted tasks in order of posting.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t workers);
    ~WorkerPool(); // runs what is queued, then joins
    void post(std::function<void()> task);
    std::size_t queued() const;

private:
    void run();

    mutable RankedMutex m_mutex{LockRank::Workers};
    std::condition_variable_any m_wake;
    std::deque<std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

// Threads which run posted tasks at once: a task never waits while the limit isn't reached. Threads start on demand and stay.
class GrowingPool
{
public:
    explicit GrowingPool(std::size_t limit);
    ~GrowingPool();
    void post(std::function<void()> task); // beyond the limit it waits for a thread
    void stop(); // runs what is queued, then joins; call it before what the tasks use is gone
    std::size_t threadCount() const;

private:
    void run();

    const std::size_t m_limit;
    mutable RankedMutex m_mutex{LockRank::Workers};
    std::condition_variable_any m_wake;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_idle = 0;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

// Counts down to zero. Shared between a waiting thread and the tasks it waits for.
class Latch : public RefCounted<Latch>
{
public:
    explicit Latch(std::size_t count)
        : m_count(count)
    {
    }
    void countDown();
    bool wait(Duration limit); // false: the limit passed first

private:
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_wake;
    std::size_t m_count;
};

// Runs tasks at a later time on a WorkerPool. One thread waits for the nearest time.
class TimerQueue
{
public:
    explicit TimerQueue(WorkerPool &pool);
    ~TimerQueue();
    void after(Duration delay, std::function<void()> task);
    // Runs the task, waits for its end, then waits `interval` and runs it again, until stop().
    void every(Duration interval, std::function<void()> task);
    void stop(); // no task starts after it returns; the running ones go on

private:
    struct Timer {
        TimePoint due;
        std::function<void()> task;
    };
    struct Later {
        bool operator()(const Timer &a, const Timer &b) const
        {
            return a.due > b.due;
        }
    };
    void run();

    WorkerPool &m_pool;
    RankedMutex m_mutex{LockRank::Workers};
    std::condition_variable_any m_wake;
    std::priority_queue<Timer, std::vector<Timer>, Later> m_timers;
    bool m_stopping = false;
    std::thread m_thread;
};

//-----------------------------------------------------------------------------
// [METRICS]
//-----------------------------------------------------------------------------

class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

// Counts durations in buckets whose upper bounds double from 0.25 ms to 16.4 s.
class Histogram
{
public:
    static constexpr std::size_t BucketCount = 18;
    void record(Duration duration);
    std::uint64_t count() const;
    std::uint64_t bucket(std::size_t index) const; // not cumulative
    Duration sum() const;
    static Duration upperBound(std::size_t index); // the last bucket has none: Duration::max()
    Duration quantile(double share) const; // upper bound of the bucket that holds it; 0 when empty

private:
    std::array<std::atomic<std::uint64_t>, BucketCount> m_buckets{};
    std::atomic<std::int64_t> m_sum{0};
};

// Owns the counters of one process. References stay valid as long as the registry.
class MetricsRegistry
{
public:
    // labels: text such as `code="1301"`, without braces. Never a caller's text.
    Counter &counter(const std::string &name, const std::string &labels = {});
    Histogram &histogram(const std::string &name, const std::string &labels = {});
    void gauge(const std::string &name, std::function<double()> read); // the name may carry labels in braces
    std::string renderText() const; // Prometheus text exposition format 0.0.4

private:
    mutable RankedMutex m_mutex{LockRank::Metrics};
    std::map<std::string, std::map<std::string, Counter>> m_counters;
    std::map<std::string, std::map<std::string, Histogram>> m_histograms;
    std::map<std::string, std::function<double()>> m_gauges;
};

//-----------------------------------------------------------------------------
// [LOGS]
//-----------------------------------------------------------------------------

enum class LogLevel { Debug, Info, Warning, Error };

// One key=value pair. Values are quoted and escaped, so that no text can forge a line.
struct LogField {
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const char *value);
    LogField(std::string_view key, const std::string &value);
    LogField(std::string_view key, std::int64_t value);
    LogField(std::string_view key, std::uint64_t value);
    LogField(std::string_view key, int value);
    LogField(std::string_view key, unsigned value);
    LogField(std::string_view key, double value);
    LogField(std::string_view key, ErrorCode value);
    LogField(std::string_view key, Duration value); // written in milliseconds

    std::string m_text; // key=value, escaped
};

void initLog(LogLevel least, const std::string &node); // standard error; call once per process

// Standard output, written by a thread of its own. Lines beyond the buffer are dropped and counted; logging never blocks.
class BufferedLog
{
public:
    static constexpr std::size_t BufferBytes = 512 * 1024; // some seconds at full load

    BufferedLog(LogLevel least, const std::string &node); // one for each process
    ~BufferedLog(); // writes what is left
    BufferedLog(const BufferedLog &) = delete;
    BufferedLog &operator=(const BufferedLog &) = delete;
    std::uint64_t droppedLines() const; // lines

private:
    struct Sink;
    std::unique_ptr<Sink> m_sink;
};
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
std::string escapeLogValue(std::string_view value);

} // namespace vanillanotch
