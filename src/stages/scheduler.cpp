#include "stages/stages.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
constexpr double SlownessPastWeight = 0.5; // weight of the previous value in an instance's slowness; the new measurement has the rest

Duration declaredTime(const StageCapacity &capacity, std::size_t pieces)
{
    return capacity.fixedCallTime + capacity.pieceTime * pieces;
}
} // namespace

StageScheduler::StageScheduler(StageDependencies dependencies, SchedulerSettings settings)
    : m_dependencies(dependencies)
    , m_settings(settings)
{
    dependencies.releaser.setListener(this);
}

std::optional<StageCapacity> StageScheduler::capacityOf(const std::string &service) const
{
    const DeploymentRef deployment = m_dependencies.deployments.current();
    const ServiceSpec *spec = deployment ? deployment->service(service) : nullptr;
    return spec != nullptr ? spec->stage : std::nullopt;
}

void StageScheduler::submit(const Ref<StageRun> &run)
{
    const StageTask &task = run->task();
    PendingPieces pending;
    pending.run = run;
    pending.waitingSince = m_dependencies.clock.now();
    for (unsigned piece = 0; piece < task.pieces; ++piece) {
        pending.pieces.push_back(task.pieces - 1 - piece); // planBatch() takes pieces from the back, so piece 0 is stored there to be taken first
    }
    {
        const Lock lock(m_mutex);
        m_queues[keyOf(task)].add(std::move(pending), m_dependencies.clock.now());
    }
    m_dependencies.retryBudget.recordFirstCall(task.service);
    dispatch(keyOf(task));
}

Duration StageScheduler::expectedWait(const std::string &service, const InstanceGroup &group) const
{
    const Lock lock(m_mutex);
    const auto found = m_queues.find({service, group.index, group.count});
    return found == m_queues.end() ? Duration::zero() : found->second.onTimeWait;
}

Duration StageScheduler::expectedWait(const std::string &service, const std::string & /*dataCentre*/)
{
    const Lock lock(m_mutex);
    Duration longest{};
    for (const auto &[key, queue] : m_queues) {
        longest = std::get<0>(key) == service ? std::max(longest, queue.onTimeWait) : longest;
    }
    return longest;
}

std::size_t StageScheduler::waitingPieces() const
{
    const Lock lock(m_mutex);
    std::size_t pieces = 0;
    for (const auto &[key, queue] : m_queues) {
        for (const PendingPieces &pending : queue.entries) {
            pieces += pending.pieces.size();
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
            if (!queue.entries.empty()) {
                keys.push_back(key);
            }
        }
    }
    for (const QueueKey &key : keys) {
        dispatch(key);
    }
}

StageScheduler::QueueKey StageScheduler::keyOf(const StageTask &task)
{
    return {task.service, task.group.index, task.group.count};
}

void StageScheduler::recordResultLocked(const std::string &instance, const std::string &handle, std::size_t bytes, Duration life)
{
    InstanceState &state = m_instanceStates[instance];
    state.storedBytes += bytes;
    state.storedResults.emplace_back(m_dependencies.clock.now() + life, handle);
    m_storedResults[handle] = StoredResult{instance, bytes};
}

void StageScheduler::removeResultLocked(const std::string &handle)
{
    if (const auto found = m_storedResults.find(handle); found != m_storedResults.end()) {
        InstanceState &state = m_instanceStates[found->second.instance];
        state.storedBytes -= std::min(state.storedBytes, found->second.bytes);
        m_storedResults.erase(found);
    }
}

void StageScheduler::expireResultsLocked(InstanceState &state, TimePoint now)
{
    while (!state.storedResults.empty() && state.storedResults.front().first <= now) {
        removeResultLocked(state.storedResults.front().second);
        state.storedResults.pop_front();
    }
}

void StageScheduler::release(const std::vector<std::string> &handles)
{
    m_dependencies.releaser.release(handles);
}

void StageScheduler::onReleased(const std::vector<std::string> &handles)
{
    {
        const Lock lock(m_mutex);
        for (const std::string &handle : handles) {
            removeResultLocked(handle);
        }
    }
    instancesChanged();
}

double StageScheduler::slownessOf(const InstanceState &state, TimePoint now) const
{
    const double halfLives = std::chrono::duration<double>(now - state.measuredAt) / std::chrono::duration<double>(m_settings.slownessHalfLife);
    return 1.0 + (state.slowness - 1.0) * std::exp2(-halfLives);
}

std::size_t StageScheduler::freeResultBytes(const InstanceState &state, const StageCapacity &capacity, TimePoint now) const
{
    const double halfLives = std::chrono::duration<double>(now - state.unknownAt) / std::chrono::duration<double>(m_settings.unknownResultsHalfLife);
    const auto unknown = static_cast<std::size_t>(static_cast<double>(state.unknownBytes) * std::exp2(-halfLives));
    const std::size_t used = state.storedBytes + state.reservedBytes + unknown;
    const auto usable = static_cast<std::size_t>(static_cast<double>(capacity.resultCapacityBytes) * m_settings.usableStorageShare);
    return usable > used ? usable - used : 1; // 0 would mean that no limit is stated
}

void StageScheduler::failRun(const Ref<StageRun> &run, ErrorCode code)
{
    run->fail(code);
    release(run->takeUnused());
}

void StageScheduler::TaskQueue::add(PendingPieces &&entry, TimePoint now)
{
    if (entries.empty()) {
        throughput.markIdle(now);
    }
    entries.push_back(std::move(entry));
}

std::vector<Ref<StageRun>> StageScheduler::shedLocked(TaskQueue &queue, const StageCapacity &capacity, std::size_t instanceCount, TimePoint now)
{
    std::vector<Ref<StageRun>> runs;
    if (instanceCount == 0) { // no instance is known now, but one may register again before the deadlines, so no run is shed
        return runs;
    }
    StageThroughput throughput;
    throughput.batchTime = declaredTime(capacity, capacity.maxBatch);
    const auto piecesAtOnce = static_cast<double>(instanceCount * capacity.slots * capacity.maxBatch);
    throughput.piecesPerSecond = queue.throughput.piecesPerSecond(piecesAtOnce / std::chrono::duration<double>(throughput.batchTime).count(), now);
    for (const ShedRun &shed : shedLate(queue.entries, throughput, now, m_settings.batches)) {
        const StageTask &task = shed.run->task();
        logEvent(LogLevel::Info, "stage.shed",
                 {{"request", task.request},
                  {"service", task.service},
                  {"late_ms", now - task.target},
                  {"wait_ms", shed.expectedWait},
                  {"pieces_per_s", static_cast<std::uint64_t>(throughput.piecesPerSecond)}});
        m_dependencies.metrics.counter("vanillanotch_stage_shed_total").add();
        runs.push_back(shed.run);
    }
    std::size_t onTimePieces = 0;
    for (const PendingPieces &pending : queue.entries) {
        onTimePieces += pending.run->task().target > now ? pending.pieces.size() : 0;
    }
    queue.onTimeWait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(onTimePieces) / throughput.piecesPerSecond));
    return runs;
}

std::vector<StageScheduler::Dispatch> StageScheduler::planLocked(const QueueKey &key, TaskQueue &queue, const StageCapacity &capacity)
{
    const TimePoint now = m_dependencies.clock.now();
    if (queue.entries.empty()) {
        queue.onTimeWait = Duration::zero();
        return {};
    }
    std::vector<std::pair<double, const InstanceSpec *>> freeInstances; // slowness and instance, the fastest first
    EarliestFreeTimes earliestFree;
    const auto &[service, groupIndex, groupCount] = key;
    const InstanceListRef instances = m_dependencies.instances.usableInstances(service);
    std::set<std::string> groupDataCentres;
    for (const std::string &dataCentre : instances->dataCentres) {
        if (instanceGroupOf(instances->dataCentres, dataCentre, groupCount) == groupIndex) {
            groupDataCentres.insert(dataCentre);
        }
    }
    std::size_t groupSize = 0;
    for (const InstanceSpec &instance : instances->specs) {
        if (groupDataCentres.count(instance.dataCentre) == 0) {
            continue;
        }
        ++groupSize;
        InstanceState &state = m_instanceStates[instance.id];
        expireResultsLocked(state, now);
        const TimePoint notBefore = std::max(state.blockedUntil, m_dependencies.instances.callableAt(instance.id));
        const TimePoint freeAt = std::max({now, notBefore, state.calls < capacity.slots ? now : state.freeAt});
        const auto [earliest, inserted] = earliestFree.emplace(instance.dataCentre, freeAt);
        if (!inserted) {
            earliest->second = std::min(earliest->second, freeAt);
        }
        if (state.calls < capacity.slots && now >= notBefore && !m_dependencies.instances.recentlyUnreachable(instance.id)) {
            freeInstances.emplace_back(slownessOf(state, now), &instance);
        }
    }
    std::sort(freeInstances.begin(), freeInstances.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    removeBlockedLocked(queue);
    for (const Ref<StageRun> &run : shedLocked(queue, capacity, groupSize, now)) {
        failRun(run, ErrorCode::Overloaded);
    }
    std::vector<Dispatch> dispatches;
    for (const auto &[slowness, instance] : freeInstances) {
        InstanceState &state = m_instanceStates[instance->id];
        StageInstanceView view{instance->dataCentre, slowness, 0};
        if (capacity.resultCapacityBytes > 0) {
            view.freeResultBytes = freeResultBytes(state, capacity, now);
        }
        std::vector<BatchPick> batch =
            planBatch(queue.entries, view, earliestFree, maxBatchIn(instance->dataCentre, *instances, capacity.maxBatch), now, m_settings.batches);
        if (!batch.empty()) {
            ++state.calls;
            m_dependencies.instances.countCall(instance->id);
            state.freeAt = now + std::chrono::duration_cast<Duration>(declaredTime(capacity, batch.size()) * slowness);
            for (const BatchPick &pick : batch) {
                state.reservedBytes += pick.run->task().resultBytes;
            }
            queue.throughput.recordStarted(now, batch.size());
            std::size_t piecesLeft = 0;
            for (const PendingPieces &pending : queue.entries) {
                piecesLeft += pending.pieces.size();
            }
            dispatches.push_back(Dispatch{*instance, std::move(batch), capacity, view.freeResultBytes, piecesLeft});
        }
    }
    return dispatches;
}

void StageScheduler::dispatch(const QueueKey &key)
{
    const auto capacity = capacityOf(std::get<0>(key));
    if (!capacity) {
        return; // the current deployment doesn't have the service; the service's runs end at their deadlines
    }
    std::vector<Dispatch> dispatches;
    std::set<QueueKey> regrouped;
    bool recheck = false;
    {
        const Lock lock(m_mutex);
        TaskQueue &queue = m_queues[key];
        regrouped = regroupLocked(key, queue);
        dispatches = planLocked(key, queue, *capacity);
        recheck = !queue.entries.empty() && !queue.recheckScheduled;
        queue.recheckScheduled = queue.recheckScheduled || recheck;
    }
    for (Dispatch &dispatched : dispatches) {
        m_dependencies.pool.post([this, key, dispatched = std::move(dispatched)] {
            runBatch(key, dispatched);
        });
    }
    for (const QueueKey &other : regrouped) {
        dispatch(other);
    }
    if (recheck) {
        m_dependencies.timers.after(m_settings.recheckInterval, [this, key] {
            {
                const Lock lock(m_mutex);
                m_queues[key].recheckScheduled = false;
            }
            dispatch(key);
        });
    }
}

void StageScheduler::runBatch(const QueueKey &key, const Dispatch &dispatched)
{
    std::vector<PieceCall> calls;
    calls.reserve(dispatched.batch.size());
    TimePoint latestDeadline{};
    TimePoint earliestSince = TimePoint::max();
    for (const BatchPick &pick : dispatched.batch) {
        earliestSince = std::min(earliestSince, pick.waitingSince);
        calls.push_back(PieceCall{&pick.run->task(), pick.piece});
        latestDeadline = std::max(latestDeadline, pick.run->task().deadline);
    }
    const Duration declared = declaredTime(dispatched.capacity, calls.size());
    const TimePoint began = m_dependencies.clock.now();
    const auto timeout = std::chrono::duration_cast<Duration>(declared * m_settings.callTimeoutFactor) + m_settings.callTimeoutBase;
    const auto reply = m_dependencies.channel.run(dispatched.instance, calls, began, std::min(latestDeadline, began + timeout));
    const TimePoint ended = m_dependencies.clock.now();
    const bool answered = reply.has_value();
    if (answered || reply.error().code == ErrorCode::ServerBusy || reply.error().code == ErrorCode::ServerRejected) {
        m_dependencies.instances.recordStatement(dispatched.instance.id, answered ? reply->statement : reply.error().statement);
    }
    {
        const Lock lock(m_mutex);
        InstanceState &state = m_instanceStates[dispatched.instance.id];
        state.calls -= state.calls > 0 ? 1 : 0;
        for (std::size_t i = 0; i < dispatched.batch.size(); ++i) {
            const std::size_t bytes = dispatched.batch[i].run->task().resultBytes;
            state.reservedBytes -= std::min(state.reservedBytes, bytes);
            if (answered && reply->outcomes.at(i).error == PieceError::None) {
                recordResultLocked(dispatched.instance.id, reply->outcomes[i].handle, bytes, dispatched.capacity.resultLifetime);
            }
        }
        if (answered || reply.error().code == ErrorCode::ServerTimeout) {
            const double measured = std::chrono::duration<double>(ended - began) / std::chrono::duration<double>(declared);
            state.slowness = slownessOf(state, ended) * SlownessPastWeight + measured * (1.0 - SlownessPastWeight);
            state.measuredAt = ended;
        }
    }
    logEvent(LogLevel::Info, "stage.call",
             {{"service", dispatched.instance.service},
              {"instance", dispatched.instance.id},
              {"first_request", calls.front().task->request},
              {"pieces", static_cast<std::uint64_t>(calls.size())},
              {"error", answered ? 0 : static_cast<int>(reply.error().code)},
              {"room_bytes", static_cast<std::uint64_t>(dispatched.freeResultBytes)},
              {"left_waiting", static_cast<std::uint64_t>(dispatched.leftWaiting)},
              {"waited_ms", began - earliestSince},
              {"declared_ms", declared},
              {"took_ms", ended - began}});
    m_dependencies.metrics.histogram("vanillanotch_stage_call_seconds").record(ended - began);
    m_dependencies.metrics.counter("vanillanotch_stage_pieces_total").add(calls.size());
    if (answered) {
        handleReply(key, dispatched, *reply);
    } else {
        handleFailure(key, dispatched, reply.error());
    }
    dispatch(key);
}

void StageScheduler::handleReply(const QueueKey &key, const Dispatch &dispatched, const BatchReply &reply)
{
    m_dependencies.instances.recordLoad(dispatched.instance.id, reply.load);
    m_dependencies.instances.report(dispatched.instance.id, InstanceCallOutcome::Succeeded, Duration::zero());
    std::vector<BatchPick> repeated;
    std::vector<std::string> unused;
    bool storageFull = false;
    for (std::size_t i = 0; i < dispatched.batch.size(); ++i) {
        const BatchPick &pick = dispatched.batch[i];
        const PieceOutcome &outcome = reply.outcomes.at(i);
        switch (outcome.error) {
        case PieceError::None:
            if (!pick.run->completePiece(pick.piece, outcome.handle)) {
                unused.push_back(outcome.handle);
                const auto earlier = pick.run->takeUnused();
                unused.insert(unused.end(), earlier.begin(), earlier.end());
            }
            break;
        case PieceError::DeadlineExceeded:
            failRun(pick.run, ErrorCode::DeadlineExceeded);
            break;
        case PieceError::InputMissing:
            failRun(pick.run, ErrorCode::InputsGone);
            break;
        case PieceError::ResultStorageFull:
            storageFull = true;
            repeated.push_back(pick);
            break;
        case PieceError::Failed:
            repeated.push_back(pick);
            break;
        }
    }
    release(unused);
    if (storageFull) {
        const Lock lock(m_mutex);
        const TimePoint now = m_dependencies.clock.now();
        InstanceState &state = m_instanceStates[dispatched.instance.id];
        state.blockedUntil = now + m_settings.busyBackoff;
        const std::size_t known = state.storedBytes + state.reservedBytes;
        state.unknownBytes = dispatched.capacity.resultCapacityBytes - std::min(known, dispatched.capacity.resultCapacityBytes);
        state.unknownAt = now;
    }
    requeue(key, repeated, !storageFull);
}

void StageScheduler::handleFailure(const QueueKey &key, const Dispatch &dispatched, const StageCallFailure &failure)
{
    const bool busy = failure.code == ErrorCode::ServerBusy;
    const bool wrongInstance = failure.code == ErrorCode::WrongInstance;
    const Duration backoff = busy ? m_settings.busyBackoff : m_settings.failureBackoff;
    {
        const Lock lock(m_mutex);
        m_instanceStates[dispatched.instance.id].blockedUntil = m_dependencies.clock.now() + backoff;
    }
    if (!busy && !wrongInstance) {
        m_dependencies.instances.report(dispatched.instance.id, InstanceCallOutcome::Unreachable, Duration::zero());
    }
    std::vector<BatchPick> repeated = dispatched.batch;
    if (failure.crashed) {
        std::map<StageRun *, bool> mayRepeat;
        for (const BatchPick &pick : dispatched.batch) {
            if (mayRepeat.count(pick.run.get()) == 0) {
                mayRepeat[pick.run.get()] = recordCrash(dispatched, pick.run);
            }
        }
        repeated.erase(std::remove_if(repeated.begin(), repeated.end(),
                                      [&mayRepeat](const BatchPick &pick) {
                                          return !mayRepeat[pick.run.get()];
                                      }),
                       repeated.end());
    }
    requeue(key, repeated, failure.maybeSent);
}

bool StageScheduler::recordCrash(const Dispatch &dispatched, const Ref<StageRun> &run)
{
    const StageTask &task = run->task();
    run->isolate();
    if (task.crashTrait.empty()) {
        return true;
    }
    const RequestTraits traits{{}, task.crashTrait};
    m_dependencies.crashGuard.recordCrash(dispatched.instance.process(), traits);
    if (task.isProbe || m_dependencies.crashGuard.blocks(traits)) {
        failRun(run, ErrorCode::SuspectRefused);
        return false;
    }
    return true;
}

} // namespace vanillanotch
