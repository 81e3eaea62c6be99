#include "watch/watch.h"

#include "deployment/deployment.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr std::chrono::milliseconds AnswerReserve{250}; // for the first answer after a fault, and for applying it on a busy VM
constexpr std::chrono::milliseconds MinLongPollWait{200};
} // namespace

WatchSettings watchSettings(std::chrono::milliseconds bound, std::chrono::milliseconds coalesceInterval)
{
    // A call that is begun during an outage takes replyTimeout, and the pause after it up to maxBackoff; the open call takes longPollWait and
    // replyTimeout, and the pause after it up to initialBackoff.
    WatchSettings settings;
    settings.coalesceInterval = coalesceInterval;
    settings.replyTimeout = std::min(settings.replyTimeout, bound * 2 / 5);
    settings.initialBackoff = std::min(settings.initialBackoff, bound / 20);
    settings.maxBackoff = std::min(settings.maxBackoff, bound / 4);
    settings.longPollWait = std::max(MinLongPollWait, bound - settings.replyTimeout - settings.initialBackoff - coalesceInterval - AnswerReserve);
    return settings;
}

ReplyLimits storeReplyLimits(std::chrono::milliseconds wait, Duration timeout)
{
    return ReplyLimits{wait + timeout, timeout, LongestTransfer};
}

PollSchedule::PollSchedule(WatchSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_longestPause(settings.initialBackoff)
    , m_generator(seed)
{
}

std::chrono::milliseconds PollSchedule::wait() const
{
    return m_failed ? std::chrono::milliseconds(0) : m_settings.longPollWait;
}

Duration PollSchedule::recordAnswer(bool hadChanges)
{
    m_failed = false;
    m_longestPause = m_settings.initialBackoff;
    return hadChanges ? Duration(m_settings.coalesceInterval) : Duration::zero();
}

Duration PollSchedule::recordFailure()
{
    m_failed = true;
    const double fraction = std::uniform_real_distribution<double>(0.5, 1.0)(m_generator);
    const auto pause = std::chrono::duration_cast<Duration>(m_longestPause * fraction);
    m_longestPause = std::min<Duration>(m_settings.maxBackoff, m_longestPause * 2);
    return pause;
}

TableWatch::TableWatch(StateStore &store, std::string table, TableListener &listener, TableCache *cache, StoreHealth &storeHealth, WatchSettings settings,
                       MetricsRegistry &metrics)
    : m_store(store)
    , m_table(std::move(table))
    , m_listener(listener)
    , m_cache(cache)
    , m_storeHealth(storeHealth)
    , m_settings(settings)
    , m_calls(metrics.counter("vanillanotch_store_calls_total", "table=\"" + m_table + "\""))
    , m_failures(metrics.counter("vanillanotch_store_failures_total", "table=\"" + m_table + "\""))
    , m_schedule(settings, std::random_device{}())
    , m_lastAnswerAt(suspendAwareNow())
{
}

TableWatch::~TableWatch()
{
    stop();
}

void TableWatch::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void TableWatch::stop()
{
    {
        const Lock lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void TableWatch::run()
{
    for (;;) {
        pause(step());
        const Lock lock(m_mutex);
        if (m_stopping) {
            return;
        }
    }
}

void TableWatch::pause(Duration duration)
{
    if (duration > Duration::zero()) {
        Lock lock(m_mutex);
        m_wake.wait_for(lock, duration, [this] {
            return m_stopping;
        });
    }
}

void StoreHealth::recordFailure(TimePoint failingAt)
{
    const Lock lock(m_mutex);
    m_failingAt = std::max(m_failingAt, failingAt);
    m_answers.erase(m_answers.begin(), m_answers.upper_bound(m_failingAt));
}

void StoreHealth::recordAnswer(TimePoint asOf)
{
    const Lock lock(m_mutex);
    const auto next = m_answers.upper_bound(asOf);
    const bool near = next != m_answers.begin() && asOf - *std::prev(next) < MinAnswerDistance;
    if (asOf <= m_failingAt || near) {
        return;
    }
    m_answers.insert(asOf);
    if (m_answers.size() > MaxAnswers) {
        m_answers.erase(std::next(m_answers.begin())); // the first one is the present result of worksFor()
    }
}

Duration StoreHealth::worksFor(TimePoint now) const
{
    const Lock lock(m_mutex);
    if (m_failingAt == TimePoint{}) {
        return Duration::max();
    }
    return m_answers.empty() ? Duration::zero() : now - *m_answers.begin();
}

TimePoint StoreClockMapping::earliestAnswerTime(Duration storeClock, TimePoint asked, TimePoint received)
{
    if (storeClock < m_lastReading) {
        m_minOffset.reset(); // the store's clock went back, so the store was restarted or replaced, and the known offset is no longer valid
    }
    m_lastReading = storeClock;
    const Duration minOffset = asked.time_since_epoch() - storeClock;
    m_minOffset = std::max(m_minOffset.value_or(minOffset), minOffset);
    return std::clamp(TimePoint(storeClock + *m_minOffset), asked, received);
}

// A store that avoids its sources for a while has made the pause that limits the rate of calls; a further one on top of it would only delay the next.
Duration TableWatch::pauseAfterFailure()
{
    const Duration pause = m_schedule.recordFailure();
    const Duration untilCallable = m_store.callableAt(m_table) - suspendAwareNow();
    return untilCallable > Duration::zero() ? untilCallable : pause;
}

Duration TableWatch::step()
{
    const TimePoint requestedAt = suspendAwareNow();
    m_calls.add();
    const bool whole = !m_position;
    const auto rows =
        whole ? m_store.readTable(m_table, m_settings.replyTimeout) : m_store.awaitChanges(m_table, *m_position, m_schedule.wait(), m_settings.replyTimeout);
    if (!rows) {
        if (rows.error().code == ErrorCode::StoreHistoryGone) {
            const StorePosition position = m_position.value_or(StorePosition());
            logEvent(LogLevel::Warning, "store.history_gone", {{"table", m_table}, {"era", position.era()}, {"version", position.version()}});
            m_position.reset();
            return m_schedule.recordAnswer(false);
        }
        m_failures.add();
        // A call that got no answer may have been lost as soon as it was made; one that was refused shows the store's state now.
        m_storeHealth.recordFailure(rows.error().code == ErrorCode::StoreRefused ? suspendAwareNow() : requestedAt);
        m_failuresInARow = m_unreachable ? m_failuresInARow : 0;
        logEvent(m_unreachable ? LogLevel::Info : LogLevel::Warning, m_unreachable ? "store.call_failed" : "store.lost",
                 {{"table", m_table},
                  {"error", rows.error().code},
                  {"detail", rows.error().detail},
                  {"call_ms", suspendAwareNow() - requestedAt},
                  {"since_answer_ms", suspendAwareNow() - m_lastAnswerAt}});
        ++m_failuresInARow;
        m_lastError = rows.error().code;
        m_unreachable = true;
        return pauseAfterFailure();
    }
    const TimePoint answeredAt = suspendAwareNow();
    if (m_unreachable) {
        logEvent(LogLevel::Info, "store.regained",
                 {{"table", m_table},
                  {"era", rows->position.era()},
                  {"version", rows->position.version()},
                  {"failures", m_failuresInARow},
                  {"last_error", m_lastError},
                  {"call_ms", answeredAt - requestedAt},
                  {"since_answer_ms", answeredAt - m_lastAnswerAt}});
        m_unreachable = false;
    }
    m_lastAnswerAt = answeredAt;
    const TimePoint asOf = rows->asOf ? *rows->asOf : m_storeClock.earliestAnswerTime(rows->storeClock, requestedAt, suspendAwareNow());
    if (m_cache != nullptr) {
        m_cache->apply(*rows, whole, asOf);
    }
    m_storeHealth.recordAnswer(asOf);
    const Duration storeWorksFor = m_storeHealth.worksFor(suspendAwareNow());
    if (whole) {
        m_listener.snapshot(*rows, asOf, storeWorksFor);
    } else {
        m_listener.changes(*rows, asOf, storeWorksFor);
    }
    m_position = whole ? rows->position : StorePosition::furthest(*m_position, rows->position);
    return m_schedule.recordAnswer(!rows->rows.empty());
}

} // namespace vanillanotch
