#include "base/base.h"

#include <random>

#include <Poco/DigestEngine.h>
#include <Poco/RandomStream.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace vanillanotch
{

std::string_view errorName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::MalformedRequest:
        return "malformed_request";
    case ErrorCode::BodyTooLarge:
        return "body_too_large";
    case ErrorCode::HeaderTooLarge:
        return "header_too_large";
    case ErrorCode::UnknownPath:
        return "unknown_path";
    case ErrorCode::InvalidDeadline:
        return "invalid_deadline";
    case ErrorCode::ReadTimeout:
        return "read_timeout";
    case ErrorCode::MissingIdempotencyKey:
        return "missing_idempotency_key";
    case ErrorCode::InvalidIdempotencyKey:
        return "invalid_idempotency_key";
    case ErrorCode::MissingCredentials:
        return "missing_credentials";
    case ErrorCode::UnknownCredentials:
        return "unknown_credentials";
    case ErrorCode::PipelineNotAllowed:
        return "pipeline_not_allowed";
    case ErrorCode::UnknownPipeline:
        return "unknown_pipeline";
    case ErrorCode::NotReady:
        return "not_ready";
    case ErrorCode::ShuttingDown:
        return "shutting_down";
    case ErrorCode::AccountRateExceeded:
        return "account_rate_exceeded";
    case ErrorCode::AccountConcurrencyExceeded:
        return "account_concurrency_exceeded";
    case ErrorCode::DeadlineUnattainable:
        return "deadline_unattainable";
    case ErrorCode::SuspectRefused:
        return "suspect_refused";
    case ErrorCode::ConfigurationStale:
        return "configuration_stale";
    case ErrorCode::ServersLimited:
        return "servers_limited";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::UnknownRoute:
        return "unknown_route";
    case ErrorCode::NoFitServer:
        return "no_fit_server";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::CallerDisconnected:
        return "caller_gone";
    case ErrorCode::StreamUnknown:
        return "stream_unknown";
    case ErrorCode::StreamUnread:
        return "stream_unread";
    case ErrorCode::StreamVersionGone:
        return "stream_version_gone";
    case ErrorCode::ConnectFailed:
        return "connect_failed";
    case ErrorCode::ConnectionLost:
        return "connection_lost";
    case ErrorCode::ServerTimeout:
        return "server_timeout";
    case ErrorCode::ServerRejected:
        return "server_rejected";
    case ErrorCode::InvalidReply:
        return "invalid_reply";
    case ErrorCode::AttemptMismatch:
        return "attempt_mismatch";
    case ErrorCode::ServerBusy:
        return "server_busy";
    case ErrorCode::WrongInstance:
        return "wrong_instance";
    case ErrorCode::InputsGone:
        return "inputs_gone";
    case ErrorCode::KeyReused:
        return "key_reused";
    case ErrorCode::KeyInProgress:
        return "key_in_progress";
    case ErrorCode::KeyOutcomeUnknown:
        return "key_outcome_unknown";
    case ErrorCode::ReservationLost:
        return "reservation_lost";
    case ErrorCode::InvalidConfiguration:
        return "invalid_configuration";
    case ErrorCode::RevisionConflict:
        return "revision_conflict";
    case ErrorCode::UnknownPreset:
        return "unknown_preset";
    case ErrorCode::UnknownEntry:
        return "unknown_entry";
    case ErrorCode::PlatformUnavailable:
        return "platform_unavailable";
    case ErrorCode::ConditionFailed:
        return "condition_failed";
    case ErrorCode::PlatformAnswerLost:
        return "platform_answer_lost";
    case ErrorCode::ObjectNotFound:
        return "object_not_found";
    case ErrorCode::PlatformReplyInvalid:
        return "platform_reply_invalid";
    case ErrorCode::StoreHistoryGone:
        return "store_history_gone";
    case ErrorCode::StoreRefused:
        return "store_refused";
    case ErrorCode::DocumentInvalid:
        return "document_invalid";
    case ErrorCode::InvalidSettings:
        return "invalid_settings";
    case ErrorCode::FileUnreadable:
        return "file_unreadable";
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::ListenFailed:
        return "listen_failed";
    case ErrorCode::PeerUnavailable:
        return "peer_unavailable";
    case ErrorCode::PeerRefused:
        return "peer_refused";
    }
    return "unknown";
}

std::string randomId(std::string_view prefix)
{
    thread_local Poco::RandomInputStream source;
    std::uint64_t bits = 0;
    source.read(reinterpret_cast<char *>(&bits), sizeof(bits));
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64, bits);
    std::string id(prefix);
    id += '-';
    id += digits.data();
    return id;
}

std::string sha256Hex(std::string_view data)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(data.data(), data.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

double randomFraction()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

std::uint64_t stableHash(std::string_view data)
{
    // FNV-1a, then a final mixing step, because short names would otherwise differ in few bits of the hash.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : data) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

TimePoint ManualClock::now() const
{
    return TimePoint(std::chrono::duration_cast<TimePoint::duration>(Duration(m_elapsed.load())));
}

WallTime ManualClock::wallNow() const
{
    return WallTime(std::chrono::duration_cast<WallTime::duration>(Duration(m_elapsed.load())));
}

void ManualClock::advance(Duration step)
{
    m_elapsed += step.count();
}

bool isValidUtf8(std::string_view text)
{
    struct Form { // of the characters of one length
        unsigned mask; // of the first byte
        unsigned prefix; // value of the first byte under the mask
        std::size_t following; // further bytes
        std::uint32_t lowest; // a lower character in this form is overlong
    };
    constexpr std::array<Form, 4> Forms{{{0x80, 0x00, 0, 0}, {0xe0, 0xc0, 1, 0x80}, {0xf0, 0xe0, 2, 0x800}, {0xf8, 0xf0, 3, 0x10000}}};
    constexpr std::uint32_t Highest = 0x10ffff;
    constexpr std::uint32_t FirstSurrogate = 0xd800;
    constexpr std::uint32_t LastSurrogate = 0xdfff;
    for (std::size_t at = 0; at < text.size();) {
        const auto byteAt = [&text](std::size_t index) {
            return static_cast<unsigned>(static_cast<unsigned char>(text[index]));
        };
        const unsigned lead = byteAt(at);
        const auto form = std::find_if(Forms.begin(), Forms.end(), [lead](const Form &candidate) {
            return (lead & candidate.mask) == candidate.prefix;
        });
        if (form == Forms.end() || text.size() - at <= form->following) {
            return false;
        }
        std::uint32_t character = lead & ~form->mask & 0xffU;
        for (std::size_t i = 1; i <= form->following; ++i) {
            if ((byteAt(at + i) & 0xc0U) != 0x80U) {
                return false;
            }
            character = character << 6U | (byteAt(at + i) & 0x3fU);
        }
        if (character < form->lowest || character > Highest || (character >= FirstSurrogate && character <= LastSurrogate)) {
            return false;
        }
        at += form->following + 1;
    }
    return true;
}

std::string formatWallTime(WallTime time)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    const std::time_t seconds = sinceEpoch.count() / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 48> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(sinceEpoch.count() % 1000));
    return text.data();
}

std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

namespace
{
// Ranks of the locks that this thread holds, in the order in which it took them; the last one is the highest.
thread_local std::vector<int> t_heldRanks; // NOLINT(cert-err58-cpp)

[[noreturn]] void abortOnMisuse(const char *message, int held, int lockRank)
{
    std::fprintf(stderr, "lock order: %s (highest rank held: %d, rank of this lock: %d; 0 means none)\n", message, held, lockRank);
    std::abort();
}
} // namespace

void RankedMutex::lock()
{
    const int lockRank = static_cast<int>(m_rank);
    if (!t_heldRanks.empty() && t_heldRanks.back() >= lockRank) {
        abortOnMisuse("a thread takes a lock whose rank isn't above that of every lock it holds", t_heldRanks.back(), lockRank);
    }
    m_mutex.lock();
    t_heldRanks.push_back(lockRank);
}

void RankedMutex::unlock()
{
    const int rank = static_cast<int>(m_rank);
    if (t_heldRanks.empty() || t_heldRanks.back() != rank) {
        abortOnMisuse("a thread must release the lock it took last first, but releases another one", t_heldRanks.empty() ? 0 : t_heldRanks.back(), rank);
    }
    t_heldRanks.pop_back();
    m_mutex.unlock();
}

void assertNoLockHeld(const char *operation)
{
    if (!t_heldRanks.empty()) {
        abortOnMisuse(operation, t_heldRanks.back(), 0);
    }
}

} // namespace vanillanotch
