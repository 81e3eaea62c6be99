// vanillanotch journal library: non-idempotent requests run at most once.
//
// A row per (client account, idempotency key) in the platform's table goes through
//   reserved (token, body digest) -> started (attempt) -> finished (answer).
// Each step is a conditional write on the row's version. The stage that may not be repeated is sent only after
// `started` is known to have taken effect. Whoever takes a reserved row over changes its token and so its version:
// the former holder's start() then fails, however long it was paused and whatever its clock says.
#pragma once

#include "base/base.h"

#include <optional>

namespace vanillanotch
{

enum class JournalState { Reserved, Started, Finished };

struct JournalKey {
    std::string account;
    std::string key; // the caller's idempotency key
};

struct JournalEntry {
    JournalState state = JournalState::Reserved;
    std::string holderToken; // of the holder
    std::string bodyDigest;
    std::string attempt; // from `started` on
    WallTime expiresAt{}; // a reserved row may be taken over after this
    std::string answer; // of a finished row, encoded
};

struct JournalRow {
    JournalEntry entry;
    std::uint64_t version = 0;
};

// Where rows are kept; errors as of Table.
class JournalStore
{
public:
    virtual ~JournalStore() = default;
    virtual Result<std::optional<JournalRow>> read(const JournalKey &key) = 0;
    virtual Result<void> write(const JournalKey &key, const JournalEntry &entry, std::uint64_t expectedVersion) = 0;
};

struct JournalSettings {
    int maxAttempts = 4; // for each step
    std::chrono::milliseconds initialBackoff{40}; // between two tries; doubles
    std::chrono::milliseconds takeoverMargin{1000}; // past a reservation's end
};

// The holder's hold on a row.
struct Reservation {
    JournalKey key;
    JournalEntry entry;
    std::uint64_t version = 0;
};

struct ReserveResult {
    Reservation reservation;
    std::optional<std::string> answer; // the key was finished before: give this answer again
};

// Waits between two tries; a test's implementation doesn't.
class BackoffSleeper
{
public:
    virtual ~BackoffSleeper() = default;
    virtual void wait(Duration duration) = 0;
};

class Journal
{
public:
    Journal(JournalStore &store, const Clock &clock, BackoffSleeper &pause, JournalSettings settings = {});

    // KeyReused, KeyInProgress, KeyOutcomeUnknown, PlatformUnavailable.
    Result<ReserveResult> reserve(const JournalKey &key, const std::string &bodyDigest, Duration holdFor);
    // After success the attempt may be sent, once. ReservationLost or PlatformUnavailable: it must not be sent.
    Result<void> start(Reservation &reservation, const std::string &attempt);
    // After start(), when it is certain that nothing was sent. Best effort.
    Result<void> release(Reservation &reservation);
    Result<void> finish(Reservation &reservation, const std::string &answer);

private:
    // Writes `next` over the reservation's version; settles lost answers by reading back.
    Result<void> advance(Reservation &reservation, JournalEntry next);
    std::optional<Error> settle(Reservation &reservation, const JournalEntry &next);
    Result<std::optional<ReserveResult>> judgeExisting(const JournalKey &key, const std::string &bodyDigest, const JournalRow &row, JournalEntry mine);

    JournalStore &m_store;
    const Clock &m_clock;
    BackoffSleeper &m_pause;
    JournalSettings m_settings;
};

} // namespace vanillanotch
