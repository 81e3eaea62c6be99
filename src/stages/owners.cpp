#include "stages/stages.h"

#include <poll.h>

namespace vanillanotch
{

namespace
{
// Ends a wait for a peer when the run is cancelled.
class RunCanceller final : public CallerWatch
{
public:
    explicit RunCanceller(StageRun &run)
        : m_run(run)
        , m_signal(run.cancelSignal())
    {
    }
    bool gone() const override
    {
        return m_run.cancelled();
    }
    void prepare(pollfd &entry) const override
    {
        entry.fd = m_signal->descriptor();
        entry.events = POLLIN;
        entry.revents = 0;
    }
    void examine(const pollfd & /*entry*/) override
    {
    }

private:
    StageRun &m_run;
    Ref<Signal> m_signal;
};
} // namespace

OwnedStages::OwnedStages(StageParts parts, StageScheduler &local, StagePeerChannel &peers, MemberTable &members, StageSharing sharing, OwnerSettings settings)
    : m_parts(parts)
    , m_local(local)
    , m_peers(peers)
    , m_members(members)
    , m_sharing(sharing)
    , m_settings(settings)
{
}

std::optional<MemberRecord> OwnedStages::ownerOf(const std::string &service, const std::string &dataCentre) const
{
    const MemberRecord self = m_members.self();
    std::string duty = "stages/" + service;
    if (m_sharing == StageSharing::OwnersByDataCentre) {
        duty += "/" + dataCentre;
    }
    std::optional<MemberRecord> best;
    std::uint64_t bestRank = 0;
    const TimePoint now = m_parts.clock.now();
    const std::vector<MemberRecord> members = m_members.all();
    const Lock lock(m_mutex);
    for (const MemberRecord &member : members) {
        const auto paused = m_pausedUntil.find(member.name);
        const bool asked = paused == m_pausedUntil.end() || now >= paused->second;
        const bool usable = member.name == self.name || (asked && member.state == MemberState::Alive);
        const std::uint64_t rank = stableHash(duty + "/" + member.name);
        if (usable && (!best || rank > bestRank)) {
            best = member;
            bestRank = rank;
        }
    }
    return best && best->name != self.name ? best : std::nullopt;
}

void OwnedStages::submit(const Ref<StageRun> &run)
{
    const auto owner = m_sharing == StageSharing::EachNode ? std::nullopt : ownerOf(run->order().service, run->order().dataCentre);
    if (!owner) {
        m_local.submit(run);
        return;
    }
    m_parts.pool.post([this, run, owner = *owner] {
        runAtPeer(run, owner);
    });
}

void OwnedStages::heard(const std::string &member)
{
    const Lock lock(m_mutex);
    m_heardAt[member] = m_parts.clock.now();
}

bool OwnedStages::silent(const std::string &member) const
{
    const Lock lock(m_mutex);
    const auto found = m_heardAt.find(member);
    return found == m_heardAt.end() || m_parts.clock.now() - found->second > m_settings.peerSilence;
}

void OwnedStages::runAtPeer(const Ref<StageRun> &run, const MemberRecord &owner)
{
    RunCanceller canceller(*run);
    const TimePoint now = m_parts.clock.now();
    const auto handles = m_peers.run(owner.peerAddress, run->order(), now, m_settings.peerSilence, canceller, [this, &owner] {
        return !silent(owner.name);
    });
    if (handles) {
        heard(owner.name);
    }
    if (handles && handles->size() == run->order().pieces) {
        std::vector<std::string> unused;
        for (unsigned piece = 0; piece < handles->size(); ++piece) {
            if (!run->complete(piece, (*handles)[piece])) {
                unused.push_back((*handles)[piece]);
            }
        }
        add(unused);
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
        m_pausedUntil[owner.name] = m_parts.clock.now() + m_settings.peerPause;
    }
    m_parts.metrics.counter("vanillanotch_stage_owner_failures_total").add();
    logEvent(LogLevel::Warning, "stage.owner_failed",
             {{"request", run->order().request}, {"owner", owner.name}, {"error", code}, {"waited_ms", m_parts.clock.now() - now}});
    m_local.submit(run);
}

void OwnedStages::add(const std::vector<std::string> &handles)
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

void OwnedStages::flush()
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
        const auto maker = m_parts.instances.at(addressOfHandle(handle));
        const auto owner = maker && m_sharing != StageSharing::EachNode ? ownerOf(maker->service, maker->dataCentre) : std::nullopt;
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
            if (m_peers.release(peer.first, peer.second, m_parts.clock.now() + m_settings.releaseLimit)) {
                heard(name);
            } else {
                m_local.release(peer.second);
            }
        });
    }
}

} // namespace vanillanotch
