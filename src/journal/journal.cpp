#include "journal/journal.h"

namespace vanillanotch
{

namespace
{
bool sameStep(const JournalEntry &a, const JournalEntry &b)
{
    return a.state == b.state && a.holderToken == b.holderToken && a.attempt == b.attempt;
}
} // namespace

Journal::Journal(JournalStore &store, const Clock &clock, BackoffSleeper &pause, JournalSettings settings)
    : m_store(store)
    , m_clock(clock)
    , m_pause(pause)
    , m_settings(settings)
{
}

Result<ReserveResult> Journal::reserve(const JournalKey &key, const std::string &bodyDigest, Duration holdFor)
{
    JournalEntry mine;
    mine.holderToken = randomId("token");
    mine.bodyDigest = bodyDigest;
    mine.expiresAt = m_clock.wallNow() + std::chrono::duration_cast<WallTime::duration>(holdFor);
    std::uint64_t expected = 0;
    Duration pause = m_settings.initialBackoff;
    Error last{ErrorCode::PlatformUnavailable, {}};
    for (int attempt = 0; attempt < m_settings.maxAttempts; ++attempt) {
        const Result<void> written = m_store.write(key, mine, expected);
        if (written) {
            return ReserveResult{Reservation{key, mine, expected + 1}, std::nullopt};
        }
        last = written.error();
        if (last.code != ErrorCode::ConditionFailed) {
            m_pause.wait(pause);
            pause *= 2;
        }
        const auto row = m_store.read(key);
        if (!row) {
            last = row.error();
            continue;
        }
        if (!row->has_value()) {
            expected = 0;
            continue;
        }
        if ((*row)->entry.holderToken == mine.holderToken) { // the answer was lost, the write wasn't
            return ReserveResult{Reservation{key, (*row)->entry, (*row)->version}, std::nullopt};
        }
        const auto judged = judgeExisting(key, bodyDigest, **row, mine);
        if (!judged) {
            return tl::unexpected(judged.error());
        }
        if (judged->has_value()) {
            return **judged;
        }
        expected = (*row)->version; // an expired reservation: take it over
    }
    return fail(ErrorCode::PlatformUnavailable, last.detail);
}

Result<std::optional<ReserveResult>> Journal::judgeExisting(const JournalKey &key, const std::string &bodyDigest, const JournalRow &row, JournalEntry mine)
{
    const JournalEntry &entry = row.entry;
    if (entry.bodyDigest != bodyDigest) {
        return fail(ErrorCode::KeyReused, "the key was used before with another body");
    }
    const bool expired = m_clock.wallNow() > entry.expiresAt + m_settings.takeoverMargin;
    switch (entry.state) {
    case JournalState::Finished:
        return std::optional<ReserveResult>(ReserveResult{Reservation{key, std::move(mine), row.version}, entry.answer});
    case JournalState::Started:
        if (expired) {
            return fail(ErrorCode::KeyOutcomeUnknown, "a former attempt was started and its end was never recorded");
        }
        return fail(ErrorCode::KeyInProgress, "a former attempt is running");
    case JournalState::Reserved:
        if (!expired) {
            return fail(ErrorCode::KeyInProgress, "a former request with this key is running");
        }
        break;
    }
    return std::optional<ReserveResult>();
}

Result<void> Journal::start(Reservation &reservation, const std::string &attempt)
{
    JournalEntry next = reservation.entry;
    next.state = JournalState::Started;
    next.attempt = attempt;
    return advance(reservation, std::move(next));
}

Result<void> Journal::release(Reservation &reservation)
{
    JournalEntry next = reservation.entry;
    next.state = JournalState::Reserved;
    next.attempt.clear();
    next.expiresAt = m_clock.wallNow() - m_settings.takeoverMargin;
    return advance(reservation, std::move(next));
}

Result<void> Journal::finish(Reservation &reservation, const std::string &answer)
{
    JournalEntry next = reservation.entry;
    next.state = JournalState::Finished;
    next.answer = answer;
    return advance(reservation, std::move(next));
}

Result<void> Journal::advance(Reservation &reservation, JournalEntry next)
{
    Duration pause = m_settings.initialBackoff;
    Error last{ErrorCode::PlatformUnavailable, {}};
    for (int attempt = 0; attempt < m_settings.maxAttempts; ++attempt) {
        // Repeating this write is safe: all tries expect the same version, so at most one takes effect.
        const Result<void> written = m_store.write(reservation.key, next, reservation.version);
        if (written) {
            reservation.entry = std::move(next);
            ++reservation.version;
            return {};
        }
        last = written.error();
        if (last.code != ErrorCode::ConditionFailed) {
            m_pause.wait(pause);
            pause *= 2;
        }
        const auto verdict = settle(reservation, next);
        if (!verdict) {
            return {}; // it had taken effect
        }
        if (verdict->code == ErrorCode::ReservationLost) {
            return tl::unexpected(*verdict);
        }
    }
    return fail(ErrorCode::PlatformUnavailable, last.detail);
}

std::optional<Error> Journal::settle(Reservation &reservation, const JournalEntry &next)
{
    const auto row = m_store.read(reservation.key);
    if (!row) {
        return row.error();
    }
    const bool exists = row->has_value();
    if (exists && sameStep((*row)->entry, next)) {
        reservation.entry = next;
        reservation.version = (*row)->version;
        return std::nullopt;
    }
    if (exists && (*row)->version == reservation.version) {
        return Error{ErrorCode::PlatformAnswerLost, "the write has not taken effect so far"};
    }
    return Error{ErrorCode::ReservationLost, "another holder has taken the key over"};
}

} // namespace vanillanotch
