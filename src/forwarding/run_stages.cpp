// The stages of a forwarded request: which may start, where they are wanted, when their results are freed.
#include "forwarding/run.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr std::size_t LargeResult = 500'000; // bytes of one piece; a server has room for a few dozen of these
} // namespace

ForwardRun::Step ForwardRun::runStages()
{
    if (m_route->stages.empty()) {
        m_stagesDone = m_parts.clock.now();
        return {};
    }
    m_stages.assign(m_route->stages.size(), StageState{});
    m_progress = makeRef<WakeupSignal>();
    planHome();
    for (;;) {
        submitReady();
        const bool done = std::all_of(m_stages.begin(), m_stages.end(), [](const StageState &stage) {
            return stage.done;
        });
        if (done) {
            m_stagesDone = m_parts.clock.now();
            return {};
        }
        if (auto raised = awaitSignal(*m_progress, m_exchange, m_deadline); !raised) {
            return raised;
        }
        if (auto collected = collect(); !collected) {
            return collected;
        }
    }
}

// Large results are wanted where the engine is that will read them.
void ForwardRun::planHome()
{
    ChoiceInput input;
    input.service = m_service;
    input.affinity = m_affinity;
    if (const auto home = m_parts.instances.preview(input, m_parts.engineChoice)) {
        m_homeDataCentre = home->dataCentre;
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

bool ForwardRun::isFollowed(std::size_t stage) const
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
    if (isFollowed(stage) || step.resultBytes < LargeResult) {
        return true;
    }
    // Large results that only the engine needs are made last: until then they would fill the room for results.
    for (std::size_t other = 0; other < m_stages.size(); ++other) {
        if (!m_stages[other].submitted && other != stage && !(step.dependsOn.empty() && m_route->stages[other].dependsOn.empty() && !isFollowed(other))) {
            return false;
        }
    }
    return true;
}

// Declared time of the longest chain of stages that follow.
Duration ForwardRun::timeAfter(std::size_t stage) const
{
    Duration longest{};
    for (std::size_t next = 0; next < m_stages.size(); ++next) {
        const StageStep &step = m_route->stages[next];
        if (std::find(step.dependsOn.begin(), step.dependsOn.end(), stage) == step.dependsOn.end()) {
            continue;
        }
        const ServiceSpec *service = m_deployment->service(step.service);
        const unsigned pieces = next < m_request.pieces.size() ? m_request.pieces[next] : 0;
        Duration own{};
        if (service != nullptr && service->stage && pieces > 0) {
            own = service->stage->fixedCallTime + service->stage->pieceTime * std::max<std::size_t>(pieces, service->stage->maxBatch);
        }
        longest = std::max(longest, own + timeAfter(next));
    }
    return longest;
}

StageTask ForwardRun::orderFor(std::size_t stage, unsigned pieces) const
{
    const StageStep &step = m_route->stages[stage];
    StageTask order;
    order.request = m_request.attemptId;
    order.stage = stage;
    order.service = step.service;
    order.pieces = pieces;
    order.inputs = handlesOf(step.dependsOn);
    order.pieceKey = order.inputs.empty() ? m_request.pieceKey : std::string();
    order.resultBytes = step.resultBytes;
    order.target = m_target - timeAfter(stage) - m_parts.engineTimes.estimate(m_service, ownTokens()) - m_settings.engineMargin;
    order.deadline = m_deadline;
    order.priority = m_priority;
    order.endsChain = !order.inputs.empty() && !isFollowed(stage);
    if (order.inputs.empty()) {
        order.dataCentre = m_homeDataCentre;
        order.crossDataCentreBytes = isFollowed(stage) ? 0 : pieces * step.resultBytes;
        return order;
    }
    // Every piece reads all inputs.
    for (const std::size_t before : step.dependsOn) {
        order.crossDataCentreBytes += pieces * m_stages[before].handles.size() * m_route->stages[before].resultBytes;
    }
    if (const auto maker = m_parts.instances.findByAddress(addressOfHandle(order.inputs.front()))) {
        order.dataCentre = maker->dataCentre;
    }
    return order;
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
            changed = true; // what waits for an omitted stage is ready too
            const unsigned pieces = index < m_request.pieces.size() ? m_request.pieces[index] : 0;
            state.done = pieces == 0;
            if (!state.done) {
                state.run = makeRef<StageRun>(orderFor(index, pieces), m_progress);
                m_parts.stages.submit(state.run);
            }
        }
    }
}

ForwardRun::Step ForwardRun::collect()
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
    // Results whose every user has ended are freed at once: room for them is scarce.
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        bool used = false;
        bool needed = false;
        for (std::size_t user = 0; user < m_stages.size(); ++user) {
            const auto &after = m_route->stages[user].dependsOn;
            if (std::find(after.begin(), after.end(), index) != after.end()) {
                used = true;
                needed = needed || !m_stages[user].done;
            }
        }
        if (used && !needed && !m_stages[index].released) {
            m_stages[index].released = true;
            m_parts.unusedResults.release(m_stages[index].handles);
        }
    }
    return {};
}

std::vector<std::string> ForwardRun::finalHandles() const
{
    std::vector<std::size_t> last;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        if (!isFollowed(index)) {
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
            m_parts.unusedResults.release(state.handles);
        }
        state.released = true;
    }
}

} // namespace vanillanotch
