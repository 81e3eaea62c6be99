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

std::optional<MemberRecord> OwnedStages::ownerOf(const StageOrder &order) const
{
    const MemberRecord self = m_members.self();
    std::string duty = "stages/" + order.service;
    if (m_sharing == StageSharing::OwnersByDataCentre) {
        duty += "/" + order.dataCentre;
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
    const auto owner = m_sharing == StageSharing::EachNode ? std::nullopt : ownerOf(run->order());
    if (!owner) {
        m_local.submit(run);
        return;
    }
    m_parts.pool.post([this, run, owner = *owner] {
        runAtPeer(run, owner);
    });
}

void OwnedStages::runAtPeer(const Ref<StageRun> &run, const MemberRecord &owner)
{
    RunCanceller canceller(*run);
    const TimePoint now = m_parts.clock.now();
    const auto handles = m_peers.run(owner.peerAddress, run->order(), now, std::min(run->order().deadline, now + m_settings.peerLimit), canceller);
    if (handles && handles->size() == run->order().pieces) {
        std::vector<std::string> unused;
        for (unsigned piece = 0; piece < handles->size(); ++piece) {
            if (!run->complete(piece, (*handles)[piece])) {
                unused.push_back((*handles)[piece]);
            }
        }
        m_parts.releaser.add(unused);
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

} // namespace vanillanotch
