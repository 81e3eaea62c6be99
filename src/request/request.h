// vanillanotch request library: the life of one request, from its admission to its answer or refusal.
//
// A node is one vanillanotch process. A request runs the stages of a pipeline in order; a stage is one step, run by a call to a backend server. A
// caller that repeats a request marks it as the same one by an idempotency key. A preset is a named set of tuning values; one is in force. An attempt is one
// call of a stage on one backend server. A checkpoint is the stored data of a request after a stage, from which another node can resume it. A request with a
// non-idempotent stage has a row in the journal, by which that stage is run at most once; the journal, answers and checkpoints are stored by the platform, a
// service outside this project that stores data for all nodes.
//
// Index of sections:
//   [CHANNEL]   BackendChannel: one call of one stage on one backend server
//   [ANSWERS]   Answer, Refusal, AnswerSink, AnswerCodec, AnswerStore
//   [REQUEST]   Request: the state of one request, and whether its calls were sent; AttemptRecord: one of its attempts
//   [TABLES]    RequestTable, SuspectTable, CostTable
//   [SERVICE]   RequestService: the entry point for front ends
//
// Rules this aggregate enforces:
//   - a reply is accepted only if it names the attempt, stage and request of the call that it answers;
//   - the outcome `not_run` is reported only when the request's own state shows that no byte of any stage call was sent;
//   - a non-idempotent stage is sent at most once, and only after its journal row is in the state `started`.
// A call that the server refused as busy, and so didn't execute, counts as not sent in these rules.
#pragma once

#include "account/account.h"
#include "base/base.h"
#include "configuration/configuration.h"
#include "fleet/fleet.h"
#include "journal/journal.h"
#include "pipeline/pipeline.h"

#include <boost/intrusive/list.hpp>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [CHANNEL]
//-----------------------------------------------------------------------------

struct StageCall {
    std::string request; // id of the request
    std::string attempt; // id of the attempt; the server echoes it in its reply
    std::string address; // of the backend server, IP:port
    const StageSpec *stage = nullptr;
    const StageData *data = nullptr; // input of the stage
    std::string idempotencyKey; // the caller's key, sent with the call of a non-idempotent stage; empty: the stage is idempotent
    TimePoint deadline{}; // for the whole call
    Duration firstByteTimeout{}; // timeout from sending the call to the first byte of the reply
    Duration tokenTimeout{}; // timeout between two tokens of a streamed reply
    bool freshConnection = false; // true: open a new connection instead of reusing an idle one
    unsigned resumeAfterTokens = 0; // generation: tokens that earlier attempts have delivered; the server continues after them; 0: none
};

struct StageReply {
    StageData data; // the call's data with the stage's result added; the text of a generation stage may be missing, as it went to the StageListener
    std::optional<Duration> serviceTime; // as reported by the server; nullopt: not reported
    std::optional<double> load; // as reported by the server: 0 idle, 1 full, above 1 queueing; nullopt: not reported
    bool leaving = false; // the server reports that it is about to stop
};

struct CallFailure {
    ErrorCode code = ErrorCode::ConnectFailed;
    // At least one byte of the call may have reached the server. False also when the server refused the call as busy, because it didn't execute it then.
    bool maybeSent = false;
    bool reusedConnection = false; // the call was sent on the connection of an earlier call, which the server may have closed meanwhile
    bool requestInvalid = false; // the server rejected the request itself as invalid, so that a retry can't succeed
    std::string detail;
    std::optional<double> load; // as reported by the server: 0 idle, 1 full, above 1 queueing; nullopt: not reported
    bool leaving = false; // the server reports that it is about to stop
};

// Receives the tokens of a running call from the BackendChannel, and tells it when to stop the call.
class StageListener
{
public:
    virtual ~StageListener() = default;
    virtual bool token(std::string_view text) = 0; // false: the caller has disconnected; stop the call
    virtual void flush() = 0; // passes the tokens received so far on to the caller; called before the channel waits for more
    virtual bool cancelled() = 0; // true: the caller no longer waits; polled during the call
    virtual int callerSocket() const = 0; // file descriptor that is watched for a disconnect; -1: none
};

// Calls stages on backend servers. Thread-safe.
class BackendChannel
{
public:
    virtual ~BackendChannel() = default;
    // Blocks until the reply is complete or the call has failed. The tokens of a generation stage go to `listener` as they arrive.
    virtual tl::expected<StageReply, CallFailure> call(const StageCall &call, StageListener &listener) = 0;
    // Tries to open a new connection to the address of a backend server. False: the connection is refused or reset at once. True otherwise, also after a
    // timeout, because that doesn't prove that nothing listens at the address.
    virtual bool acceptsConnections(const std::string &address) = 0;
    // Closes the idle connections to a server after one of its calls timed out, because calls on them might stall as well.
    virtual void discardIdleConnections(const std::string &address) = 0;
    virtual void closeExpiredConnections() = 0; // closes connections that have been idle for longer than a limit set by the implementation; called periodically
};

//-----------------------------------------------------------------------------
// [ANSWERS]
//-----------------------------------------------------------------------------

// What a refused caller can know about the effect of its request.
//   NotRun: no stage call was sent.
//   OutcomeUnknown: it isn't known whether the non-idempotent stage took effect, or another request with the same idempotency key may be
//     running or may have run.
//   Failed: a stage call was possibly sent, but none of the non-idempotent stage; or the request ended because the server of some stage replied
//     with an error (ErrorCode::ServerRejected). Refusal::effectPossible tells whether the non-idempotent stage was possibly sent.
enum class RefusalOutcome { NotRun, OutcomeUnknown, Failed };
std::string_view outcomeName(RefusalOutcome outcome);

struct Refusal {
    ErrorCode code = ErrorCode::NotReady;
    RefusalOutcome outcome = RefusalOutcome::NotRun;
    bool effectPossible = false; // true: a call of the non-idempotent stage was possibly sent, by this request or by another one with its key
    std::string detail; // explanation for the caller; may be empty
    std::string request; // id; empty: the request was refused before it got one
};

struct StageReport {
    std::string stage;
    std::string server; // name of the backend server that ran the stage successfully
    int attempts = 0; // number of attempts made, the first one included
    Duration time{}; // of the whole stage, including queueing and retries
    double cost = 0; // in cost units: service time of the successful attempt in seconds x BackendServerSpec::pricePerSecond
};

struct Answer {
    std::string request;
    std::string pipeline;
    Revision revision = 0;
    std::string preset; // name of the preset in force
    StageData data; // the input and the results of all stages
    std::vector<StageReport> stages;
    Duration time{}; // from the arrival of the request until its last stage has finished
    bool repeated = false; // true: this is the recorded answer of another request with the same idempotency key

    double cost() const; // sum over all stages, in cost units
};

// Receives tokens while a backend server generates them, to stream them to the caller. RequestService::serve() also returns the complete
// answer at the end.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual bool token(std::string_view text) = 0; // false: the caller has disconnected
    virtual void flush() = 0; // sends the tokens received so far to the caller; called when the next token hasn't arrived yet
    virtual bool callerDisconnected() = 0; // true: the caller has disconnected
    virtual int callerSocket() const = 0; // file descriptor that is watched for a disconnect; -1: none
};

// Encodes answers for storage on the platform, and decodes them.
class AnswerCodec
{
public:
    virtual ~AnswerCodec() = default;
    virtual std::string encodeAnswer(const Answer &answer) const = 0;
    virtual Result<Answer> decodeAnswer(const std::string &bytes) const = 0;
};

struct RecordedAnswer {
    std::string bodyDigest; // SHA-256 of pipeline name and input, hexadecimal
    std::string answer; // encoded by AnswerCodec
};

// A checkpoint of a request, so that another node can resume it.
struct StageCheckpoint {
    std::string bodyDigest; // SHA-256 of pipeline name and input, hexadecimal
    std::size_t stagesDone = 0; // number of stages, from the pipeline's first on, that have finished
    StageData data; // the request's data after these stages
};

// Stores answers and checkpoints outside this node, so that they survive it. Keyed by client account and idempotency key.
class AnswerStore
{
public:
    virtual ~AnswerStore() = default;
    virtual Result<std::optional<RecordedAnswer>> findAnswer(const JournalKey &key) = 0;
    // Records the answer unless one is recorded for the key already. Returns the one that is recorded now, which may be another request's.
    virtual Result<RecordedAnswer> recordAnswer(const JournalKey &key, const RecordedAnswer &answer) = 0;
    virtual Result<std::optional<StageCheckpoint>> findCheckpoint(const JournalKey &key) = 0;
    virtual Result<void> saveCheckpoint(const JournalKey &key, const StageCheckpoint &checkpoint) = 0;
};

//-----------------------------------------------------------------------------
// [REQUEST]
//-----------------------------------------------------------------------------

enum class RequestState { Admitted, Running, Finished, Refused };
std::string_view requestStateName(RequestState state);

struct AttemptRecord {
    std::string id;
    std::string stage;
    std::string server;
    std::string verdict; // "running", "ok" (the call succeeded) or the name of the error code with which the call failed
    Duration startedAfter{}; // from the request's arrival to the start of the attempt
    Duration time{}; // how long the attempt took; zero while it runs
};

struct RequestView {
    std::string id;
    std::string account;
    std::string pipeline;
    Revision revision = 0;
    std::string preset;
    RequestState state = RequestState::Admitted;
    std::string error; // name of the refusal's error code; empty: not refused
    Duration age{}; // since the request arrived
    Duration remaining{}; // until the request's deadline; negative: the deadline has passed
    std::vector<AttemptRecord> attempts;
};

// An admitted request. Thread-safe, because view() is called for operators while the request runs.
class Request : public RefCounted<Request>, public boost::intrusive::list_base_hook<>
{
public:
    Request(std::string id, ConfigurationRef configuration, const PipelineSpec &pipeline, std::string account, TimePoint arrived, TimePoint deadline);

    const std::string &id() const
    {
        return m_id;
    }
    const Configuration &configuration() const // the one in force when the request was admitted; the request uses it until it has ended
    {
        return *m_configuration;
    }
    const PipelineSpec &pipeline() const
    {
        return m_pipeline;
    }
    const std::string &account() const
    {
        return m_account;
    }
    TimePoint arrived() const
    {
        return m_arrived;
    }
    TimePoint deadline() const
    {
        return m_deadline;
    }

    std::string beginAttempt(const StageSpec &stage, const std::string &server, TimePoint now); // returns the id of the attempt
    // Ends the attempt that was begun last. `maybeSent`: a byte of the call may have left this node. `verdict`: the error of the call; nullopt: it succeeded.
    void endAttempt(const StageSpec &stage, bool maybeSent, std::optional<ErrorCode> verdict, TimePoint now);
    void finish();
    bool nonIdempotentSent() const; // true: a call of the non-idempotent stage may have left this node
    // Marks the request as refused, and returns the refusal. Only this function decides Refusal::outcome (not_run, outcome_unknown or failed) of an
    // admitted request.
    Refusal refuse(ErrorCode code, std::string detail);
    RequestView view(TimePoint now) const;

private:
    const std::string m_id;
    const ConfigurationRef m_configuration;
    const PipelineSpec m_pipeline;
    const std::string m_account;
    const TimePoint m_arrived;
    const TimePoint m_deadline;
    mutable RankedMutex m_mutex{LockRank::Leaf};
    RequestState m_state = RequestState::Admitted;
    std::optional<ErrorCode> m_error;
    bool m_anySent = false; // a byte of any stage call may have left this node
    bool m_nonIdempotentSent = false; // a byte of the non-idempotent stage's call may have left this node
    std::vector<AttemptRecord> m_attempts;
};

//-----------------------------------------------------------------------------
// [TABLES]
//-----------------------------------------------------------------------------

// The running requests of this node, and the most recently ended ones.
class RequestTable
{
public:
    static constexpr std::size_t MaxEndedRequests = 512; // number of ended requests that operators can still look up with the command `explain`

    ~RequestTable();
    void add(const Ref<Request> &request);
    void markEnded(const Ref<Request> &request);
    std::size_t runningCount() const;
    std::optional<RequestView> find(const std::string &id, TimePoint now) const;
    std::vector<RequestView> views(TimePoint now, std::size_t limit) const; // running ones first, then ended ones, newest first

private:
    mutable RankedMutex m_mutex{LockRank::Requests};
    boost::intrusive::list<Request> m_running; // the table owns one reference to each
    std::deque<Ref<Request>> m_ended; // oldest first
};

// Suspects are requests that were in flight on a backend server when it crashed: they may have caused the crash. Requests of one client account
// with the same pipeline and input have the same fingerprint. If requests with one fingerprint were in flight on several servers that
// crashed, further requests with this fingerprint are refused for a while.
struct SuspectSettings {
    unsigned crashedServersToRefuse = 3; // requests with a fingerprint are refused once this many servers have crashed while running such a request
    std::chrono::milliseconds retention{60000}; // from the last crash with such a request in flight until the suspect expires
};

// One suspect, as the nodes send it to each other.
struct SuspectMark {
    std::string fingerprint; // digest of client account, pipeline and input
    std::set<std::string> servers; // backend servers that crashed while a request with this fingerprint was in flight on them
    std::chrono::milliseconds remaining{0}; // time until the suspect expires
};

// The suspects that this node knows. Thread-safe.
class SuspectTable
{
public:
    SuspectTable(const Clock &clock, SuspectSettings settings = {});
    bool refuses(const std::string &fingerprint) const; // true: requests with this fingerprint are refused now
    bool isSuspect(const std::string &fingerprint) const; // true: at least one server crashed while running such a request
    void recordServerCrash(const std::string &fingerprint, const std::string &server); // adds the server, which crashed while running such a request
    // Removes the suspect. Called when a request with this fingerprint has finished, which shows that such a request needn't crash a server.
    void remove(const std::string &fingerprint);
    void merge(const std::vector<SuspectMark> &marks); // adds suspects that were received from peers; doesn't call the listener
    std::vector<SuspectMark> marks() const; // all that have not expired
    // Sets a function that recordServerCrash() calls, without a lock held, when it has made a new suspect or added a server to a known one. Call
    // this once, before the table is used.
    void setMarkListener(std::function<void(const SuspectMark &)> listener);

private:
    struct Suspect {
        std::set<std::string> servers;
        TimePoint expiresAt{};
    };
    // Adds the servers to the suspect with this fingerprint, and makes it expire at `expiresAt` or later; creates it if there is none. Returns it if a
    // server was new, otherwise nullopt. Also removes expired suspects. Call with m_mutex held.
    std::optional<SuspectMark> markLocked(const std::string &fingerprint, const std::set<std::string> &servers, TimePoint expiresAt);

    const Clock &m_clock;
    SuspectSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Suspects};
    std::map<std::string, Suspect> m_suspects; // by fingerprint
    std::function<void(const SuspectMark &)> m_listener;
};

struct CostRow {
    std::string pipeline;
    std::string stage;
    std::uint64_t runs = 0; // finished runs of the stage; retries aren't counted
    double cost = 0; // sum over these runs, in cost units
    Duration time{}; // sum over these runs, including queueing and retries
};

// How many requests of a pipeline met their deadline.
struct AttainmentRow {
    std::string pipeline;
    std::uint64_t finished = 0; // requests answered within the deadline
    std::uint64_t late = 0; // requests answered after the deadline
    // Requests that were refused after admission for any reason, or at admission with an error code whose number is that of ErrorCode::NotReady or
    // higher. Lower numbers stand for faults of the caller's request, which aren't counted.
    std::uint64_t refused = 0;
};

// Sums the costs and times of stages, and counts requests by how they ended, since the start of this node. Thread-safe.
class CostTable
{
public:
    void addStage(const std::string &pipeline, const std::string &stage, double cost, Duration time);
    // Counts a request that has ended. `finished`: the request was answered. `inTime`: that was within the request's deadline.
    void addRequest(const std::string &pipeline, bool finished, bool inTime);
    std::vector<CostRow> costs() const;
    std::vector<AttainmentRow> attainment() const;

private:
    mutable RankedMutex m_mutex{LockRank::Costs};
    std::map<std::pair<std::string, std::string>, CostRow> m_costs; // by pipeline and stage
    std::map<std::string, AttainmentRow> m_attainment; // by pipeline
};

//-----------------------------------------------------------------------------
// [SERVICE]
//-----------------------------------------------------------------------------

// A caller's request as a front end has decoded it, not checked yet.
struct Submission {
    std::string apiKey; // empty: none given
    std::string pipeline;
    std::string input;
    std::string idempotencyKey; // empty: none given
    // Time from the request's arrival until its answer is due. nullopt: none given; such a submission is refused.
    std::optional<std::chrono::milliseconds> deadline;
};

struct RequestSettings {
    std::chrono::milliseconds minFirstByteTimeout{400}; // lower bound of the timeout for the first byte of a server's reply
    std::chrono::milliseconds tokenTimeout{2000}; // timeout between two tokens of a streamed reply
    std::chrono::milliseconds minTimeLeft{2}; // no attempt is begun when less time than this is left until the request's deadline; the request is refused then
    std::size_t maxKeyLength = 128; // longest idempotency key, in characters
};

// Everything that the execution of requests depends on; the daemon creates it once.
struct RequestDependencies {
    const Clock &clock;
    ConfigurationTable &configurations;
    BackendServerTable &servers;
    AccountTable &accounts;
    StageEstimates &estimates;
    AdmissionPolicy &admission;
    RetryPolicy &retries;
    Journal &journal;
    AnswerStore &answers;
    AnswerCodec &codec;
    BackendChannel &channel;
    RequestTable &requests;
    SuspectTable &suspects;
    CostTable &costs;
    MetricsRegistry &metrics;
    WorkerPool &workers;
};

// Admits callers' requests, runs them and returns their answers or refusals. Thread-safe.
class RequestService
{
public:
    // accountShare: called at each admission; returns this node's part of each client account's rate, 0 to 1.
    RequestService(RequestDependencies dependencies, RequestSettings settings, std::function<double()> accountShare);
    // Admits the submission and runs it on the calling thread until its answer or refusal.
    tl::expected<Answer, Refusal> serve(const Submission &submission, AnswerSink &sink);
    void beginLeaving(); // makes leaving() true, so that the node reports itself as not ready; new submissions are still served
    void beginShutdown(); // new submissions are refused; running requests continue
    bool leaving() const; // true once beginLeaving() or beginShutdown() was called

private:
    struct Admitted {
        Ref<Request> request;
        AccountPermit permit; // held until the request has ended
        std::string fingerprint; // key of the request in the suspect table
        std::string bodyDigest; // SHA-256 of pipeline name and input, hexadecimal
    };
    tl::expected<Admitted, Refusal> admit(const Submission &submission, TimePoint arrived);
    std::optional<Error> checkSubmission(const Submission &submission, const PipelineSpec &pipeline) const;
    bool deadlineAttainable(const Configuration &configuration, const PipelineSpec &pipeline, Duration remaining) const;
    void recordEnd(const Request &request, bool finished); // records the ended request in the cost table, the metrics and the log; false: refused

    RequestDependencies m_dependencies;
    RequestSettings m_settings;
    std::function<double()> m_accountShare;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_shuttingDown{false};
};

} // namespace vanillanotch
