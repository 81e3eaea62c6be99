#include "stages/stages.h"

#include <algorithm>
#include <poll.h>

namespace vanillanotch
{

namespace
{
constexpr unsigned MaxBackoffDoublings = 3; // how often OwnerSettings::peerBackoff is doubled at most

// Ends the wait for a peer's answer when the run is cancelled.
class RunCancellation final : public CancellationWatch
{
public:
    explicit RunCancellation(StageRun &run)
        : m_run(run)
        , m_signal(run.cancelSignal())
    {
    }
    bool cancelled() const override
    {
        return m_run.cancelled();
    }
    void preparePoll(pollfd &entry) const override
    {
        entry.fd = m_signal->descriptor();
        entry.events = POLLIN;
        entry.revents = 0;
    }
    void checkPoll(const pollfd & /*entry*/) override
    {
    }

private:
    StageRun &m_run;
    Ref<WakeupSignal> m_signal;
};
} // namespace

OwnerStageExecutor::OwnerStageExecutor(StageDependencies dependencies, StageScheduler &local, StagePeerChannel &peers, MemberTable &members,
                                       StageAssignment assignment, OwnerSettings settings)
    : m_dependencies(dependencies)
    , m_local(local)
    , m_peers(peers)
    , m_members(members)
    , m_assignment(assignment)
    , m_settings(settings)
{
}

std::map<std::string, std::vector<std::vector<MemberRecord>>> planOwners(const std::vector<OwnedService> &services, const std::vector<MemberRecord> &members,
                                                                         std::size_t limit)
{
    std::map<std::string, std::vector<std::vector<MemberRecord>>> plan;
    std::map<std::string, std::size_t> owned; // by member name: groups that it is the first candidate of
    for (const OwnedService &service : services) {
        std::vector<std::vector<MemberRecord>> &groups = plan[service.name];
        for (std::size_t index = 0; index < service.groups; ++index) {
            const auto near = [&](const MemberRecord &member) {
                return std::binary_search(service.dataCentres.begin(), service.dataCentres.end(), member.dataCentre)
                    && instanceGroupOf(service.dataCentres, member.dataCentre, service.groups) == index;
            };
            struct Candidate {
                bool near = false;
                bool strong = false;
                double rank = 0;
                const MemberRecord *member = nullptr;
            };
            const std::string duty = "stages/" + service.name + "/" + std::to_string(index) + "/" + std::to_string(service.groups);
            std::vector<Candidate> candidates;
            double mostCores = 0;
            for (const MemberRecord &member : members) {
                if (member.state == MemberState::Alive) {
                    candidates.push_back(Candidate{near(member), false, dutyRank(member, duty), &member});
                    mostCores = std::max(mostCores, candidates.back().near ? member.cores : 0);
                }
            }
            for (Candidate &candidate : candidates) {
                candidate.strong = candidate.member->cores * 2 >= mostCores;
            }
            const auto before = [](const Candidate &a, const Candidate &b) {
                return std::make_tuple(a.near, a.strong, a.rank, a.member->name) > std::make_tuple(b.near, b.strong, b.rank, b.member->name);
            };
            // The member with the fewest groups goes first among the equally suitable ones.
            const auto first = std::min_element(candidates.begin(), candidates.end(), [&](const Candidate &a, const Candidate &b) {
                const auto suitability = [&owned](const Candidate &candidate) {
                    return std::make_tuple(!candidate.near, !candidate.strong, owned[candidate.member->name]);
                };
                return suitability(a) != suitability(b) ? suitability(a) < suitability(b) : before(a, b);
            });
            std::vector<MemberRecord> chosen;
            if (first != candidates.end()) {
                ++owned[first->member->name];
                std::iter_swap(candidates.begin(), first);
                const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(std::min(limit, candidates.size()));
                std::partial_sort(std::next(candidates.begin()), end, candidates.end(), before);
                std::transform(candidates.begin(), end, std::back_inserter(chosen), [](const Candidate &candidate) {
                    return *candidate.member;
                });
            }
            groups.push_back(std::move(chosen));
        }
    }
    return plan;
}

Ref<const OwnerStageExecutor::OwnerPlan> OwnerStageExecutor::currentPlan()
{
    const TimePoint now = m_dependencies.clock.now();
    {
        const Lock lock(m_mutex);
        if (m_plan && now - m_plan->madeAt < m_settings.planLifetime) {
            return m_plan;
        }
    }
    auto plan = makeRef<OwnerPlan>();
    plan->madeAt = now;
    std::vector<OwnedService> services;
    const DeploymentRef deployment = m_dependencies.deployments.current();
    for (const ServiceSpec &service : deployment ? deployment->services() : std::vector<ServiceSpec>()) {
        const InstanceListRef instances = m_dependencies.instances.usableInstances(service.name);
        if (!service.stage || instances->specs.empty()) {
            continue;
        }
        OwnedService owned{service.name, 1, instances->dataCentres};
        if (m_assignment == StageAssignment::OwnerGroups) {
            owned.groups = std::clamp<std::size_t>(instances->specs.size() / m_settings.instancesPerOwner, 1, owned.dataCentres.size());
        }
        services.push_back(std::move(owned));
    }
    std::sort(services.begin(), services.end(), [](const OwnedService &a, const OwnedService &b) {
        return a.name < b.name;
    });
    // After the stages' services, so that engines don't change which nodes own those.
    for (const ServiceSpec &service : deployment ? deployment->services() : std::vector<ServiceSpec>()) {
        if (const auto dataCentres = m_dependencies.instances.usableInstances(service.name)->dataCentres; service.engine && !dataCentres.empty()) {
            services.push_back(OwnedService{service.name, dataCentres.size(), dataCentres});
        }
    }
    plan->candidates = planOwners(services, m_members.all(), m_settings.maxOwners);
    for (OwnedService &service : services) {
        plan->services.emplace(service.name, std::move(service));
    }
    const Lock lock(m_mutex);
    m_plan = plan;
    return m_plan;
}

void OwnerStageExecutor::publishOwned()
{
    if (m_assignment == StageAssignment::EachNode || !m_dependencies.instances.needsOwners()) {
        return;
    }
    const Ref<const OwnerPlan> plan = currentPlan();
    const std::string self = m_members.self().name;
    std::map<std::string, std::set<std::string>> owned;
    for (const auto &[name, service] : plan->services) {
        for (const std::string &dataCentre : service.dataCentres) {
            const std::vector<MemberRecord> &candidates = plan->candidates.at(name).at(instanceGroupOf(service.dataCentres, dataCentre, service.groups));
            if (!candidates.empty() && candidates.front().name == self) {
                owned[name].insert(dataCentre);
            }
        }
    }
    m_dependencies.instances.setOwnedStages(std::move(owned));
}

std::size_t OwnerStageExecutor::pausedCandidates(const std::vector<MemberRecord> &candidates) const
{
    const TimePoint now = m_dependencies.clock.now();
    const Lock lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](const MemberRecord &member) {
        const auto found = m_peerStates.find(member.name);
        return found != m_peerStates.end() && now < found->second.pausedUntil;
    }));
}

InstanceGroup OwnerStageExecutor::preferredGroup(const OwnerPlan &plan, const std::string &service, const std::string &dataCentre) const
{
    InstanceGroup group;
    if (const auto found = plan.services.find(service); found != plan.services.end()) {
        group.count = found->second.groups;
        group.index = instanceGroupOf(found->second.dataCentres, dataCentre, group.count);
    }
    return group;
}

// The group of the data centre, or one where the task waits much less. When that can probably not be reached, the next one that can.
InstanceGroup OwnerStageExecutor::groupFor(const std::string &service, const std::string &dataCentre, std::size_t crossDataCentreBytes,
                                           const DataCentreScope &scope)
{
    const Ref<const OwnerPlan> plan = currentPlan();
    InstanceGroup group = preferredGroup(*plan, service, dataCentre);
    const auto candidates = plan->candidates.find(service);
    if (group.count < 2 || candidates == plan->candidates.end()) {
        return group;
    }
    std::set<std::size_t> allowed; // indexes of the groups with instances within the scope
    for (const std::string &holding : plan->services.at(service).dataCentres) {
        if (scope.allows(holding)) {
            allowed.insert(instanceGroupOf(plan->services.at(service).dataCentres, holding, group.count));
        }
    }
    if (allowed.empty()) {
        return group; // the owner refuses the task
    }
    group.index = allowed.count(group.index) > 0 ? group.index : *allowed.begin();
    {
        const Lock lock(m_mutex);
        const Duration advantage = crossDataCentreBytes < m_settings.largeTransferBytes ? m_settings.groupAdvantage : m_settings.largeTransferAdvantage;
        const std::size_t shorter = m_backlog.groupFor(service, group, advantage, m_dependencies.clock.now());
        group.index = allowed.count(shorter) > 0 ? shorter : group.index;
    }
    for (std::size_t step = 0; step < group.count; ++step) {
        const std::size_t index = (group.index + step) % group.count;
        if (allowed.count(index) > 0 && pausedCandidates(candidates->second.at(index)) < m_settings.unreachableCandidates) {
            group.index = index;
            break;
        }
    }
    return group;
}

Duration OwnerStageExecutor::expectedWait(const std::string &service, const std::string &dataCentre)
{
    const InstanceGroup group = groupFor(service, dataCentre, 0);
    if (!ownerOf(service, group)) {
        return m_local.expectedWait(service, group);
    }
    const Lock lock(m_mutex);
    return m_backlog.expectedWait(service, group, m_dependencies.clock.now());
}

std::optional<MemberRecord> OwnerStageExecutor::ownerOf(const std::string &service, const InstanceGroup &group, bool scoped)
{
    const Ref<const OwnerPlan> plan = currentPlan();
    const auto found = plan->candidates.find(service);
    if (found == plan->candidates.end() || group.index >= found->second.size()) {
        return std::nullopt;
    }
    const std::string self = m_members.self().name;
    for (const MemberRecord &member : found->second.at(group.index)) {
        if (member.name == self) {
            return std::nullopt;
        }
        if (pausedCandidates({member}) == 0 && (!scoped || member.keepsScopes)) {
            return member;
        }
    }
    return std::nullopt;
}

std::optional<MemberRecord> OwnerStageExecutor::engineOwner(const std::string &service, const std::string &dataCentre)
{
    return ownerOf(service, preferredGroup(*currentPlan(), service, dataCentre));
}

void OwnerStageExecutor::submit(const Ref<StageRun> &run)
{
    dispatchToOwner(run, m_settings.maxOwners);
}

void OwnerStageExecutor::dispatchToOwner(const Ref<StageRun> &run, unsigned ownersLeft)
{
    const StageTask &task = run->task();
    run->assignGroup(groupFor(task.service, task.dataCentre, task.crossDataCentreBytes, task.scope));
    const bool runHere = m_assignment == StageAssignment::EachNode || ownersLeft == 0;
    const auto owner = runHere ? std::nullopt : ownerOf(task.service, task.group, task.scope.dataCentres().has_value());
    if (!owner) {
        m_local.submit(run);
        return;
    }
    m_dependencies.pool.post([this, run, owner = *owner, ownersLeft] {
        runAtPeer(run, owner, ownersLeft - 1);
    });
}

void OwnerStageExecutor::recordReply(const std::string &member)
{
    const Lock lock(m_mutex);
    PeerState &state = m_peerStates[member];
    state.lastReplyAt = m_dependencies.clock.now();
    state.failures = 0;
}

bool OwnerStageExecutor::alive(const MemberRecord &member)
{
    {
        const Lock lock(m_mutex);
        const auto found = m_peerStates.find(member.name);
        if (found != m_peerStates.end() && m_dependencies.clock.now() - found->second.lastReplyAt < m_settings.peerSilenceLimit) {
            return true;
        }
    }
    const bool answers = m_peers.isAlive(member.peerAddress, m_dependencies.clock.now() + m_settings.livenessTimeout);
    if (answers) {
        recordReply(member.name);
    }
    return answers;
}

void OwnerStageExecutor::runAtPeer(const Ref<StageRun> &run, const MemberRecord &owner, unsigned ownersLeft)
{
    RunCancellation cancellation(*run);
    const TimePoint now = m_dependencies.clock.now();
    const auto reply = m_peers.run(owner.peerAddress, run->task(), now, m_settings.peerSilenceLimit, cancellation, [this, &owner] {
        return alive(owner);
    });
    if (reply.expectedWait) {
        const Lock lock(m_mutex);
        m_backlog.record(run->task().service, run->task().group, *reply.expectedWait, m_dependencies.clock.now());
    }
    const auto &handles = reply.handles;
    if (handles) {
        recordReply(owner.name);
    }
    if (handles && handles->size() == run->task().pieces) {
        std::vector<std::string> unused;
        for (unsigned piece = 0; piece < handles->size(); ++piece) {
            if (!run->completePiece(piece, (*handles)[piece])) {
                unused.push_back((*handles)[piece]);
            }
        }
        release(unused);
        return;
    }
    const ErrorCode code = handles ? ErrorCode::InvalidReply : handles.error().code;
    if (code == ErrorCode::CallerDisconnected) {
        return;
    }
    if (code == ErrorCode::InputsGone || code == ErrorCode::DeadlineExceeded || code == ErrorCode::Overloaded || code == ErrorCode::ServerRejected
        || code == ErrorCode::SuspectRefused || code == ErrorCode::NoFitServer) {
        run->fail(code); // the owner answered that the task failed, so no other owner is tried
        return;
    }
    {
        const Lock lock(m_mutex);
        PeerState &state = m_peerStates[owner.name];
        const unsigned doublings = std::min(state.failures++, MaxBackoffDoublings);
        state.pausedUntil = m_dependencies.clock.now() + std::min(m_settings.maxPeerBackoff, m_settings.peerBackoff * (1U << doublings));
    }
    m_dependencies.metrics.counter("vanillanotch_stage_owner_failures_total").add();
    logEvent(LogLevel::Warning, "stage.owner_failed",
             {{"request", run->task().request}, {"owner", owner.name}, {"error", code}, {"waited_ms", m_dependencies.clock.now() - now}});
    dispatchToOwner(run, ownersLeft);
}

void OwnerStageExecutor::release(const std::vector<std::string> &handles)
{
    if (handles.empty()) {
        return;
    }
    bool schedule = false;
    {
        const Lock lock(m_mutex);
        m_unused.insert(m_unused.end(), handles.begin(), handles.end());
        schedule = !m_flushScheduled;
        m_flushScheduled = true;
    }
    if (schedule) {
        m_dependencies.timers.after(m_settings.releaseInterval, [this] {
            flush();
        });
    }
}

void OwnerStageExecutor::flush()
{
    std::vector<std::string> unused;
    {
        const Lock lock(m_mutex);
        unused.swap(m_unused);
        m_flushScheduled = false;
    }
    std::vector<std::string> localHandles;
    std::map<std::string, std::pair<std::string, std::vector<std::string>>> byPeer; // by member name: peer address and handles
    for (std::string &handle : unused) {
        const auto producer = m_dependencies.instances.findByAddress(addressOfHandle(handle));
        const auto owner = producer && m_assignment != StageAssignment::EachNode
            ? ownerOf(producer->service, preferredGroup(*currentPlan(), producer->service, producer->dataCentre))
            : std::nullopt;
        if (owner) {
            byPeer[owner->name].first = owner->peerAddress;
            byPeer[owner->name].second.push_back(std::move(handle));
        } else {
            localHandles.push_back(std::move(handle));
        }
    }
    m_local.release(localHandles);
    for (auto &[name, peer] : byPeer) {
        m_dependencies.pool.post([this, name = name, peer = std::move(peer)] {
            if (m_peers.release(peer.first, peer.second, m_dependencies.clock.now() + m_settings.releaseTimeout)) {
                recordReply(name);
            } else {
                m_local.release(peer.second);
            }
        });
    }
}

} // namespace vanillanotch
