// The stages of a forwarded request: when each one starts, which data centre it prefers, when its results are released.
#include "forwarding/run.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
// Size in bytes from which on the result of one piece counts as large; an instance can store a few dozen results of this size.
constexpr std::size_t LargeResult = 500'000;
} // namespace

ForwardRun::StepResult ForwardRun::runStages()
{
    if (m_route->stages.empty()) {
        m_stagesDoneAt = m_dependencies.clock.now();
        return {};
    }
    m_stages.assign(m_route->stages.size(), StageState{});
    m_crashTrait = allTraits().whole;
    choosePreferredDataCentre();
    if (wouldBeLate()) {
        return fail(ErrorCode::Overloaded);
    }
    for (;;) {
        submitReady();
        const bool done = std::all_of(m_stages.begin(), m_stages.end(), [](const StageState &stage) {
            return stage.done;
        });
        if (done) {
            m_stagesDoneAt = m_dependencies.clock.now();
            return {};
        }
        if (auto raised = awaitSignal(*m_progress, m_exchange, m_deadline); !raised) {
            return raised;
        }
        if (m_refuseWaiting) {
            return fail(ErrorCode::ShuttingDown);
        }
        if (auto collected = collectResults(); !collected) {
            return collected;
        }
    }
}

// Prefers the data centre of the engine that will probably be chosen: the engine reads the results, and large results are costly to
// transfer.
void ForwardRun::choosePreferredDataCentre()
{
    if (asksOwner()) {
        m_preferredDataCentre = engineDataCentre();
        return;
    }
    ChoiceInput input;
    input.service = m_service;
    input.affinity = m_affinity;
    input.scope = serverScope();
    if (const auto preferred = m_dependencies.instances.preview(input, m_dependencies.engineChoice)) {
        m_preferredDataCentre = preferred->dataCentre;
    }
}

std::vector<std::string> ForwardRun::handlesOf(const std::vector<std::size_t> &stages) const
{
    std::vector<std::string> handles;
    for (const std::size_t stage : stages) {
        const auto &own = m_stages.at(stage).handles;
        handles.insert(handles.end(), own.begin(), own.end());
    }
    return handles;
}

bool ForwardRun::hasSuccessor(std::size_t stage) const
{
    return std::any_of(m_route->stages.begin(), m_route->stages.end(), [stage](const StageStep &step) {
        return std::find(step.dependsOn.begin(), step.dependsOn.end(), stage) != step.dependsOn.end();
    });
}

bool ForwardRun::mayStart(std::size_t stage) const
{
    const StageStep &step = m_route->stages[stage];
    const bool inputsDone = std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [this](std::size_t before) {
        return before < m_stages.size() && m_stages[before].done;
    });
    if (m_stages[stage].submitted || !inputsDone) {
        return false;
    }
    if (hasSuccessor(stage) || step.resultBytes < LargeResult) {
        return true;
    }
    // Large results that only the engine reads are made last: made earlier, they would occupy the result storage for longer. A stage with such
    // results therefore waits until all other stages have been submitted. Two stages with neither inputs nor successors don't wait for each
    // other, since neither would ever start.
    for (std::size_t other = 0; other < m_stages.size(); ++other) {
        if (!m_stages[other].submitted && other != stage && !(step.dependsOn.empty() && m_route->stages[other].dependsOn.empty() && !hasSuccessor(other))) {
            return false;
        }
    }
    return true;
}

// Declared time of one call with the pieces of the stage; counts at least a full batch. Zero for a stage without pieces.
Duration ForwardRun::declaredTime(std::size_t stage) const
{
    const ServiceSpec *service = m_deployment->service(m_route->stages[stage].service);
    const unsigned pieces = stage < m_request.pieces.size() ? m_request.pieces[stage] : 0;
    if (service == nullptr || !service->stage || pieces == 0) {
        return {};
    }
    return service->stage->fixedCallTime + service->stage->pieceTime * std::max<std::size_t>(pieces, service->stage->maxBatch);
}

// Declared time of the longest chain of stages that depend on `stage`. Assumes that each stage of the chain runs its pieces in one call.
Duration ForwardRun::timeOfSuccessors(std::size_t stage) const
{
    Duration longest{};
    for (std::size_t next = 0; next < m_stages.size(); ++next) {
        const auto &dependsOn = m_route->stages[next].dependsOn;
        if (std::find(dependsOn.begin(), dependsOn.end(), stage) != dependsOn.end()) {
            longest = std::max(longest, declaredTime(next) + timeOfSuccessors(next));
        }
    }
    return longest;
}

// Declared time of the longest chain of stages that `stage` depends on.
Duration ForwardRun::timeOfPredecessors(std::size_t stage) const
{
    Duration longest{};
    for (const std::size_t before : m_route->stages[stage].dependsOn) {
        if (before < stage) { // a configuration with a cycle has no first stage, and its requests end at their deadlines
            longest = std::max(longest, declaredTime(before) + timeOfPredecessors(before));
        }
    }
    return longest;
}

TimePoint ForwardRun::targetOf(std::size_t stage) const
{
    return m_target - timeOfSuccessors(stage) - m_dependencies.engineTimeEstimator.estimate(m_service, ownTokens()) - m_settings.engineMargin;
}

// True when the work that waits at the instances of some stage leaves too little time for this request.
bool ForwardRun::wouldBeLate() const
{
    std::vector<ChainStep> chain;
    std::vector<std::size_t> stages; // of the chain's steps
    for (std::size_t stage = 0; stage < m_stages.size(); ++stage) {
        const Duration own = declaredTime(stage);
        if (own > Duration::zero()) {
            const Duration wait = m_dependencies.stages.expectedWait(m_route->stages[stage].service, m_preferredDataCentre);
            chain.push_back(ChainStep{timeOfPredecessors(stage), wait, own, targetOf(stage)});
            stages.push_back(stage);
        }
    }
    const TimePoint now = m_dependencies.clock.now();
    const auto late = lateStep(chain, now, ShedSettings{});
    if (late) {
        logEvent(LogLevel::Info, "request.late_on_arrival",
                 {{"request", m_request.attemptId},
                  {"service", m_route->stages[stages[*late]].service},
                  {"data_centre", m_preferredDataCentre},
                  {"wait_ms", chain[*late].wait},
                  {"target_in_ms", chain[*late].target - now}});
        m_dependencies.metrics.counter("vanillanotch_late_on_arrival_total").add();
    }
    return late.has_value();
}

StageTask ForwardRun::taskFor(std::size_t stage, unsigned pieces) const
{
    const StageStep &step = m_route->stages[stage];
    StageTask task;
    task.request = m_request.attemptId;
    task.stage = stage;
    task.service = step.service;
    task.scope = m_scope;
    task.pieces = pieces;
    task.inputs = handlesOf(step.dependsOn);
    task.pieceKey = task.inputs.empty() ? m_request.pieceKey : std::string();
    task.resultBytes = step.resultBytes;
    task.target = targetOf(stage);
    task.deadline = m_deadline;
    task.priority = m_priority;
    task.endsChain = !task.inputs.empty() && !hasSuccessor(stage);
    task.crashTrait = m_crashTrait;
    task.isProbe = m_isProbe;
    if (task.inputs.empty()) {
        task.dataCentre = m_preferredDataCentre;
        task.crossDataCentreBytes = hasSuccessor(stage) ? 0 : pieces * step.resultBytes;
        return task;
    }
    // Every piece reads all inputs, so all of them are transferred for each piece.
    for (const std::size_t before : step.dependsOn) {
        task.crossDataCentreBytes += pieces * m_stages[before].handles.size() * m_route->stages[before].resultBytes;
    }
    // The stage prefers the data centre where its first input is stored; the places of the other inputs aren't considered.
    if (const auto producer = m_dependencies.instances.findByAddress(addressOfHandle(task.inputs.front()))) {
        task.dataCentre = producer->dataCentre;
    }
    return task;
}

void ForwardRun::submitReady()
{
    for (bool changed = true; changed;) {
        changed = false;
        for (std::size_t index = 0; index < m_stages.size(); ++index) {
            if (!mayStart(index)) {
                continue;
            }
            StageState &state = m_stages[index];
            state.submitted = true;
            changed = true; // a stage without pieces is done at once, so its successors may be ready now
            const unsigned pieces = index < m_request.pieces.size() ? m_request.pieces[index] : 0;
            state.done = pieces == 0;
            if (!state.done) {
                state.run = makeRef<StageRun>(taskFor(index, pieces), m_progress);
                m_dependencies.stages.submit(state.run);
            }
        }
    }
}

ForwardRun::StepResult ForwardRun::collectResults()
{
    for (StageState &state : m_stages) {
        if (state.done || !state.run) {
            continue;
        }
        const auto outcome = state.run->outcome();
        if (!outcome) {
            continue;
        }
        if (!*outcome) {
            return tl::unexpected(outcome->error());
        }
        state.handles = **outcome;
        state.done = true;
    }
    // Results are released as soon as all stages that read them are done, because storage for them is scarce.
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        bool hasReader = false;
        bool readerPending = false;
        for (std::size_t successor = 0; successor < m_stages.size(); ++successor) {
            const auto &after = m_route->stages[successor].dependsOn;
            if (std::find(after.begin(), after.end(), index) != after.end()) {
                hasReader = true;
                readerPending = readerPending || !m_stages[successor].done;
            }
        }
        if (hasReader && !readerPending && !m_stages[index].released) {
            m_stages[index].released = true;
            m_dependencies.unusedResults.release(m_stages[index].handles);
        }
    }
    return {};
}

std::vector<std::string> ForwardRun::finalHandles() const
{
    std::vector<std::size_t> last;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        if (!hasSuccessor(index)) {
            last.push_back(index);
        }
    }
    return handlesOf(last);
}

void ForwardRun::releaseResults()
{
    for (StageState &state : m_stages) {
        if (state.run && !state.done) {
            state.run->cancel();
        }
        if (!state.released && !state.handles.empty()) {
            m_dependencies.unusedResults.release(state.handles);
        }
        state.released = true;
    }
}

} // namespace vanillanotch
