#include "stages/stages.h"

#include <poll.h>

namespace vanillanotch
{

namespace
{
// Ends a wait for a peer when the run is cancelled.
class RunCanceller final : public CancellationWatch
{
public:
    explicit RunCanceller(StageRun &run)
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

OwnerStageExecutor::OwnerStageExecutor(StageDependencies parts, StageScheduler &local, StagePeerChannel &peers, MemberTable &members, StageAssignment sharing,
                                       OwnerSettings settings)
    : m_parts(parts)
    , m_local(local)
    , m_peers(peers)
    , m_members(members)
    , m_sharing(sharing)
    , m_settings(settings)
{
}

InstanceGroup OwnerStageExecutor::groupFor(const std::string &service, const std::string &dataCentre) const
{
    if (m_sharing != StageAssignment::OwnerGroups) {
        return InstanceGroup{};
    }
    const std::vector<InstanceSpec> instances = m_parts.instances.ready(service);
    std::set<std::string> dataCentres;
    for (const InstanceSpec &instance : instances) {
        dataCentres.insert(instance.dataCentre);
    }
    InstanceGroup lanes;
    lanes.count = std::clamp<std::size_t>(instances.size() / m_settings.instancesPerOwner, 1, std::max<std::size_t>(1, dataCentres.size()));
    lanes.index = instanceGroupOf(instances, dataCentre, lanes.count);
    return lanes;
}

std::optional<MemberRecord> OwnerStageExecutor::ownerOf(const std::string &service, const InstanceGroup &lanes) const
{
    const std::string duty = "stages/" + service + "/" + std::to_string(lanes.index) + "/" + std::to_string(lanes.count);
    const std::vector<MemberRecord> members = m_members.all();
    const std::string &self = members.front().name; // all() begins with this node
    const TimePoint now = m_parts.clock.now();
    std::optional<MemberRecord> best;
    double bestRank = 0;
    const Lock lock(m_mutex);
    for (const MemberRecord &member : members) {
        const auto paused = m_pausedUntil.find(member.name);
        const bool asked = paused == m_pausedUntil.end() || now >= paused->second;
        const bool usable = member.name == self || (asked && member.state == MemberState::Alive);
        const double rank = dutyRank(member, duty);
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
    handOver(run, m_settings.maxOwners);
}

void OwnerStageExecutor::handOver(const Ref<StageRun> &run, unsigned owners)
{
    const bool alone = m_sharing == StageAssignment::EachNode || owners == 0;
    const auto owner = alone ? std::nullopt : ownerOf(run->task().service, run->task().group);
    if (!owner) {
        m_local.submit(run);
        return;
    }
    m_parts.pool.post([this, run, owner = *owner, owners] {
        runAtPeer(run, owner, owners - 1);
    });
}

void OwnerStageExecutor::heard(const std::string &member)
{
    const Lock lock(m_mutex);
    m_heardAt[member] = m_parts.clock.now();
}

bool OwnerStageExecutor::alive(const MemberRecord &member)
{
    {
        const Lock lock(m_mutex);
        const auto found = m_heardAt.find(member.name);
        if (found != m_heardAt.end() && m_parts.clock.now() - found->second < m_settings.peerSilenceLimit) {
            return true;
        }
    }
    const bool answers = m_peers.isAlive(member.peerAddress, m_parts.clock.now() + m_settings.livenessTimeout);
    if (answers) {
        heard(member.name);
    }
    return answers;
}

void OwnerStageExecutor::runAtPeer(const Ref<StageRun> &run, const MemberRecord &owner, unsigned owners)
{
    RunCanceller canceller(*run);
    const TimePoint now = m_parts.clock.now();
    const auto handles = m_peers.run(owner.peerAddress, run->task(), now, m_settings.peerSilenceLimit, canceller, [this, &owner] {
        return alive(owner);
    });
    if (handles) {
        heard(owner.name);
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
    if (code == ErrorCode::CallerGone) {
        return;
    }
    if (code == ErrorCode::InputsGone || code == ErrorCode::DeadlineExceeded || code == ErrorCode::Overloaded || code == ErrorCode::ServerRejected) {
        run->fail(code); // the owner's verdict
        return;
    }
    {
        const Lock lock(m_mutex);
        m_pausedUntil[owner.name] = m_parts.clock.now() + m_settings.peerBackoff;
    }
    m_parts.metrics.counter("vanillanotch_stage_owner_failures_total").add();
    logEvent(LogLevel::Warning, "stage.owner_failed",
             {{"request", run->task().request}, {"owner", owner.name}, {"error", code}, {"waited_ms", m_parts.clock.now() - now}});
    handOver(run, owners);
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
        schedule = !m_flushDue;
        m_flushDue = true;
    }
    if (schedule) {
        m_parts.timers.after(m_settings.releaseInterval, [this] {
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
        m_flushDue = false;
    }
    std::vector<std::string> own;
    std::map<std::string, std::pair<std::string, std::vector<std::string>>> byPeer; // address and handles by name
    for (std::string &handle : unused) {
        const auto maker = m_parts.instances.findByAddress(addressOfHandle(handle));
        const auto owner =
            maker && m_sharing != StageAssignment::EachNode ? ownerOf(maker->service, groupFor(maker->service, maker->dataCentre)) : std::nullopt;
        if (owner) {
            byPeer[owner->name].first = owner->peerAddress;
            byPeer[owner->name].second.push_back(std::move(handle));
        } else {
            own.push_back(std::move(handle));
        }
    }
    m_local.release(own);
    for (auto &[name, peer] : byPeer) {
        m_parts.pool.post([this, name = name, peer = std::move(peer)] {
            if (m_peers.release(peer.first, peer.second, m_parts.clock.now() + m_settings.releaseTimeout)) {
                heard(name);
            } else {
                m_local.release(peer.second);
            }
        });
    }
}

} // namespace vanillanotch
