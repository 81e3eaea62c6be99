// vanillanotch journal library: makes non-idempotent requests run at most once.
//
// The platform is the service outside this project that stores data for all nodes. In one of its tables, each pair of client account and
// idempotency key has a row, which goes through these states (in parentheses: what is stored with the state):
//   reserved (holder's token, body digest) -> started (attempt) -> finished (answer).
// The holder of a row is the request that reserved it. Each step is a write on condition that the row's version is the expected one. The non-idempotent stage
// is sent only after the write of `started` is known to have taken effect. A request that takes over an expired reservation changes the row's token and
// version, so that start() of the former holder fails, however long the former holder was paused and whatever its clock says.
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
    std::string holderToken; // random id of the reservation, by which the holder recognises its own row
    std::string bodyDigest; // SHA-256 of pipeline name and input, hexadecimal
    std::string attempt; // id of the attempt; set in the states Started and Finished
    // End of the reservation. Until JournalSettings::takeoverMargin after it, another request with this key fails with KeyInProgress. Later, such
    // a request takes over the row if it is reserved, and fails with KeyOutcomeUnknown if it is started.
    WallTime expiresAt{};
    std::string answer; // the request's answer, encoded by the caller of Journal::finish(); set in the state Finished
};

struct JournalRow {
    JournalEntry entry;
    std::uint64_t version = 0; // of the row in the platform's table
};

// Stores the rows in the platform's table. Errors: PlatformUnavailable: the call had no effect; PlatformAnswerLost: it may have had one;
// PlatformReplyInvalid: the reply or the row can't be decoded.
class JournalStore
{
public:
    virtual ~JournalStore() = default;
    virtual Result<std::optional<JournalRow>> read(const JournalKey &key) = 0; // nullopt: there is no row
    // Writes the row if its version is expectedVersion (0: if there is no row yet). ConditionFailed: it has another version; nothing was written.
    virtual Result<void> write(const JournalKey &key, const JournalEntry &entry, std::uint64_t expectedVersion) = 0;
};

struct JournalSettings {
    int maxAttempts = 4; // most attempts to write a row, for each change of its state
    std::chrono::milliseconds initialBackoff{40}; // wait before the second attempt; doubles with each further one; no wait after ConditionFailed
    std::chrono::milliseconds takeoverMargin{1000}; // a reservation is taken over this long after its expiry at the earliest
};

// What the holder of a row needs to write the row's next state.
struct Reservation {
    JournalKey key;
    JournalEntry entry; // as the holder wrote it last
    std::uint64_t version = 0; // of the row; the next write expects it
};

struct ReserveResult {
    Reservation reservation; // must not be used if `answer` is set
    std::optional<std::string> answer; // encoded; set if an earlier request with this key has finished: return its answer again
};

// Waits between two attempts; implementations for tests return at once.
class BackoffSleeper
{
public:
    virtual ~BackoffSleeper() = default;
    virtual void wait(Duration duration) = 0;
};

class Journal
{
public:
    Journal(JournalStore &store, const Clock &clock, BackoffSleeper &sleeper, JournalSettings settings = {});

    // Reserves the key, or returns the answer if a request with this key has finished. holdFor: time until the reservation expires.
    // KeyReused: the key was used with another body. KeyInProgress: another request holds it. KeyOutcomeUnknown: an earlier attempt was
    // started, its reservation has expired, and its end was never recorded. PlatformUnavailable: the row could not be read or written.
    Result<ReserveResult> reserve(const JournalKey &key, const std::string &bodyDigest, Duration holdFor);
    // Records that the attempt is about to be sent. After success, the attempt may be sent once. ReservationLost or PlatformUnavailable:
    // the attempt must not be sent.
    Result<void> start(Reservation &reservation, const std::string &attempt);
    // Makes the key available to other requests again at once. Call it only when it is certain that the non-idempotent stage was not sent. If
    // release() fails after start() has succeeded, the row stays `started`.
    Result<void> release(Reservation &reservation);
    // Records the encoded answer, and that the request has finished. ReservationLost or PlatformUnavailable: the answer is possibly not recorded.
    Result<void> finish(Reservation &reservation, const std::string &answer);

private:
    // Writes `next` on condition of the reservation's version. If a write's reply was lost, reads the row to find out whether it took
    // effect.
    Result<void> advance(Reservation &reservation, JournalEntry next);
    // Reads the row after a failed write. nullopt: the write took effect. ReservationLost: another holder has the row, or there
    // is none any more. Any other error: the write may be tried again.
    std::optional<Error> checkWritten(Reservation &reservation, const JournalEntry &next);
    // Called by reserve() when the key has a row of another request. Returns an error, that request's recorded answer, or nullopt if the
    // row may be taken over.
    Result<std::optional<ReserveResult>> resolveExistingRow(const JournalKey &key, const std::string &bodyDigest, const JournalRow &row, JournalEntry newEntry);

    JournalStore &m_store;
    const Clock &m_clock;
    BackoffSleeper &m_sleeper;
    JournalSettings m_settings;
};

} // namespace vanillanotch
