#include "stages/stages.h"

#include <algorithm>
#include <limits>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// StageRun
//-----------------------------------------------------------------------------

StageRun::StageRun(StageTask task, Ref<WakeupSignal> progress)
    : m_task(std::move(task))
    , m_progress(std::move(progress))
    , m_handles(m_task.pieces)
    , m_attempts(m_task.pieces, 0)
    , m_missing(m_task.pieces)
{
}

void StageRun::cancel()
{
    Ref<WakeupSignal> signal;
    {
        const Lock lock(m_mutex);
        m_cancelled = true;
        signal = m_cancelSignal;
    }
    if (signal) {
        signal->raise();
    }
}

bool StageRun::cancelled() const
{
    const Lock lock(m_mutex);
    return m_cancelled;
}

Ref<WakeupSignal> StageRun::cancelSignal()
{
    auto created = makeRef<WakeupSignal>();
    const Lock lock(m_mutex);
    if (!m_cancelSignal) {
        m_cancelSignal = std::move(created);
        if (m_cancelled) {
            m_cancelSignal->raise();
        }
    }
    return m_cancelSignal;
}

std::optional<Result<std::vector<std::string>>> StageRun::outcome() const
{
    const Lock lock(m_mutex);
    if (m_error) {
        return Result<std::vector<std::string>>(vanillanotch::fail(*m_error));
    }
    if (m_missing > 0) {
        return std::nullopt;
    }
    return Result<std::vector<std::string>>(m_handles);
}

bool StageRun::completePiece(unsigned piece, const std::string &handle)
{
    bool last = false;
    {
        const Lock lock(m_mutex);
        if (m_cancelled || m_error || !m_handles.at(piece).empty()) {
            return false;
        }
        m_handles.at(piece) = handle;
        last = --m_missing == 0;
    }
    if (last) {
        m_progress->raise();
    }
    return true;
}

void StageRun::fail(ErrorCode code)
{
    {
        const Lock lock(m_mutex);
        if (m_error || m_missing == 0) {
            return;
        }
        m_error = code;
    }
    m_progress->raise();
}

void StageRun::isolate()
{
    m_isolated = true;
}

bool StageRun::isolated() const
{
    return m_isolated;
}

unsigned StageRun::countAttempt(unsigned piece)
{
    const Lock lock(m_mutex);
    return ++m_attempts.at(piece);
}

std::vector<std::string> StageRun::takeUnused()
{
    std::vector<std::string> unused;
    const Lock lock(m_mutex);
    if (!m_error && !m_cancelled) {
        return unused;
    }
    for (std::string &handle : m_handles) {
        if (!handle.empty()) {
            unused.push_back(std::move(handle));
            handle.clear();
        }
    }
    return unused;
}

std::size_t instanceGroupOf(const std::vector<std::string> &dataCentres, const std::string &dataCentre, std::size_t groups)
{
    const auto position = static_cast<std::size_t>(std::distance(dataCentres.begin(), std::lower_bound(dataCentres.begin(), dataCentres.end(), dataCentre)));
    return position % std::max<std::size_t>(1, std::min(groups, dataCentres.size()));
}

//-----------------------------------------------------------------------------
// Batches
//-----------------------------------------------------------------------------

bool moreUrgent(const StageTask &a, const StageTask &b, TimePoint now, const BatchSettings &settings)
{
    const auto rank = [&](const StageTask &task) {
        return std::max(task.target, task.target > now ? task.target : now + settings.latePenalty) + settings.priorityStep * task.priority;
    };
    const TimePoint aRank = rank(a);
    const TimePoint bRank = rank(b);
    return aRank != bRank ? aRank < bRank : a.deadline < b.deadline;
}

namespace
{
// True when the pieces should wait for an instance in their preferred data centre: one is expected to be free soon, the pieces haven't
// waited too long yet, and running them at the instance `view` would send much data between data centres.
bool waitsForLocalInstance(const PendingPieces &pending, const StageInstanceView &view, const EarliestFreeTimes &earliestFree, TimePoint now,
                           const BatchSettings &settings)
{
    const StageTask &task = pending.run->task();
    if (task.dataCentre.empty() || task.dataCentre == view.dataCentre || task.crossDataCentreBytes < settings.largeTransferBytes) {
        return false;
    }
    const auto found = earliestFree.find(task.dataCentre);
    const Duration wait = settings.localFreeWithin + settings.localFreeWithinPerPriority * std::max(0, task.priority);
    if (found == earliestFree.end() || found->second - now > wait) {
        return false;
    }
    const auto maxWaitByShare = std::chrono::duration_cast<Duration>((task.target - pending.waitingSince) * settings.localWaitShare);
    return now - pending.waitingSince < std::min<Duration>(settings.localMaxWait, maxWaitByShare);
}
} // namespace

void ThroughputMeter::markIdle(TimePoint now)
{
    m_waitingSince = now;
}

void ThroughputMeter::recordStarted(TimePoint now, std::size_t pieces)
{
    m_started.emplace_back(now, pieces);
}

double ThroughputMeter::piecesPerSecond(double declared, TimePoint now)
{
    while (!m_started.empty() && m_started.front().first < now - Window) {
        m_started.pop_front();
    }
    if (now - m_waitingSince < Window) {
        return declared;
    }
    std::size_t pieces = 0;
    for (const auto &[at, count] : m_started) {
        pieces += count;
    }
    const double measured = static_cast<double>(pieces) / std::chrono::duration<double>(Window).count();
    return std::max(measured, declared * MinimumShare);
}

std::vector<ShedRun> shedLate(std::vector<PendingPieces> &queue, const StageThroughput &throughput, TimePoint now, const BatchSettings &settings)
{
    const auto timeFor = [&throughput](std::size_t pieces) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(pieces) / throughput.piecesPerSecond));
    };
    std::vector<const PendingPieces *> sorted;
    std::size_t onTimePieces = 0;
    for (const PendingPieces &pending : queue) {
        sorted.push_back(&pending);
        onTimePieces += pending.run->task().target > now ? pending.pieces.size() : 0;
    }
    std::stable_sort(sorted.begin(), sorted.end(), [&](const PendingPieces *a, const PendingPieces *b) {
        return moreUrgent(a->run->task(), b->run->task(), now, settings);
    });
    const bool largeBacklog = timeFor(onTimePieces) > settings.shed.onTimeBacklog;
    std::vector<ShedRun> shed;
    std::size_t piecesAhead = 0;
    for (const PendingPieces *pending : sorted) {
        const StageTask &candidate = pending->run->task();
        const Duration wait = timeFor(piecesAhead);
        const bool late = candidate.target <= now + wait + throughput.batchTime;
        const bool overdue = now - candidate.target > settings.shed.overdueThreshold && largeBacklog;
        if (late && !candidate.endsChain && (wait > settings.shed.waitThreshold || overdue)) {
            shed.push_back(ShedRun{pending->run, wait});
        } else {
            piecesAhead += pending->pieces.size();
        }
    }
    queue.erase(std::remove_if(queue.begin(), queue.end(),
                               [&shed](const PendingPieces &pending) {
                                   return std::any_of(shed.begin(), shed.end(), [&pending](const ShedRun &shedRun) {
                                       return shedRun.run.get() == pending.run.get();
                                   });
                               }),
                queue.end());
    return shed;
}

std::vector<BatchPick> planBatch(std::vector<PendingPieces> &queue, const StageInstanceView &view, const EarliestFreeTimes &earliestFree, std::size_t maxBatch,
                                 TimePoint now, const BatchSettings &settings)
{
    queue.erase(std::remove_if(queue.begin(), queue.end(),
                               [](const PendingPieces &pending) {
                                   return pending.pieces.empty() || pending.run->cancelled();
                               }),
                queue.end());
    std::vector<PendingPieces *> eligible;
    bool longWaitExists = false;
    for (PendingPieces &pending : queue) {
        if (!pending.run->task().scope.allows(view.dataCentre) || waitsForLocalInstance(pending, view, earliestFree, now, settings)) {
            continue;
        }
        longWaitExists = longWaitExists || now - pending.waitingSince >= settings.slowInstanceWait;
        eligible.push_back(&pending);
    }
    if (view.slowness > settings.slowInstanceFactor && !longWaitExists) {
        return {};
    }
    std::stable_sort(eligible.begin(), eligible.end(), [&](const PendingPieces *a, const PendingPieces *b) {
        return moreUrgent(a->run->task(), b->run->task(), now, settings);
    });
    const auto isolated = [](const PendingPieces *pending) {
        return pending->run->isolated();
    };
    if (!eligible.empty() && isolated(eligible.front())) {
        eligible.resize(1);
    } else {
        eligible.erase(std::remove_if(eligible.begin(), eligible.end(), isolated), eligible.end());
    }
    std::vector<BatchPick> picks;
    std::size_t freeBytes = view.freeResultBytes == 0 ? std::numeric_limits<std::size_t>::max() : view.freeResultBytes;
    const auto fits = [&freeBytes](const PendingPieces &pending) {
        return pending.pieces.size() * pending.run->task().resultBytes <= freeBytes;
    };
    std::size_t waiting = 0;
    for (const PendingPieces *pending : eligible) {
        waiting += pending->pieces.size();
    }
    const auto take = [&](PendingPieces &pending) {
        const std::size_t bytes = pending.run->task().resultBytes;
        while (!pending.pieces.empty() && picks.size() < maxBatch && bytes <= freeBytes) {
            picks.push_back(BatchPick{pending.run, pending.pieces.back(), pending.waitingSince});
            pending.pieces.pop_back();
            freeBytes -= bytes;
        }
    };
    for (PendingPieces *pending : eligible) {
        const bool fitsWhole = picks.size() + pending->pieces.size() <= maxBatch && fits(*pending);
        if (fitsWhole || (picks.empty() && pending->pieces.size() > maxBatch)) {
            take(*pending);
        }
    }
    // The pieces of one request read the same inputs. If the pieces are split over two instances, the inputs are fetched
    // twice. So runs are split only when enough pieces for two full batches wait.
    if (waiting >= 2 * maxBatch) {
        for (PendingPieces *pending : eligible) {
            take(*pending);
        }
    }
    return picks;
}

//-----------------------------------------------------------------------------
// ResultReleaser
//-----------------------------------------------------------------------------

std::string addressOfHandle(const std::string &handle)
{
    const std::size_t slash = handle.find('/');
    return slash == std::string::npos ? std::string() : handle.substr(0, slash);
}

ResultReleaser::ResultReleaser(StageChannel &channel, TimerQueue &timers, GrowingPool &pool, ReleaseSettings settings)
    : m_channel(channel)
    , m_timers(timers)
    , m_pool(pool)
    , m_settings(settings)
{
}

void ResultReleaser::setListener(ResultListener *listener)
{
    m_listener = listener;
}

void ResultReleaser::release(const std::vector<std::string> &handles)
{
    bool schedule = false;
    {
        const Lock lock(m_mutex);
        for (const std::string &handle : handles) {
            if (const std::string address = addressOfHandle(handle); !address.empty()) {
                m_byAddress[address].push_back(handle);
            }
        }
        schedule = !m_scheduled && !m_byAddress.empty();
        m_scheduled = m_scheduled || schedule;
    }
    if (schedule) {
        m_timers.after(m_settings.interval, [this] {
            flush();
        });
    }
}

void ResultReleaser::flush()
{
    std::map<std::string, std::vector<std::string>> all;
    {
        const Lock lock(m_mutex);
        all.swap(m_byAddress);
        m_scheduled = false;
    }
    for (auto &[address, handles] : all) {
        m_pool.post([this, address = address, handles = std::move(handles)] {
            if (const auto released = m_channel.release(address, handles, std::chrono::steady_clock::now() + m_settings.callTimeout); !released) {
                // The call isn't repeated: the instance removes the results when their lifetime ends, and no caller waits for the release.
                logEvent(LogLevel::Debug, "results.release_failed", {{"address", address}, {"error", released.error().code}});
            } else if (m_listener != nullptr) {
                m_listener->onReleased(handles);
            }
        });
    }
}

} // namespace vanillanotch
