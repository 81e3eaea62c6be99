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

Journal::Journal(JournalStore &store, const Clock &clock, BackoffSleeper &sleeper, JournalSettings settings)
    : m_store(store)
    , m_clock(clock)
    , m_sleeper(sleeper)
    , m_settings(settings)
{
}

Result<ReserveResult> Journal::reserve(const JournalKey &key, const std::string &bodyDigest, Duration holdFor)
{
    JournalEntry newEntry;
    newEntry.holderToken = randomId("token");
    newEntry.bodyDigest = bodyDigest;
    newEntry.expiresAt = m_clock.wallNow() + std::chrono::duration_cast<WallTime::duration>(holdFor);
    std::uint64_t expected = 0;
    Duration backoff = m_settings.initialBackoff;
    Error last{ErrorCode::PlatformUnavailable, {}};
    for (int attempt = 0; attempt < m_settings.maxAttempts; ++attempt) {
        const Result<void> written = m_store.write(key, newEntry, expected);
        if (written) {
            return ReserveResult{Reservation{key, newEntry, expected + 1}, std::nullopt};
        }
        last = written.error();
        if (last.code != ErrorCode::ConditionFailed) {
            m_sleeper.wait(backoff);
            backoff *= 2;
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
        if ((*row)->entry.holderToken == newEntry.holderToken) { // a write by this call took effect, only its reply was lost
            return ReserveResult{Reservation{key, (*row)->entry, (*row)->version}, std::nullopt};
        }
        const auto resolved = resolveExistingRow(key, bodyDigest, **row, newEntry);
        if (!resolved) {
            return tl::unexpected(resolved.error());
        }
        if (resolved->has_value()) {
            return **resolved;
        }
        expected = (*row)->version; // the other request's reservation has expired: take the row over with the next write
    }
    return fail(ErrorCode::PlatformUnavailable, last.detail);
}

Result<std::optional<ReserveResult>> Journal::resolveExistingRow(const JournalKey &key, const std::string &bodyDigest, const JournalRow &row,
                                                                 JournalEntry newEntry)
{
    const JournalEntry &entry = row.entry;
    if (entry.bodyDigest != bodyDigest) {
        return fail(ErrorCode::KeyReused, "the key was used before with another body");
    }
    const bool expired = m_clock.wallNow() > entry.expiresAt + m_settings.takeoverMargin;
    switch (entry.state) {
    case JournalState::Finished:
        return std::optional<ReserveResult>(ReserveResult{Reservation{key, std::move(newEntry), row.version}, entry.answer});
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
    Duration backoff = m_settings.initialBackoff;
    Error last{ErrorCode::PlatformUnavailable, {}};
    for (int attempt = 0; attempt < m_settings.maxAttempts; ++attempt) {
        // Repeating this write is safe: all attempts expect the same version, so at most one takes effect.
        const Result<void> written = m_store.write(reservation.key, next, reservation.version);
        if (written) {
            reservation.entry = std::move(next);
            ++reservation.version;
            return {};
        }
        last = written.error();
        if (last.code != ErrorCode::ConditionFailed) {
            m_sleeper.wait(backoff);
            backoff *= 2;
        }
        const auto problem = checkWritten(reservation, next);
        if (!problem) {
            return {}; // the write took effect, although the store reported an error
        }
        if (problem->code == ErrorCode::ReservationLost) {
            return tl::unexpected(*problem);
        }
    }
    return fail(ErrorCode::PlatformUnavailable, last.detail);
}

std::optional<Error> Journal::checkWritten(Reservation &reservation, const JournalEntry &next)
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
        return Error{ErrorCode::PlatformAnswerLost, "the write to the journal row has not taken effect so far"};
    }
    return Error{ErrorCode::ReservationLost, "another holder has taken the key over"};
}

} // namespace vanillanotch
