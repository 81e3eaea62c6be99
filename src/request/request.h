// vanillanotch request library: one request from its admission to its answer or refusal.
//
// Index of sections:
//   [CHANNEL]   BackendChannel: one call of one stage on one backend server
//   [REQUEST]   Request, Attempt: the state machine; what was sent, whose answer is whose
//   [TABLES]    RequestTable, SuspectTable, CostTable
//   [ANSWERS]   Answer, Refusal, AnswerSink, AnswerCodec, KeptResults
//   [SERVICE]   RequestService: what a front end calls
//
// Rules this aggregate enforces:
//   - a reply is taken only for the attempt, stage and request that it names;
//   - `not_run` is said from the request's own state: no byte of any stage was sent;
//   - a non-idempotent stage is sent at most once, and only after the journal says `started`.
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
    std::string request; // id
    std::string attempt; // id, echoed by the server
    std::string address; // of the server, IP:port
    const StageSpec *stage = nullptr;
    const StageData *data = nullptr;
    std::string idempotencyKey; // empty: none
    TimePoint deadline{}; // for the whole call
    Duration firstByteTimeout{}; // bound until the reply begins
    Duration tokenTimeout{}; // bound between two tokens
    bool freshConnection = false;
    unsigned resumeTokens = 0; // generation: tokens that a former attempt has delivered
};

struct StageReply {
    StageData data; // the call's data with the stage's result added
    std::optional<Duration> serviceTime; // as the server reports it
    std::optional<double> load; // as the server reports it: 0 idle, 1 full, above 1 queueing
    bool leaving = false; // the server says that it is about to stop
};

struct CallFailure {
    ErrorCode code = ErrorCode::ConnectFailed;
    bool maybeSent = false; // at least one byte of the call may have reached the server
    bool reusedConnection = false; // the connection was a reused one, perhaps stale
    bool requestInvalid = false; // the server says that the request itself is wrong: no use in trying again
    std::string detail;
    std::optional<double> load;
    bool leaving = false; // the server says that it is about to stop
};

// What a call does with tokens, and when it must stop.
class StageListener
{
public:
    virtual ~StageListener() = default;
    virtual bool token(std::string_view text) = 0; // false: stop, the caller has gone
    virtual void flush() = 0; // no more tokens at hand
    virtual bool cancelled() = 0;
    virtual int callerSocket() const = 0; // -1: none
};

class BackendChannel
{
public:
    virtual ~BackendChannel() = default;
    virtual tl::expected<StageReply, CallFailure> call(const StageCall &call, StageListener &listener) = 0;
    virtual bool acceptsConnections(const std::string &address) = 0; // whether a new connection can be opened now, and stays open
    virtual void discardIdleConnections(const std::string &address) = 0; // after a stall: don't reuse idle connections
    virtual void closeExpiredConnections() = 0; // closes connections idle for too long; called now and then
};

//-----------------------------------------------------------------------------
// [ANSWERS]
//-----------------------------------------------------------------------------

enum class Outcome { NotRun, OutcomeUnknown, Failed };
std::string_view outcomeName(Outcome outcome);

struct Refusal {
    ErrorCode code = ErrorCode::NotReady;
    Outcome outcome = Outcome::NotRun;
    bool effectPossible = false; // the non-idempotent stage may have taken effect
    std::string detail;
    std::string request; // id; empty: refused before it had one
};

struct StageReport {
    std::string stage;
    std::string server;
    int attempts = 0;
    Duration time{}; // queueing and retries included
    double cost = 0; // price units
};

struct Answer {
    std::string request;
    std::string pipeline;
    Revision revision = 0;
    std::string preset;
    StageData data;
    std::vector<StageReport> stages;
    Duration time{};
    bool repeated = false; // recorded earlier and given again

    double cost() const;
};

// Where tokens go while the engine generates. The whole answer is returned besides.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual bool token(std::string_view text) = 0; // false: the caller has gone
    virtual void flush() = 0;
    virtual bool callerDisconnected() = 0;
    virtual int callerSocket() const = 0; // -1: none
};

// Turns answers and stage data into bytes that are kept on the platform.
class AnswerCodec
{
public:
    virtual ~AnswerCodec() = default;
    virtual std::string encodeAnswer(const Answer &answer) const = 0;
    virtual Result<Answer> decodeAnswer(const std::string &bytes) const = 0;
};

struct RecordedAnswer {
    std::string bodyDigest;
    std::string answer; // encoded
};

struct StageCheckpoint {
    std::string bodyDigest;
    std::size_t stagesDone = 0;
    StageData data; // after those stages
};

// Results that outlive a node, by client account and idempotency key.
class AnswerStore
{
public:
    virtual ~AnswerStore() = default;
    virtual Result<std::optional<RecordedAnswer>> findAnswer(const JournalKey &key) = 0;
    // The first one wins; the result is the one that is recorded now.
    virtual Result<RecordedAnswer> recordAnswer(const JournalKey &key, const RecordedAnswer &answer) = 0;
    virtual Result<std::optional<StageCheckpoint>> findCheckpoint(const JournalKey &key) = 0;
    virtual Result<void> saveCheckpoint(const JournalKey &key, const StageCheckpoint &result) = 0;
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
    std::string verdict; // "running", "ok" or an error's name
    Duration startedAfter{}; // since the request's arrival
    Duration time{};
};

struct RequestView {
    std::string id;
    std::string account;
    std::string pipeline;
    Revision revision = 0;
    std::string preset;
    RequestState state = RequestState::Admitted;
    std::string error; // name of the refusal's code
    Duration age{};
    Duration remaining{};
    std::vector<AttemptRecord> attempts;
};

class Request : public RefCounted<Request>, public boost::intrusive::list_base_hook<>
{
public:
    Request(std::string id, ConfigurationRef configuration, const PipelineSpec &pipeline, std::string account, TimePoint arrived, TimePoint deadline);

    const std::string &id() const
    {
        return m_id;
    }
    const Configuration &configuration() const // the one it was admitted under, to its end
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

    std::string beginAttempt(const StageSpec &stage, const std::string &server, TimePoint now);
    // `sent`: whether a byte may have left. `verdict`: nullopt for success.
    void endAttempt(const StageSpec &stage, bool sent, std::optional<ErrorCode> verdict, TimePoint now);
    void finish();
    bool nonIdempotentSent() const; // the non-idempotent stage left this node
    // The one place that decides between not_run, outcome_unknown and failed.
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
    bool m_anySent = false;
    bool m_effectSent = false;
    std::vector<AttemptRecord> m_attempts;
};

//-----------------------------------------------------------------------------
// [TABLES]
//-----------------------------------------------------------------------------

class RequestTable
{
public:
    static constexpr std::size_t MaxEndedRequests = 512; // for `explain`

    ~RequestTable();
    void add(const Ref<Request> &request);
    void markEnded(const Ref<Request> &request);
    std::size_t running() const;
    std::optional<RequestView> find(const std::string &id, TimePoint now) const;
    std::vector<RequestView> views(TimePoint now, std::size_t limit) const; // running first, then the newest ended

private:
    mutable RankedMutex m_mutex{LockRank::Requests};
    boost::intrusive::list<Request> m_running; // the table holds a count for each
    std::deque<Ref<Request>> m_ended;
};

// Requests that were in flight when a backend server died. A fingerprint seen at several deaths is refused for a while.
struct SuspectSettings {
    unsigned crashedServersToRefuse = 3; // servers that one fingerprint may cost
    std::chrono::milliseconds retention{60000};
};

struct SuspectMark {
    std::string fingerprint; // digest of client account and body
    std::set<std::string> servers; // that died with it in flight
    std::chrono::milliseconds remaining{0}; // how much longer the mark holds
};

class SuspectTable
{
public:
    SuspectTable(const Clock &clock, SuspectSettings settings = {});
    bool refuses(const std::string &fingerprint) const;
    bool isSuspect(const std::string &fingerprint) const;
    void recordServerCrash(const std::string &fingerprint, const std::string &server);
    void remove(const std::string &fingerprint); // it finished: it was innocent
    void merge(const std::vector<SuspectMark> &marks); // from peers
    std::vector<SuspectMark> marks() const;
    void setMarkListener(std::function<void(const SuspectMark &)> listener); // set once, before use

private:
    struct Suspect {
        std::set<std::string> servers;
        TimePoint until{};
    };
    std::optional<SuspectMark> markLocked(const std::string &fingerprint, const std::set<std::string> &servers, TimePoint until);

    const Clock &m_clock;
    SuspectSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Suspects};
    std::map<std::string, Suspect> m_suspects;
    std::function<void(const SuspectMark &)> m_listener;
};

struct CostRow {
    std::string pipeline;
    std::string stage;
    std::uint64_t calls = 0;
    double cost = 0; // price units
    Duration time{};
};

struct AttainmentRow {
    std::string pipeline;
    std::uint64_t finished = 0; // within the deadline
    std::uint64_t late = 0;
    std::uint64_t refused = 0; // after admission checks began, for any reason but the caller's
};

class CostTable
{
public:
    void addStage(const std::string &pipeline, const std::string &stage, double cost, Duration time);
    void addRequest(const std::string &pipeline, bool finished, bool inTime);
    std::vector<CostRow> costs() const;
    std::vector<AttainmentRow> attainment() const;

private:
    mutable RankedMutex m_mutex{LockRank::Costs};
    std::map<std::pair<std::string, std::string>, CostRow> m_costs;
    std::map<std::string, AttainmentRow> m_ends;
};

//-----------------------------------------------------------------------------
// [SERVICE]
//-----------------------------------------------------------------------------

struct Submission {
    std::string apiKey; // empty: none given
    std::string pipeline;
    std::string input;
    std::string idempotencyKey; // empty: none given
    std::optional<std::chrono::milliseconds> deadline; // asked for; nullopt: absent
};

struct RequestSettings {
    std::chrono::milliseconds minFirstByteTimeout{400}; // a server has at least this long to begin its reply
    std::chrono::milliseconds tokenTimeout{2000}; // between two tokens
    std::chrono::milliseconds minTimeLeft{2}; // no call is made with less time left
    std::size_t maxKeyLength = 128; // characters of an idempotency key
};

// Everything a request needs, wired once by the daemon.
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

class RequestService
{
public:
    RequestService(RequestDependencies parts, RequestSettings settings, std::function<double()> accountShare);
    tl::expected<Answer, Refusal> serve(const Submission &submission, AnswerSink &sink);
    void beginLeaving(); // not ready any more; submissions are still served
    void beginShutdown(); // new submissions are refused, running ones go on
    bool leaving() const; // from beginLeaving() on

private:
    struct Admitted {
        Ref<Request> request;
        AccountPermit permit;
        std::string fingerprint;
        std::string bodyDigest;
    };
    tl::expected<Admitted, Refusal> admit(const Submission &submission, TimePoint arrived);
    std::optional<Error> checkSubmission(const Submission &submission, const PipelineSpec &pipeline) const;
    bool deadlineAttainable(const Configuration &configuration, const PipelineSpec &pipeline, Duration remaining) const;
    void countEnd(const Request &request, bool finished);

    RequestDependencies m_parts;
    RequestSettings m_settings;
    std::function<double()> m_accountShare;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_shuttingDown{false};
};

} // namespace vanillanotch
