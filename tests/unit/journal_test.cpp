// The journal records which calls with an idempotency key were started. It starts a key at most once, also when the platform loses calls
// or answers and when nodes are paused or killed. A sender reserves the key, starts it, sends the call and stores the answer (finish);
// a reservation expires after the time given to reserve(), and then another sender may take it over unless the
// key was started.
#include "fakes.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
// One attempt to send a request with an idempotency key. Each call of step() does one part of it, so that a schedule can run the steps of
// several senders in any order.
class Sender
{
public:
    Sender(Journal &journal, std::string body, std::string name)
        : m_journal(journal)
        , m_body(std::move(body))
        , m_name(std::move(name))
    {
    }
    // Runs the next step; false: it was the last one. Adds the sender's name to `effects` when the call is sent.
    bool step(std::vector<std::string> &effects)
    {
        switch (m_step++) {
        case 0: {
            auto reserved = m_journal.reserve(JournalKey{"account", "key"}, m_body, std::chrono::seconds(5));
            if (!reserved) {
                m_error = reserved.error().code;
                return false;
            }
            if (reserved->answer) {
                m_answer = *reserved->answer;
                return false;
            }
            m_reservation = reserved->reservation;
            return true;
        }
        case 1: {
            const auto started = m_journal.start(*m_reservation, m_name);
            if (!started) {
                m_error = started.error().code;
                return false;
            }
            return true;
        }
        case 2:
            effects.push_back(m_name); // the call is sent: from here on it may have been executed
            return true;
        default:
            (void)m_journal.finish(*m_reservation, "answer of " + m_name);
            m_answer = "answer of " + m_name;
            return false;
        }
    }
    std::optional<ErrorCode> error() const
    {
        return m_error;
    }
    std::string answer() const
    {
        return m_answer;
    }

private:
    Journal &m_journal;
    std::string m_body;
    std::string m_name;
    int m_step = 0;
    std::optional<Reservation> m_reservation;
    std::optional<ErrorCode> m_error;
    std::string m_answer;
};

// Runs one seeded schedule of five senders of the same key: their steps interleave, and senders are killed, or paused until their
// reservation has expired. Returns the names of the senders whose call was sent.
std::vector<std::string> runSchedule(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    ManualClock clock;
    NoBackoffSleeper sleeper;
    Platform platform = makeMemoryPlatform();
    FaultyTable table(*platform.table, seed, static_cast<int>(random() % 60));
    const auto store = makeTableJournalStore(table);
    Journal journal(*store, clock, sleeper);
    std::vector<Sender> senders;
    for (int i = 0; i < 5; ++i) {
        senders.emplace_back(journal, "body", "sender-" + std::to_string(i));
    }
    std::vector<std::size_t> active{0, 1, 2, 3, 4};
    std::vector<std::string> effects;
    while (!active.empty()) {
        const std::size_t chosen = random() % active.size();
        const bool hasNextStep = senders[active[chosen]].step(effects);
        const bool isKilled = random() % 8 == 0; // the sender's node is killed between two steps
        if (!hasNextStep || isKilled) {
            active.erase(active.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
        if (random() % 4 == 0) { // all senders are paused until the reservation (5 s, plus takeoverMargin) has expired
            clock.advance(std::chrono::seconds(7));
        }
    }
    return effects;
}
} // namespace

TEST_GROUP(Journal){};

// Guards against a call that is executed twice because two senders start the same key. Runs 2000 seeds.
TEST(Journal, AKeyIsStartedAtMostOnceInEverySchedule)
{
    std::size_t effectCount = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        const std::vector<std::string> effects = runSchedule(seed);
        if (effects.size() > 1) {
            FAIL(("seed " + std::to_string(seed) + " sent the call " + std::to_string(effects.size()) + " times, expected once at most").c_str());
        }
        effectCount += effects.size();
    }
    CHECK(effectCount > 1000); // otherwise a journal that refuses everything would pass
}

// Guards against a caller that gets the answer to another request because it used an idempotency key twice.
TEST(Journal, TheSameKeyWithAnotherBodyIsRefused)
{
    ManualClock clock;
    NoBackoffSleeper sleeper;
    Platform platform = makeMemoryPlatform();
    const auto store = makeTableJournalStore(*platform.table);
    Journal journal(*store, clock, sleeper);
    CHECK(journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1)).has_value());
    LONGS_EQUAL(static_cast<int>(ErrorCode::KeyReused), static_cast<int>(journal.reserve(JournalKey{"a", "k"}, "other", std::chrono::seconds(1)).error().code));
    CHECK(journal.reserve(JournalKey{"b", "k"}, "other", std::chrono::seconds(1)).has_value()); // another account may use the same key
}

// Guards against a second execution when a caller repeats a request that was already answered.
TEST(Journal, AFinishedKeyReturnsItsStoredAnswer)
{
    ManualClock clock;
    NoBackoffSleeper sleeper;
    Platform platform = makeMemoryPlatform();
    const auto store = makeTableJournalStore(*platform.table);
    Journal journal(*store, clock, sleeper);
    auto first = journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1));
    CHECK(journal.start(first->reservation, "attempt").has_value());
    CHECK(journal.finish(first->reservation, "the answer").has_value());
    const auto second = journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1));
    STRCMP_EQUAL("the answer", second->answer->c_str());
}

// Guards against two executions: a sender that was paused beyond the end of its reservation must not start after a successor took it over.
TEST(Journal, ATakenOverReservationCannotStart)
{
    ManualClock clock;
    NoBackoffSleeper sleeper;
    Platform platform = makeMemoryPlatform();
    const auto store = makeTableJournalStore(*platform.table);
    Journal journal(*store, clock, sleeper);
    auto expired = journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1));
    LONGS_EQUAL(static_cast<int>(ErrorCode::KeyInProgress),
                static_cast<int>(journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1)).error().code));
    clock.advance(std::chrono::seconds(3));
    auto successor = journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1));
    CHECK(successor.has_value());
    LONGS_EQUAL(static_cast<int>(ErrorCode::ReservationLost), static_cast<int>(journal.start(expired->reservation, "late").error().code));
    CHECK(journal.start(successor->reservation, "attempt").has_value());
}
