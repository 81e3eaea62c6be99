// Index of sections: [NAMES] [REQUEST] [TABLES]
#include "request/request.h"

#include <algorithm>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [NAMES]
//-----------------------------------------------------------------------------

std::string_view outcomeName(RefusalOutcome outcome)
{
    switch (outcome) {
    case RefusalOutcome::NotRun:
        return "not_run";
    case RefusalOutcome::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalOutcome::Failed:
        return "failed";
    }
    return "unknown";
}

std::string_view requestStateName(RequestState state)
{
    switch (state) {
    case RequestState::Admitted:
        return "admitted";
    case RequestState::Running:
        return "running";
    case RequestState::Finished:
        return "finished";
    case RequestState::Refused:
        return "refused";
    }
    return "unknown";
}

double Answer::cost() const
{
    double sum = 0;
    for (const StageReport &stage : stages) {
        sum += stage.cost;
    }
    return sum;
}

//-----------------------------------------------------------------------------
// [REQUEST]
//-----------------------------------------------------------------------------

Request::Request(std::string id, ConfigurationRef configuration, const PipelineSpec &pipeline, std::string account, TimePoint arrived, TimePoint deadline)
    : m_id(std::move(id))
    , m_configuration(std::move(configuration))
    , m_pipeline(pipeline)
    , m_account(std::move(account))
    , m_arrived(arrived)
    , m_deadline(deadline)
{
}

std::string Request::beginAttempt(const StageSpec &stage, const std::string &server, TimePoint now)
{
    const Lock lock(m_mutex);
    m_state = RequestState::Running;
    AttemptRecord attempt;
    attempt.id = m_id + "." + std::to_string(m_attempts.size() + 1);
    attempt.stage = stage.name;
    attempt.server = server;
    attempt.verdict = "running";
    attempt.startedAfter = now - m_arrived;
    m_attempts.push_back(attempt);
    return attempt.id;
}

void Request::endAttempt(const StageSpec &stage, bool maybeSent, std::optional<ErrorCode> verdict, TimePoint now)
{
    const Lock lock(m_mutex);
    m_anySent = m_anySent || maybeSent;
    m_nonIdempotentSent = m_nonIdempotentSent || (maybeSent && !stage.idempotent);
    AttemptRecord &attempt = m_attempts.back();
    attempt.verdict = verdict ? std::string(errorName(*verdict)) : "ok";
    attempt.time = now - m_arrived - attempt.startedAfter;
}

void Request::finish()
{
    const Lock lock(m_mutex);
    m_state = RequestState::Finished;
}

bool Request::nonIdempotentSent() const
{
    const Lock lock(m_mutex);
    return m_nonIdempotentSent;
}

Refusal Request::refuse(ErrorCode code, std::string detail)
{
    const Lock lock(m_mutex);
    m_state = RequestState::Refused;
    m_error = code;
    Refusal refusal;
    refusal.code = code;
    refusal.detail = std::move(detail);
    refusal.request = m_id;
    refusal.effectPossible = m_nonIdempotentSent;
    // ServerRejected: the server replied to the call with an error status, so it is known that the stage failed.
    const bool serverReplied = code == ErrorCode::ServerRejected;
    // Another request with the same idempotency key may run or have run.
    const bool mayRunElsewhere = code == ErrorCode::KeyInProgress || code == ErrorCode::KeyOutcomeUnknown || code == ErrorCode::ReservationLost;
    if (mayRunElsewhere) {
        refusal.outcome = RefusalOutcome::OutcomeUnknown;
        refusal.effectPossible = true;
    } else if (!m_anySent) {
        refusal.outcome = RefusalOutcome::NotRun;
    } else if (m_nonIdempotentSent && !serverReplied) {
        refusal.outcome = RefusalOutcome::OutcomeUnknown;
    } else {
        refusal.outcome = RefusalOutcome::Failed;
    }
    return refusal;
}

RequestView Request::view(TimePoint now) const
{
    const Lock lock(m_mutex);
    RequestView view;
    view.id = m_id;
    view.account = m_account;
    view.pipeline = m_pipeline.name;
    view.revision = m_configuration->revision();
    view.preset = m_configuration->preset().name;
    view.state = m_state;
    view.error = m_error ? std::string(errorName(*m_error)) : std::string();
    view.age = now - m_arrived;
    view.remaining = m_deadline - now;
    view.attempts = m_attempts;
    return view;
}

//-----------------------------------------------------------------------------
// [TABLES]
//-----------------------------------------------------------------------------

RequestTable::~RequestTable()
{
    while (!m_running.empty()) {
        Request &request = m_running.front();
        m_running.pop_front();
        intrusive_ptr_release(&request);
    }
}

void RequestTable::add(const Ref<Request> &request)
{
    const Lock lock(m_mutex);
    intrusive_ptr_add_ref(request.get());
    m_running.push_back(*request);
}

void RequestTable::markEnded(const Ref<Request> &request)
{
    const Lock lock(m_mutex);
    m_running.erase(m_running.iterator_to(*request));
    intrusive_ptr_release(request.get()); // the table's reference; the caller holds another one
    m_ended.push_back(request);
    if (m_ended.size() > MaxEndedRequests) {
        m_ended.pop_front();
    }
}

std::size_t RequestTable::runningCount() const
{
    const Lock lock(m_mutex);
    return m_running.size();
}

std::optional<RequestView> RequestTable::find(const std::string &id, TimePoint now) const
{
    const Lock lock(m_mutex);
    for (const Request &request : m_running) {
        if (request.id() == id) {
            return request.view(now);
        }
    }
    for (const Ref<Request> &request : m_ended) {
        if (request->id() == id) {
            return request->view(now);
        }
    }
    return std::nullopt;
}

std::vector<RequestView> RequestTable::views(TimePoint now, std::size_t limit) const
{
    const Lock lock(m_mutex);
    std::vector<RequestView> views;
    for (const Request &request : m_running) {
        if (views.size() < limit) {
            views.push_back(request.view(now));
        }
    }
    for (auto it = m_ended.rbegin(); it != m_ended.rend() && views.size() < limit; ++it) {
        views.push_back((*it)->view(now));
    }
    return views;
}

SuspectTable::SuspectTable(const Clock &clock, SuspectSettings settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

bool SuspectTable::refuses(const std::string &fingerprint) const
{
    const Lock lock(m_mutex);
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && m_clock.now() < found->second.expiresAt && found->second.servers.size() >= m_settings.crashedServersToRefuse;
}

bool SuspectTable::isSuspect(const std::string &fingerprint) const
{
    const Lock lock(m_mutex);
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && m_clock.now() < found->second.expiresAt;
}

std::optional<SuspectMark> SuspectTable::markLocked(const std::string &fingerprint, const std::set<std::string> &servers, TimePoint expiresAt)
{
    const TimePoint now = m_clock.now();
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        it = it->second.expiresAt <= now ? m_suspects.erase(it) : std::next(it);
    }
    Suspect &suspect = m_suspects[fingerprint];
    const std::size_t before = suspect.servers.size();
    suspect.servers.insert(servers.begin(), servers.end());
    suspect.expiresAt = std::max(suspect.expiresAt, expiresAt);
    if (suspect.servers.size() == before) {
        return std::nullopt;
    }
    return SuspectMark{fingerprint, suspect.servers, toMilliseconds(suspect.expiresAt - now)};
}

void SuspectTable::recordServerCrash(const std::string &fingerprint, const std::string &server)
{
    std::optional<SuspectMark> mark;
    {
        const Lock lock(m_mutex);
        mark = markLocked(fingerprint, {server}, m_clock.now() + m_settings.retention);
    }
    if (mark && m_listener) {
        m_listener(*mark);
    }
}

void SuspectTable::remove(const std::string &fingerprint)
{
    const Lock lock(m_mutex);
    m_suspects.erase(fingerprint);
}

void SuspectTable::merge(const std::vector<SuspectMark> &marks)
{
    const Lock lock(m_mutex);
    for (const SuspectMark &mark : marks) {
        const std::chrono::milliseconds remaining = std::min(mark.remaining, m_settings.retention);
        markLocked(mark.fingerprint, mark.servers, m_clock.now() + remaining);
    }
}

std::vector<SuspectMark> SuspectTable::marks() const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<SuspectMark> marks;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (suspect.expiresAt > now) {
            marks.push_back(SuspectMark{fingerprint, suspect.servers, toMilliseconds(suspect.expiresAt - now)});
        }
    }
    return marks;
}

void SuspectTable::setMarkListener(std::function<void(const SuspectMark &)> listener)
{
    m_listener = std::move(listener);
}

void CostTable::addStage(const std::string &pipeline, const std::string &stage, double cost, Duration time)
{
    const Lock lock(m_mutex);
    CostRow &row = m_costs[{pipeline, stage}];
    row.pipeline = pipeline;
    row.stage = stage;
    ++row.runs;
    row.cost += cost;
    row.time += time;
}

void CostTable::addRequest(const std::string &pipeline, bool finished, bool inTime)
{
    const Lock lock(m_mutex);
    AttainmentRow &row = m_attainment[pipeline];
    row.pipeline = pipeline;
    if (!finished) {
        ++row.refused;
    } else if (inTime) {
        ++row.finished;
    } else {
        ++row.late;
    }
}

std::vector<CostRow> CostTable::costs() const
{
    const Lock lock(m_mutex);
    std::vector<CostRow> rows;
    for (const auto &[key, row] : m_costs) {
        rows.push_back(row);
    }
    return rows;
}

std::vector<AttainmentRow> CostTable::attainment() const
{
    const Lock lock(m_mutex);
    std::vector<AttainmentRow> rows;
    for (const auto &[name, row] : m_attainment) {
        rows.push_back(row);
    }
    return rows;
}

} // namespace vanillanotch
