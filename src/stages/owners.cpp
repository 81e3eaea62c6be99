#include "stages/stages.h"

#include <poll.h>

namespace vanillanotch
{

namespace
{
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

InstanceGroup OwnerStageExecutor::groupFor(const std::string &service, const std::string &dataCentre) const
{
    if (m_assignment != StageAssignment::OwnerGroups) {
        return InstanceGroup{};
    }
    const std::vector<InstanceSpec> instances = m_dependencies.instances.usableInstances(service);
    std::set<std::string> dataCentres;
    for (const InstanceSpec &instance : instances) {
        dataCentres.insert(instance.dataCentre);
    }
    InstanceGroup group;
    group.count = std::clamp<std::size_t>(instances.size() / m_settings.instancesPerOwner, 1, std::max<std::size_t>(1, dataCentres.size()));
    group.index = instanceGroupOf(instances, dataCentre, group.count);
    return group;
}

std::optional<MemberRecord> OwnerStageExecutor::ownerOf(const std::string &service, const InstanceGroup &group) const
{
    const std::string hashKey = "stages/" + service + "/" + std::to_string(group.index) + "/" + std::to_string(group.count);
    const std::vector<MemberRecord> members = m_members.all();
    const std::string &self = members.front().name; // all() begins with this node
    const TimePoint now = m_dependencies.clock.now();
    std::optional<MemberRecord> best;
    double bestRank = 0;
    const Lock lock(m_mutex);
    for (const MemberRecord &member : members) {
        const auto paused = m_pausedUntil.find(member.name);
        const bool available = paused == m_pausedUntil.end() || now >= paused->second;
        const bool usable = member.name == self || (available && member.state == MemberState::Alive);
        const double rank = dutyRank(member, hashKey);
        if (usable && (!best || rank > bestRank)) {
            best = member;
            bestRank = rank;
        }
    }
    return best && best->name != self ? best : std::nullopt;
}

void OwnerStageExecutor::submit(const Ref<StageRun> &run)
{
    run->assignGroup(groupFor(run->task().service, run->task().dataCentre));
    dispatchToOwner(run, m_settings.maxOwners);
}

void OwnerStageExecutor::dispatchToOwner(const Ref<StageRun> &run, unsigned ownersLeft)
{
    const bool runHere = m_assignment == StageAssignment::EachNode || ownersLeft == 0;
    const auto owner = runHere ? std::nullopt : ownerOf(run->task().service, run->task().group);
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
    m_lastReplyAt[member] = m_dependencies.clock.now();
}

bool OwnerStageExecutor::alive(const MemberRecord &member)
{
    {
        const Lock lock(m_mutex);
        const auto found = m_lastReplyAt.find(member.name);
        if (found != m_lastReplyAt.end() && m_dependencies.clock.now() - found->second < m_settings.peerSilenceLimit) {
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
    const auto handles = m_peers.run(owner.peerAddress, run->task(), now, m_settings.peerSilenceLimit, cancellation, [this, &owner] {
        return alive(owner);
    });
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
    if (code == ErrorCode::InputsGone || code == ErrorCode::DeadlineExceeded || code == ErrorCode::Overloaded || code == ErrorCode::ServerRejected) {
        run->fail(code); // the owner answered that the task failed, so no other owner is tried
        return;
    }
    {
        const Lock lock(m_mutex);
        m_pausedUntil[owner.name] = m_dependencies.clock.now() + m_settings.peerBackoff;
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
        const auto owner = producer && m_assignment != StageAssignment::EachNode ? ownerOf(producer->service, groupFor(producer->service, producer->dataCentre))
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
