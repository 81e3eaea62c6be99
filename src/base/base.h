// vanillanotch base library: types and functions that all other libraries use.
//
// A node is one process of the daemon vanillanotchd or vanillanotch-entryd. The platform is the environment in which the daemons are deployed; its
// services keep the system's stored data.
//
// Index of sections (search for the tag):
//   [ERRORS]   numbered error codes, Error, Result
//   [IDS]      random identifiers and digests
//   [TIME]     Clock, SystemClock, ManualClock
//   [COUNTS]   intrusive reference counting
//   [LOCKS]    the lock-rank table, RankedMutex
//   [WORKERS]  WorkerPool, GrowingPool, Latch, TimerQueue
//   [METRICS]  Counter, Histogram, MetricsRegistry
//   [LOGS]     log lines, one per event, of key=value pairs
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

// Numbered error codes. Callers and operators see the number and errorName(); docs/ERRORS.md lists the same codes.
enum class ErrorCode : int {
    // 10xx: the request could not be read
    MalformedRequest = 1001, // the body isn't JSON, or one of its members has the wrong type
    BodyTooLarge = 1002, // the body is longer than the node's limit
    HeaderTooLarge = 1003, // the header block is longer than the node's limit
    UnknownPath = 1004, // no resource has this path, or the resource doesn't support the method
    InvalidDeadline = 1005, // the deadline is absent, zero, negative or above the pipeline's limit
    ReadTimeout = 1006, // the caller did not send its whole request within the read timeout
    MissingIdempotencyKey = 1007, // the pipeline requires an idempotency key and the request has none
    InvalidIdempotencyKey = 1008, // the idempotency key is empty, too long, or not printable ASCII
    // 11xx: authentication and authorisation
    MissingCredentials = 1101, // the request has no API key or, for operators, no operators' key
    UnknownCredentials = 1102, // the key belongs to no client account or operator
    PipelineNotAllowed = 1103, // the client account may not use this pipeline
    UnknownPipeline = 1104, // the configuration has no pipeline of this name
    // 12xx: admission
    NotReady = 1201, // the node has loaded no configuration yet
    ShuttingDown = 1202, // the node is shutting down and takes no new requests
    AccountRateExceeded = 1203, // the client account's requests per second and burst are used up
    AccountConcurrencyExceeded = 1204, // the client account has too many requests in flight at this node
    DeadlineUnattainable = 1205, // the request is not expected to finish before its deadline
    SuspectRefused = 1207, // several backend servers crashed while they ran this request; it may be the cause
    ConfigurationStale = 1208, // the node can't confirm that its configuration is the newest, so it can't trust the API keys in it
    Overloaded = 1209, // the node runs its maximum number of requests, or the work that already waits at the request's stages would take too long
    ServersLimited = 1211, // each server that could take the request wants a pause, or has stated a limit of which this node's part is used up
    UnknownRoute = 1210, // no route matches the request's host and path
    // 13xx: routing and stages
    NoFitServer = 1301, // no backend server (or registered instance of one) may take the work now
    DeadlineExceeded = 1302, // the deadline passed before the request finished
    CallerDisconnected = 1303, // the caller disconnected or cancelled the request
    StreamUnknown = 1304, // a stream can't go on: it isn't known which software version began it
    StreamUnread = 1305, // the same, because the platform's store couldn't be asked
    StreamVersionGone = 1306, // a stream can't go on: no server of the software version that began it may take the work
    // 14xx: backend servers
    ConnectFailed = 1401, // no connection was made, so nothing was sent
    ConnectionLost = 1402, // the connection was closed or reset after bytes were sent
    ServerTimeout = 1403, // no bytes arrived within the timeout; the connection may be dead without a reset
    // The server answered with an error status to which none of the other codes applies; or a piece of a stage failed in as many attempts as allowed.
    ServerRejected = 1404,
    InvalidReply = 1405, // the reply can't be decoded
    AttemptMismatch = 1406, // the reply carries the id of another attempt
    ServerBusy = 1407, // the server stated that it did not run the call, for example by status 429 or 503
    WrongInstance = 1408, // the call is for one instance of a backend server, but another instance answers at its address
    InputsGone = 1409, // the stage needs results of earlier stages, and these results no longer exist
    // 15xx: journal of non-idempotent requests
    KeyReused = 1501, // the idempotency key was used before with another body
    KeyInProgress = 1502, // another attempt with this idempotency key is still running
    KeyOutcomeUnknown = 1503, // an earlier attempt with this idempotency key was started and its outcome is unknown
    ReservationLost = 1504, // another node or attempt has taken over the idempotency key that this attempt had reserved in the journal
    // 16xx: configuration
    InvalidConfiguration = 1601, // the configuration would break a rule; Error::detail lists the violations
    RevisionConflict = 1602, // another change was accepted first, or the expected revision is no longer in force
    UnknownPreset = 1603, // the configuration has no preset of this name
    UnknownEntry = 1604, // the configuration has no entry of this kind and name
    // 17xx: the platform's storage: tables and objects (vanillanotchd), tables with a change feed, which returns the changes after a
    // version (vanillanotch-entryd)
    PlatformUnavailable = 1701, // a read got no reply, repeated attempts failed, or a single write could not be sent
    // Nothing was changed: a conditional write found the row at another version than expected, an insert found an object of the same name, or a model
    // engine refused an order because it has already received one with a higher fencing number. Each node that takes over the sending of orders
    // gets a higher number than the nodes before it, so the refused order came from a node that has been replaced.
    ConditionFailed = 1702,
    PlatformAnswerLost = 1703, // the reply was lost or has an unexpected status such as a 5xx: a write may or may not have taken effect
    ObjectNotFound = 1704, // the object store has no object of this name
    PlatformReplyInvalid = 1705, // the platform's reply or the stored data can't be decoded
    // 18xx: a node's settings and the command line
    InvalidSettings = 1801, // the settings file has an invalid value
    FileUnreadable = 1802, // a file can't be opened or read
    InvalidArgument = 1803, // a command-line argument is missing or invalid
    ListenFailed = 1804, // the node can't listen at a configured address
    // 17xx, continued: tables with a change feed
    StoreHistoryGone = 1706, // the change feed no longer holds the version asked for; the whole table must be read again
    StoreRefused = 1707, // the store answered 429 or 503: nothing was done
    DocumentInvalid = 1708, // a row or document can't be decoded
    // 19xx: other nodes (peers)
    PeerUnavailable = 1901, // the peer can't be reached or did not answer in time
    PeerRefused = 1902, // the peer did not accept this node's shared secret
};

std::string_view errorName(ErrorCode code); // for example "malformed_request"; "unknown" for a value that isn't listed above

struct Error {
    ErrorCode code;
    std::string detail; // explanation for people, may be empty; must never hold API keys or text from callers' requests
};

template<typename T>
using Result = tl::expected<T, Error>;

// Returns an error from a function whose type is Result<T>: `return fail(ErrorCode::NotReady);`.
inline tl::unexpected<Error> fail(ErrorCode code, std::string detail = {})
{
    return tl::unexpected<Error>(Error{code, std::move(detail)});
}

//-----------------------------------------------------------------------------
// [IDS]
//-----------------------------------------------------------------------------

std::string randomId(std::string_view prefix); // returns the prefix, '-' and 16 random hexadecimal digits
std::string sha256Hex(std::string_view data); // SHA-256 as 64 lower-case hexadecimal digits
bool equalConstantTime(std::string_view a, std::string_view b); // compares secrets: the time that it takes depends on their lengths only, not on their contents
double randomFraction(); // 0 to 1, evenly distributed; thread-safe
std::uint64_t stableHash(std::string_view data); // hash that is the same on every node and in every release; not cryptographic

//-----------------------------------------------------------------------------
// [TIME]
//-----------------------------------------------------------------------------

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Source of the current time. Tests use ManualClock, whose time moves only by advance().
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0; // monotonic
    virtual WallTime wallNow() const = 0; // calendar time, for records and logs only: it may be set back
};

class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

// A clock for tests. Both of its times begin one hour after their epoch, so that tests can subtract up to an hour, and move only by
// advance(). Thread-safe.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    void advance(Duration step);

private:
    std::atomic<std::int64_t> m_elapsed{std::chrono::nanoseconds(std::chrono::hours(1)).count()};
};

bool isValidUtf8(std::string_view text);
std::string formatWallTime(WallTime time); // ISO 8601 in UTC with milliseconds: "2024-05-01T12:00:00.000Z"
std::chrono::milliseconds toMilliseconds(Duration duration); // truncated towards zero

//-----------------------------------------------------------------------------
// [COUNTS]
//-----------------------------------------------------------------------------

// A shared object holds its own reference count: derive its class from RefCounted<Class> and hold it by Ref<Class>.
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

// The lock order. A thread that holds locks may take a further lock only if that lock's rank is higher than the ranks of all locks that
// the thread holds. The comment of each rank says which locks have this rank. No lock may be held across a call that leaves the process.
enum class LockRank : int {
    Configuration = 10, // ConfigurationTable: the snapshot in force and recent changes
    Deployment = 12, // DeploymentTable: the routes, services and API keys in force
    Members = 20, // MemberTable: the nodes of the system
    BackendServers = 30, // BackendServerTable: backend servers with their health and load
    Stages = 31, // StageScheduler: queues of waiting pieces (parts of the work of a stage), slots of instances
    Instances = 32, // InstanceTable: registered instances of services
    StageOwners = 33, // OwnerStageExecutor: plan and state of the owners, the nodes that schedule stages for others, and the work that waits there
    Placement = 34, // PlacementOwner: what is known of engines; OwnedPlacement: reports to be sent
    Accounts = 40, // AccountTable: rates and concurrency of client accounts
    Continuity = 45, // StreamVersions: software versions of services, and streams that this node has begun
    Requests = 50, // RequestTable, ForwardService: requests in flight
    Estimates = 60, // measured times, retry budgets and deadlines: StageEstimates, RetryPolicy, ServiceRetryBudget, EngineTimeEstimator, StatedDeadlines
    Suspects = 65, // SuspectTable, CrashTable: requests that were running when backend servers crashed
    Duties = 67, // DutyLease: the lease on a duty (a duty is a task that one node at a time performs)
    Journal = 70, // journal rows that wait for a group commit; no lock has this rank at present
    Costs = 75, // CostTable: costs of requests
    // TableCache: rows that this node passes on to other nodes. RelayedStore: which sources of a table have failed a short time ago.
    // StoreCrashLedger: rows that wait to be written.
    TableCaches = 76,
    Results = 78, // ResultReleaser: stage results to be released at their instances
    Connections = 80, // pools of idle connections, registered streams and sockets
    Storage = 85, // storage library: rows and objects in memory, the cached VM list
    Workers = 90, // queues of WorkerPool, GrowingPool and TimerQueue
    Metrics = 95, // MetricsRegistry: maps of counters, histograms and gauges
    Leaf = 99, // innermost locks, for example those of Latch and StageRun: no other lock is taken while one of them is held
};

// A mutex that checks the lock order. Aborts the process with a message on standard error when a thread locks it while it holds a
// lock of the same or a higher rank, or unlocks it before a lock that it took later.
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

// Aborts the process when the calling thread holds a RankedMutex. Call it where a call leaves the process or waits for other threads.
// `operation`: text for the message on standard error; says what the thread was about to do, for example "a connection is opened".
void assertNoLockHeld(const char *operation);

//-----------------------------------------------------------------------------
// [WORKERS]
//-----------------------------------------------------------------------------

// A fixed number of threads that take posted tasks in first-in, first-out order.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t workers);
    ~WorkerPool(); // runs the queued tasks, then joins the threads
    void post(std::function<void()> task);
    std::size_t queued() const; // tasks that wait for a thread

private:
    void run();

    mutable RankedMutex m_mutex{LockRank::Workers};
    std::condition_variable_any m_wake;
    std::deque<std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

// A thread pool that starts a thread whenever a task finds none idle, up to a limit: below the limit no task waits in the queue.
// Threads run until stop().
class GrowingPool
{
public:
    explicit GrowingPool(std::size_t limit); // most threads that run at the same time
    ~GrowingPool(); // calls stop()
    void post(std::function<void()> task); // never blocks; at the limit the task waits in the queue for a thread
    // Runs the queued tasks, then joins the threads. Call it before objects that the tasks use are destroyed. Tasks posted later may
    // never run.
    void stop();
    std::size_t threadCount() const; // threads started, whether busy or idle; 0 after stop()

private:
    void run();

    const std::size_t m_limit;
    mutable RankedMutex m_mutex{LockRank::Workers};
    std::condition_variable_any m_wake;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_idle = 0; // threads that wait for a task
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

// Lets a thread wait until `count` calls of countDown() have been made. The waiting thread and the threads that count down each hold the latch by Ref.
class Latch : public RefCounted<Latch>
{
public:
    explicit Latch(std::size_t count)
        : m_count(count)
    {
    }
    void countDown();
    bool wait(Duration timeout); // true: the count reached 0; false: the timeout passed first

private:
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_wake;
    std::size_t m_count;
};

// Runs tasks on a WorkerPool after a delay. The queue's own thread waits until the next task is due. Delays are measured by the steady
// clock, not by a Clock: ManualClock doesn't affect them.
class TimerQueue
{
public:
    explicit TimerQueue(WorkerPool &pool);
    ~TimerQueue(); // calls stop(), then joins the queue's own thread
    void after(Duration delay, std::function<void()> task); // runs the task once, after the delay; ignored after stop()
    // Runs the task after `interval`, and again `interval` after each run has ended, until stop().
    void every(Duration interval, std::function<void()> task);
    // Discards the tasks that aren't due yet. Tasks already posted to the pool still run, and one that has just come due may be posted
    // after the call has returned. Doesn't wait for any of them.
    void stop();

private:
    struct Timer {
        TimePoint due;
        std::function<void()> task;
    };
    struct DueLater {
        bool operator()(const Timer &a, const Timer &b) const
        {
            return a.due > b.due;
        }
    };
    void run();

    WorkerPool &m_pool;
    RankedMutex m_mutex{LockRank::Workers};
    std::condition_variable_any m_wake;
    std::priority_queue<Timer, std::vector<Timer>, DueLater> m_timers;
    bool m_stopping = false;
    std::thread m_thread;
};

//-----------------------------------------------------------------------------
// [METRICS]
//-----------------------------------------------------------------------------

// A number that only rises. Thread-safe.
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

// Counts durations in buckets whose upper bounds double from 0.25 ms to 16.4 s; the last bucket has no upper bound. Thread-safe.
class Histogram
{
public:
    static constexpr std::size_t BucketCount = 18;
    void record(Duration duration);
    std::uint64_t count() const;
    std::uint64_t bucket(std::size_t index) const; // durations counted in this bucket alone (not cumulative)
    Duration sum() const;
    static Duration upperBound(std::size_t index); // inclusive; Duration::max() for the last bucket
    // Returns the upper bound of the bucket that holds the quantile. `fraction`: 0 to 1, for example 0.5 for the median. Zero when nothing
    // was recorded; Duration::max() when the quantile lies in the last bucket.
    Duration quantile(double fraction) const;

private:
    std::array<std::atomic<std::uint64_t>, BucketCount> m_buckets{};
    std::atomic<std::int64_t> m_sum{0}; // nanoseconds
};

// Owns the metrics of one process. References to them stay valid as long as the registry exists. Thread-safe.
class MetricsRegistry
{
public:
    // Returns the metric of this name and these labels; creates it at the first call. labels: text such as `code="1301"`, without
    // braces; must never hold text from callers' requests.
    Counter &counter(const std::string &name, const std::string &labels = {});
    Histogram &histogram(const std::string &name, const std::string &labels = {});
    // Registers a gauge, or replaces the gauge of this name. renderText() calls `read` to get the current value. The name may include labels in
    // braces.
    void gauge(const std::string &name, std::function<double()> read);
    std::string renderText() const; // Prometheus text exposition format 0.0.4

private:
    mutable RankedMutex m_mutex{LockRank::Metrics};
    std::map<std::string, std::map<std::string, Counter>> m_counters; // by name, then by labels
    std::map<std::string, std::map<std::string, Histogram>> m_histograms; // by name, then by labels
    std::map<std::string, std::function<double()>> m_gauges; // by name with labels
};

//-----------------------------------------------------------------------------
// [LOGS]
//-----------------------------------------------------------------------------

enum class LogLevel { Debug, Info, Warning, Error };

// One key=value pair of a log line. Values are quoted and escaped where needed, so that no value can pass for another pair or line.
struct LogField {
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const char *value);
    LogField(std::string_view key, const std::string &value);
    LogField(std::string_view key, std::int64_t value);
    LogField(std::string_view key, std::uint64_t value);
    LogField(std::string_view key, int value);
    LogField(std::string_view key, unsigned value);
    LogField(std::string_view key, double value);
    LogField(std::string_view key, ErrorCode value); // written as its number
    LogField(std::string_view key, Duration value); // written in milliseconds, with decimals

    std::string m_text; // key=value, escaped
};

// Makes logEvent() write lines of this level and above to standard error. Each line names `node`. Call it once per process.
void initLog(LogLevel minimumLevel, const std::string &node);

// In place of initLog(): makes logEvent() collect lines in a buffer that a separate thread writes to standard output. Logging never
// waits for the output: lines that don't fit into the buffer are discarded and counted.
class BufferedLog
{
public:
    static constexpr std::size_t BufferBytes = 512 * 1024; // holds the lines of some seconds at full load

    BufferedLog(LogLevel minimumLevel, const std::string &node); // create only one per process
    ~BufferedLog(); // writes the lines still in the buffer
    BufferedLog(const BufferedLog &) = delete;
    BufferedLog &operator=(const BufferedLog &) = delete;
    std::uint64_t droppedLines() const; // lines discarded so far because the buffer was full

private:
    struct Sink;
    std::unique_ptr<Sink> m_sink;
};

// Writes one line: time, level, node, event, then the fields in the order given. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
// Returns the value as it stands in a log line: unchanged, or in quotes when it is empty or holds spaces, '=', '"', '\', control characters
// or bytes outside ASCII. Within the quotes '"' and '\' follow a backslash; control characters and bytes outside ASCII are written
// as \xNN.
std::string escapeLogValue(std::string_view value);

} // namespace vanillanotch
