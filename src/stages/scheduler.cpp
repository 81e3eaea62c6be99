#include "stages/stages.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
constexpr double SlownessMemory = 0.5; // weight of the past in a lane's slowness

Duration declaredTime(const StageCapacity &capacity, std::size_t pieces)
{
    return capacity.fixedCallTime + capacity.pieceTime * pieces;
}
} // namespace

StageScheduler::StageScheduler(StageDependencies parts, SchedulerSettings settings)
    : m_parts(parts)
    , m_settings(settings)
{
    parts.releaser.setListener(this);
}

std::optional<StageCapacity> StageScheduler::capacityOf(const std::string &service) const
{
    const DeploymentRef deployment = m_parts.deployments.current();
    const ServiceSpec *spec = deployment ? deployment->service(service) : nullptr;
    return spec != nullptr ? spec->stage : std::nullopt;
}

void StageScheduler::submit(const Ref<StageRun> &run)
{
    const StageTask &order = run->task();
    PendingPieces work;
    work.run = run;
    work.since = m_parts.clock.now();
    for (unsigned piece = 0; piece < order.pieces; ++piece) {
        work.pieces.push_back(order.pieces - 1 - piece); // taken from the back
    }
    {
        const Lock lock(m_mutex);
        m_queues[keyOf(order)].add(std::move(work), m_parts.clock.now());
    }
    m_parts.retryBudget.recordFirstCall(order.service);
    dispatch(keyOf(order));
}

std::size_t StageScheduler::waitingPieces() const
{
    const Lock lock(m_mutex);
    std::size_t pieces = 0;
    for (const auto &[key, queue] : m_queues) {
        for (const PendingPieces &work : queue.work) {
            pieces += work.pieces.size();
        }
    }
    return pieces;
}

void StageScheduler::instancesChanged()
{
    std::vector<QueueKey> keys;
    {
        const Lock lock(m_mutex);
        for (const auto &[key, queue] : m_queues) {
            if (!queue.work.empty()) {
                keys.push_back(key);
            }
        }
    }
    for (const QueueKey &key : keys) {
        dispatch(key);
    }
}

StageScheduler::QueueKey StageScheduler::keyOf(const StageTask &order)
{
    return {order.service, order.group.index, order.group.count};
}

void StageScheduler::holdLocked(const std::string &instance, const std::string &handle, std::size_t bytes, Duration life)
{
    Lane &lane = m_lanes[instance];
    lane.heldBytes += bytes;
    lane.held.emplace_back(m_parts.clock.now() + life, handle);
    m_held[handle] = HeldResult{instance, bytes};
}

void StageScheduler::freeLocked(const std::string &handle)
{
    if (const auto found = m_held.find(handle); found != m_held.end()) {
        Lane &lane = m_lanes[found->second.instance];
        lane.heldBytes -= std::min(lane.heldBytes, found->second.bytes);
        m_held.erase(found);
    }
}

void StageScheduler::forgetExpiredLocked(Lane &lane, TimePoint now)
{
    while (!lane.held.empty() && lane.held.front().first <= now) {
        freeLocked(lane.held.front().second);
        lane.held.pop_front();
    }
}

void StageScheduler::release(const std::vector<std::string> &handles)
{
    m_parts.releaser.release(handles);
}

void StageScheduler::onReleased(const std::vector<std::string> &handles)
{
    {
        const Lock lock(m_mutex);
        for (const std::string &handle : handles) {
            freeLocked(handle);
        }
    }
    instancesChanged();
}

double StageScheduler::slownessOf(const Lane &lane, TimePoint now) const
{
    const double halves = std::chrono::duration<double>(now - lane.measuredAt) / std::chrono::duration<double>(m_settings.slownessHalfLife);
    return 1.0 + (lane.slowness - 1.0) * std::exp2(-halves);
}

void StageScheduler::failRun(const Ref<StageRun> &run, ErrorCode code)
{
    run->fail(code);
    release(run->takeUnused());
}

void StageScheduler::LaneQueue::add(PendingPieces &&waiting, TimePoint now)
{
    if (work.empty()) {
        speed.markIdle(now);
    }
    work.push_back(std::move(waiting));
}

std::vector<Ref<StageRun>> StageScheduler::shedLocked(LaneQueue &queue, const StageCapacity &capacity, std::size_t lanes, TimePoint now)
{
    std::vector<Ref<StageRun>> runs;
    if (lanes == 0) { // none is known: an instance may come back before the deadline
        return runs;
    }
    StageThroughput speed;
    speed.batchTime = declaredTime(capacity, capacity.maxBatch);
    const auto atOnce = static_cast<double>(lanes * capacity.slots * capacity.maxBatch);
    speed.piecesPerSecond = queue.speed.piecesPerSecond(atOnce / std::chrono::duration<double>(speed.batchTime).count(), now);
    for (const ShedRun &shed : shedLate(queue.work, speed, now, m_settings.batches)) {
        const StageTask &order = shed.run->task();
        logEvent(LogLevel::Info, "stage.shed",
                 {{"request", order.request},
                  {"service", order.service},
                  {"late_ms", now - order.target},
                  {"wait_ms", shed.expectedWait},
                  {"pieces_per_s", static_cast<std::uint64_t>(speed.piecesPerSecond)}});
        m_parts.metrics.counter("vanillanotch_stage_shed_total").add();
        runs.push_back(shed.run);
    }
    return runs;
}

std::vector<StageScheduler::Dispatch> StageScheduler::planLocked(const QueueKey &key, LaneQueue &queue, const StageCapacity &capacity)
{
    const TimePoint now = m_parts.clock.now();
    std::vector<std::pair<double, InstanceSpec>> free; // fastest first
    EarliestFreeTimes nearby;
    const auto &[service, group, groups] = key;
    std::vector<InstanceSpec> instances = m_parts.instances.ready(service);
    const std::vector<InstanceSpec> all = instances;
    std::size_t laneCount = 0;
    for (InstanceSpec &instance : instances) {
        if (instanceGroupOf(all, instance.dataCentre, groups) != group) {
            continue;
        }
        ++laneCount;
        Lane &lane = m_lanes[instance.id];
        forgetExpiredLocked(lane, now);
        const TimePoint freeAt = std::max({now, lane.blockedUntil, lane.calls < capacity.slots ? now : lane.freeAt});
        const auto [soonest, first] = nearby.emplace(instance.dataCentre, freeAt);
        if (!first) {
            soonest->second = std::min(soonest->second, freeAt);
        }
        if (lane.calls < capacity.slots && now >= lane.blockedUntil && !m_parts.instances.suspected(instance.id)) {
            free.emplace_back(slownessOf(lane, now), std::move(instance));
        }
    }
    std::sort(free.begin(), free.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    for (const Ref<StageRun> &run : shedLocked(queue, capacity, laneCount, now)) {
        failRun(run, ErrorCode::Overloaded);
    }
    std::vector<Dispatch> dispatches;
    for (auto &[slowness, instance] : free) {
        Lane &lane = m_lanes[instance.id];
        StageInstanceView view{instance.dataCentre, slowness, 0};
        if (capacity.resultCapacityBytes > 0) {
            const std::size_t used = lane.heldBytes + lane.promisedBytes;
            const auto usable = static_cast<std::size_t>(static_cast<double>(capacity.resultCapacityBytes) * m_settings.usableStorageShare);
            view.freeResultBytes = usable > used ? usable - used : 1;
        }
        std::vector<BatchPick> batch = planBatch(queue.work, view, nearby, capacity.maxBatch, now, m_settings.batches);
        if (!batch.empty()) {
            ++lane.calls;
            lane.freeAt = now + std::chrono::duration_cast<Duration>(declaredTime(capacity, batch.size()) * slowness);
            for (const BatchPick &pick : batch) {
                lane.promisedBytes += pick.run->task().resultBytes;
            }
            queue.speed.recordStarted(now, batch.size());
            std::size_t left = 0;
            for (const PendingPieces &work : queue.work) {
                left += work.pieces.size();
            }
            dispatches.push_back(Dispatch{std::move(instance), std::move(batch), capacity, view.freeResultBytes, left});
        }
    }
    return dispatches;
}

void StageScheduler::dispatch(const QueueKey &key)
{
    const auto capacity = capacityOf(std::get<0>(key));
    if (!capacity) {
        return; // the service is no longer in force; runs end at their deadline
    }
    std::vector<Dispatch> dispatches;
    bool recheck = false;
    {
        const Lock lock(m_mutex);
        LaneQueue &queue = m_queues[key];
        dispatches = planLocked(key, queue, *capacity);
        recheck = !queue.work.empty() && !queue.recheckDue;
        queue.recheckDue = queue.recheckDue || recheck;
    }
    for (Dispatch &dispatched : dispatches) {
        m_parts.pool.post([this, key, dispatched = std::move(dispatched)] {
            runBatch(key, dispatched);
        });
    }
    if (recheck) {
        m_parts.timers.after(m_settings.recheckInterval, [this, key] {
            {
                const Lock lock(m_mutex);
                m_queues[key].recheckDue = false;
            }
            dispatch(key);
        });
    }
}

void StageScheduler::runBatch(const QueueKey &key, const Dispatch &dispatched)
{
    std::vector<PieceCall> calls;
    calls.reserve(dispatched.batch.size());
    TimePoint latest{};
    TimePoint oldest = TimePoint::max();
    for (const BatchPick &pick : dispatched.batch) {
        oldest = std::min(oldest, pick.since);
        calls.push_back(PieceCall{&pick.run->task(), pick.piece});
        latest = std::max(latest, pick.run->task().deadline);
    }
    const Duration declared = declaredTime(dispatched.capacity, calls.size());
    const TimePoint began = m_parts.clock.now();
    const auto patience = std::chrono::duration_cast<Duration>(declared * m_settings.callTimeoutFactor) + m_settings.callTimeoutBase;
    const auto reply = m_parts.channel.run(dispatched.instance, calls, began, std::min(latest, began + patience));
    const TimePoint ended = m_parts.clock.now();
    const bool worked = reply.has_value();
    {
        const Lock lock(m_mutex);
        Lane &lane = m_lanes[dispatched.instance.id];
        lane.calls -= lane.calls > 0 ? 1 : 0;
        for (std::size_t i = 0; i < dispatched.batch.size(); ++i) {
            const std::size_t bytes = dispatched.batch[i].run->task().resultBytes;
            lane.promisedBytes -= std::min(lane.promisedBytes, bytes);
            if (worked && reply->outcomes.at(i).fault == PieceFault::None) {
                holdLocked(dispatched.instance.id, reply->outcomes[i].handle, bytes, dispatched.capacity.resultLifetime);
            }
        }
        if (worked || reply.error().code == ErrorCode::ServerTimeout) {
            const double measured = std::chrono::duration<double>(ended - began) / std::chrono::duration<double>(declared);
            lane.slowness = slownessOf(lane, ended) * SlownessMemory + measured * (1.0 - SlownessMemory);
            lane.measuredAt = ended;
        }
    }
    logEvent(LogLevel::Info, "stage.call",
             {{"service", dispatched.instance.service},
              {"instance", dispatched.instance.id},
              {"first_request", calls.front().task->request},
              {"pieces", static_cast<std::uint64_t>(calls.size())},
              {"error", worked ? 0 : static_cast<int>(reply.error().code)},
              {"room_bytes", static_cast<std::uint64_t>(dispatched.roomBytes)},
              {"left_waiting", static_cast<std::uint64_t>(dispatched.leftWaiting)},
              {"waited_ms", began - oldest},
              {"declared_ms", declared},
              {"took_ms", ended - began}});
    m_parts.metrics.histogram("vanillanotch_stage_call_seconds").record(ended - began);
    m_parts.metrics.counter("vanillanotch_stage_pieces_total").add(calls.size());
    if (worked) {
        settle(key, dispatched, *reply);
    } else {
        recover(key, dispatched, reply.error());
    }
    dispatch(key);
}

void StageScheduler::settle(const QueueKey &key, const Dispatch &dispatched, const BatchReply &reply)
{
    m_parts.instances.report(dispatched.instance.id, InstanceCallOutcome::Succeeded, Duration::zero(), reply.load);
    std::vector<BatchPick> again;
    std::vector<std::string> unused;
    bool noRoom = false;
    for (std::size_t i = 0; i < dispatched.batch.size(); ++i) {
        const BatchPick &pick = dispatched.batch[i];
        const PieceOutcome &outcome = reply.outcomes.at(i);
        switch (outcome.fault) {
        case PieceFault::None:
            if (!pick.run->completePiece(pick.piece, outcome.handle)) {
                unused.push_back(outcome.handle);
                const auto before = pick.run->takeUnused();
                unused.insert(unused.end(), before.begin(), before.end());
            }
            break;
        case PieceFault::DeadlineExceeded:
            failRun(pick.run, ErrorCode::DeadlineExceeded);
            break;
        case PieceFault::InputMissing:
            failRun(pick.run, ErrorCode::InputsGone);
            break;
        case PieceFault::ResultStorageFull:
            noRoom = true;
            again.push_back(pick);
            break;
        case PieceFault::Failed:
            again.push_back(pick);
            break;
        }
    }
    release(unused);
    if (noRoom) {
        const Lock lock(m_mutex);
        m_lanes[dispatched.instance.id].blockedUntil = m_parts.clock.now() + m_settings.busyBackoff;
    }
    requeue(key, again, !noRoom);
}

void StageScheduler::recover(const QueueKey &key, const Dispatch &dispatched, const UpstreamFailure &failure)
{
    const bool full = failure.code == ErrorCode::ServerBusy;
    const bool moved = failure.code == ErrorCode::WrongInstance;
    const Duration pause = full ? m_settings.busyBackoff : m_settings.failureBackoff;
    {
        const Lock lock(m_mutex);
        m_lanes[dispatched.instance.id].blockedUntil = m_parts.clock.now() + pause;
    }
    if (!full && !moved) {
        m_parts.instances.report(dispatched.instance.id, InstanceCallOutcome::Unreachable, Duration::zero(), std::nullopt);
    }
    requeue(key, dispatched.batch, failure.maybeSent);
}

// `counts`: the pieces have reached an instance, so that another call is charged.
void StageScheduler::requeue(const QueueKey &key, const std::vector<BatchPick> &picks, bool counts)
{
    if (picks.empty()) {
        return;
    }
    if (counts && !m_parts.retryBudget.tryTake(std::get<0>(key))) {
        for (const BatchPick &pick : picks) {
            failRun(pick.run, ErrorCode::Overloaded);
        }
        return;
    }
    std::map<StageRun *, PendingPieces> works;
    for (const BatchPick &pick : picks) {
        if (counts && pick.run->countAttempt(pick.piece) >= m_settings.batches.maxAttempts) {
            failRun(pick.run, ErrorCode::ServerRejected);
            continue;
        }
        PendingPieces &work = works[pick.run.get()];
        work.run = pick.run;
        work.pieces.push_back(pick.piece);
        work.since = m_parts.clock.now() - m_settings.batches.slowInstanceWait; // it has waited enough to be choosy
    }
    const TimePoint now = m_parts.clock.now();
    const Lock lock(m_mutex);
    for (auto &[run, work] : works) {
        m_queues[key].add(std::move(work), now);
    }
}

} // namespace vanillanotch
