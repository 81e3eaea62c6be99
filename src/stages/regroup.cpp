// StageScheduler: pieces that leave their queue without a call, go to another one, or come back after a call.
#include "stages/stages.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

std::optional<std::size_t> groupWithInstances(const StageTask &task, const InstanceGroup &group, const std::vector<std::string> &dataCentres)
{
    std::vector<std::string> allowed;
    std::copy_if(dataCentres.begin(), dataCentres.end(), std::back_inserter(allowed), [&task](const std::string &dataCentre) {
        return task.scope.allows(dataCentre);
    });
    if (allowed.empty()) {
        return std::nullopt;
    }
    const auto groupOf = [&](const std::string &dataCentre) {
        return instanceGroupOf(dataCentres, dataCentre, group.count);
    };
    const bool ownGroup = std::any_of(allowed.begin(), allowed.end(), [&](const std::string &dataCentre) {
        return groupOf(dataCentre) == group.index;
    });
    if (ownGroup) {
        return group.index;
    }
    const auto preferred = std::find(allowed.begin(), allowed.end(), task.dataCentre);
    // Tasks without a preferred data centre are spread over the others by their requests.
    return groupOf(preferred != allowed.end() ? *preferred : allowed[stableHash(task.request) % allowed.size()]);
}

std::set<StageScheduler::QueueKey> StageScheduler::regroupLocked(const QueueKey &key, TaskQueue &queue)
{
    const auto &[service, index, count] = key;
    const InstanceListRef instances = m_dependencies.instances.usableInstances(service);
    std::set<QueueKey> targets;
    std::vector<PendingPieces> staying;
    std::size_t moved = 0;
    for (PendingPieces &pending : queue.entries) {
        const auto group = groupWithInstances(pending.run->task(), InstanceGroup{index, count}, instances->dataCentres);
        if (!group && m_dependencies.instances.noneLeft(service, pending.run->task().scope)) {
            failRun(pending.run, ErrorCode::NoFitServer);
        } else if (group.value_or(index) == index) {
            staying.push_back(std::move(pending));
        } else {
            const QueueKey target{service, *group, count};
            moved += pending.pieces.size();
            m_queues[target].add(std::move(pending), m_dependencies.clock.now());
            targets.insert(target);
        }
    }
    queue.entries = std::move(staying);
    if (moved > 0) {
        logEvent(LogLevel::Info, "stage.regrouped",
                 {{"service", service}, {"group", static_cast<std::uint64_t>(index)}, {"pieces", static_cast<std::uint64_t>(moved)}});
    }
    return targets;
}

std::size_t StageScheduler::maxBatchIn(const std::string &dataCentre, const InstanceList &instances, std::size_t maxBatch) const
{
    const double share = m_dependencies.instances.restoredShare(dataCentre);
    if (share >= 1) {
        return maxBatch;
    }
    double largest = share; // as for requests, relative to the data centre that has got the most back
    for (const std::string &other : instances.dataCentres) {
        largest = std::max(largest, m_dependencies.instances.restoredShare(other));
    }
    const double part = largest > 0 ? share / largest : 1;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(static_cast<double>(maxBatch) * part)));
}

void StageScheduler::removeBlockedLocked(TaskQueue &queue)
{
    if (m_dependencies.crashGuard.idle()) {
        return;
    }
    const auto blocked = [this](const PendingPieces &pending) {
        const StageTask &task = pending.run->task();
        return !task.isProbe && !task.crashTrait.empty() && m_dependencies.crashGuard.blocks(RequestTraits{{}, task.crashTrait});
    };
    const auto first = std::stable_partition(queue.entries.begin(), queue.entries.end(), [&blocked](const PendingPieces &pending) {
        return !blocked(pending);
    });
    for (auto it = first; it != queue.entries.end(); ++it) {
        failRun(it->run, ErrorCode::SuspectRefused);
    }
    queue.entries.erase(first, queue.entries.end());
}

// Puts the pieces of a call back into the queue, to be sent again. `charged`: the call counts as an attempt of each piece, and its
// repetition as one call of the retry budget. It is false when the pieces were not sent, or when the instance had no storage for the result
// of at least one piece of the call. If a charged call finds the retry budget used up, the runs of all its pieces fail instead. If a piece
// of a charged call has reached maxAttempts, the run of that piece fails.
void StageScheduler::requeue(const QueueKey &key, const std::vector<BatchPick> &picks, bool charged)
{
    if (picks.empty()) {
        return;
    }
    if (charged && !m_dependencies.retryBudget.tryTake(std::get<0>(key))) {
        for (const BatchPick &pick : picks) {
            failRun(pick.run, ErrorCode::Overloaded);
        }
        return;
    }
    std::map<StageRun *, PendingPieces> requeued;
    for (const BatchPick &pick : picks) {
        if (charged && pick.run->countAttempt(pick.piece) >= m_settings.batches.maxAttempts) {
            failRun(pick.run, ErrorCode::ServerRejected);
            continue;
        }
        PendingPieces &pending = requeued[pick.run.get()];
        pending.run = pick.run;
        pending.pieces.push_back(pick.piece);
        // The piece counts as having waited for slowInstanceWait already, so that it takes the next free instance, also a slow or distant one.
        pending.waitingSince = m_dependencies.clock.now() - m_settings.batches.slowInstanceWait;
    }
    const TimePoint now = m_dependencies.clock.now();
    const Lock lock(m_mutex);
    for (auto &[run, pending] : requeued) {
        m_queues[key].add(std::move(pending), now);
    }
}

} // namespace vanillanotch
