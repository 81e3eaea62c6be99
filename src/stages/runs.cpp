#include "stages/stages.h"

#include <algorithm>
#include <limits>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// StageRun
//-----------------------------------------------------------------------------

StageRun::StageRun(StageTask order, Ref<WakeupSignal> progress)
    : m_order(std::move(order))
    , m_progress(std::move(progress))
    , m_handles(m_order.pieces)
    , m_attempts(m_order.pieces, 0)
    , m_missing(m_order.pieces)
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

std::size_t instanceGroupOf(const std::vector<InstanceSpec> &instances, const std::string &dataCentre, std::size_t groups)
{
    std::set<std::string> dataCentres;
    for (const InstanceSpec &instance : instances) {
        dataCentres.insert(instance.dataCentre);
    }
    const auto position = static_cast<std::size_t>(std::distance(dataCentres.begin(), dataCentres.lower_bound(dataCentre)));
    return position % std::max<std::size_t>(1, std::min(groups, dataCentres.size()));
}

//-----------------------------------------------------------------------------
// Batches
//-----------------------------------------------------------------------------

bool moreUrgent(const StageTask &a, const StageTask &b, TimePoint now, const BatchSettings &settings)
{
    const auto rank = [&](const StageTask &order) {
        return std::max(order.target, order.target > now ? order.target : now + settings.latePenalty) + settings.priorityStep * order.priority;
    };
    const TimePoint aRank = rank(a);
    const TimePoint bRank = rank(b);
    return aRank != bRank ? aRank < bRank : a.deadline < b.deadline;
}

namespace
{
// Whether the work is better off with a lane in its own data centre, which will soon be free.
bool waitsForNearby(const PendingPieces &work, const StageInstanceView &lane, const EarliestFreeTimes &nearby, TimePoint now, const BatchSettings &settings)
{
    const StageTask &order = work.run->task();
    if (order.dataCentre.empty() || order.dataCentre == lane.dataCentre || order.crossDataCentreBytes < settings.largeTransferBytes) {
        return false;
    }
    const auto found = nearby.find(order.dataCentre);
    const Duration wait = settings.localFreeWithin + settings.localFreeWithinPerPriority * std::max(0, order.priority);
    if (found == nearby.end() || found->second - now > wait) {
        return false;
    }
    const auto slack = std::chrono::duration_cast<Duration>((order.target - work.since) * settings.localWaitShare);
    return now - work.since < std::min<Duration>(settings.localMaxWait, slack);
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
    return std::max(measured, declared * LeastShare);
}

std::vector<ShedRun> shedLate(std::vector<PendingPieces> &queue, const StageThroughput &speed, TimePoint now, const BatchSettings &settings)
{
    const auto timeFor = [&speed](std::size_t pieces) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(pieces) / speed.piecesPerSecond));
    };
    std::vector<const PendingPieces *> order;
    std::size_t onTime = 0;
    for (const PendingPieces &work : queue) {
        order.push_back(&work);
        onTime += work.run->task().target > now ? work.pieces.size() : 0;
    }
    std::stable_sort(order.begin(), order.end(), [&](const PendingPieces *a, const PendingPieces *b) {
        return moreUrgent(a->run->task(), b->run->task(), now, settings);
    });
    const bool onTimeWaits = timeFor(onTime) > settings.shed.onTimeBacklog;
    std::vector<ShedRun> shed;
    std::size_t ahead = 0;
    for (const PendingPieces *work : order) {
        const StageTask &own = work->run->task();
        const Duration wait = timeFor(ahead);
        const bool late = own.target <= now + wait + speed.batchTime;
        const bool tooLate = now - own.target > settings.shed.overdueThreshold && onTimeWaits;
        if (late && !own.endsChain && (wait > settings.shed.waitThreshold || tooLate)) {
            shed.push_back(ShedRun{work->run, wait});
        } else {
            ahead += work->pieces.size();
        }
    }
    queue.erase(std::remove_if(queue.begin(), queue.end(),
                               [&shed](const PendingPieces &work) {
                                   return std::any_of(shed.begin(), shed.end(), [&work](const ShedRun &gone) {
                                       return gone.run.get() == work.run.get();
                                   });
                               }),
                queue.end());
    return shed;
}

std::vector<BatchPick> planBatch(std::vector<PendingPieces> &queue, const StageInstanceView &lane, const EarliestFreeTimes &nearby, std::size_t batch,
                                 TimePoint now, const BatchSettings &settings)
{
    queue.erase(std::remove_if(queue.begin(), queue.end(),
                               [](const PendingPieces &work) {
                                   return work.pieces.empty() || work.run->cancelled();
                               }),
                queue.end());
    std::vector<PendingPieces *> eligible;
    bool waitedLong = false;
    for (PendingPieces &work : queue) {
        if (waitsForNearby(work, lane, nearby, now, settings)) {
            continue;
        }
        waitedLong = waitedLong || now - work.since >= settings.slowInstanceWait;
        eligible.push_back(&work);
    }
    if (lane.slowness > settings.slowInstanceFactor && !waitedLong) {
        return {};
    }
    std::stable_sort(eligible.begin(), eligible.end(), [&](const PendingPieces *a, const PendingPieces *b) {
        return moreUrgent(a->run->task(), b->run->task(), now, settings);
    });
    std::vector<BatchPick> picks;
    std::size_t room = lane.freeResultBytes == 0 ? std::numeric_limits<std::size_t>::max() : lane.freeResultBytes;
    const auto fits = [&room](const PendingPieces &work) {
        return work.pieces.size() * work.run->task().resultBytes <= room;
    };
    std::size_t waiting = 0;
    for (const PendingPieces *work : eligible) {
        waiting += work->pieces.size();
    }
    const auto take = [&](PendingPieces &work) {
        const std::size_t bytes = work.run->task().resultBytes;
        while (!work.pieces.empty() && picks.size() < batch && bytes <= room) {
            picks.push_back(BatchPick{work.run, work.pieces.back(), work.since});
            work.pieces.pop_back();
            room -= bytes;
        }
    };
    for (PendingPieces *work : eligible) {
        const bool whole = picks.size() + work->pieces.size() <= batch && fits(*work);
        if (whole || (picks.empty() && work->pieces.size() > batch)) {
            take(*work);
        }
    }
    // Pieces of one request share their inputs: split, they are fetched twice.
    if (waiting >= 2 * batch) {
        for (PendingPieces *work : eligible) {
            take(*work);
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
                // The results end with their lifetime; nothing else depends on it.
                logEvent(LogLevel::Debug, "results.release_failed", {{"address", address}, {"error", released.error().code}});
            } else if (m_listener != nullptr) {
                m_listener->onReleased(handles);
            }
        });
    }
}

} // namespace vanillanotch
