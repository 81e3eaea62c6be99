// The journal's promise: at most one start for a key, whatever the platform loses and whoever is paused.
#include "fakes.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
// One sending of a request with a key, as a step machine, so that a schedule can put any step of any sender next.
class Sender
{
public:
    Sender(Journal &journal, std::string body, std::string name)
        : m_journal(journal)
        , m_body(std::move(body))
        , m_name(std::move(name))
    {
    }
    // Returns true while there is a further step.
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
            effects.push_back(m_name); // the call leaves: from here on it may have run
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

// Runs one seeded schedule: senders of one key whose steps mix, die and wake late. Returns the effects.
std::vector<std::string> runSchedule(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    ManualClock clock;
    NoPause pause;
    Platform platform = makeMemoryPlatform();
    FaultyTable table(*platform.table, seed, static_cast<int>(random() % 60));
    const auto store = makeTableJournal(table);
    Journal journal(*store, clock, pause);
    std::vector<Sender> senders;
    for (int i = 0; i < 5; ++i) {
        senders.emplace_back(journal, "body", "sender-" + std::to_string(i));
    }
    std::vector<std::size_t> alive{0, 1, 2, 3, 4};
    std::vector<std::string> effects;
    while (!alive.empty()) {
        const std::size_t turn = random() % alive.size();
        const bool goesOn = senders[alive[turn]].step(effects);
        const bool dies = random() % 8 == 0; // a node killed between two steps
        if (!goesOn || dies) {
            alive.erase(alive.begin() + static_cast<std::ptrdiff_t>(turn));
        }
        if (random() % 4 == 0) { // all others are paused past the reservation's end
            clock.advance(std::chrono::seconds(7));
        }
    }
    return effects;
}
} // namespace

TEST_GROUP(Journal){};

TEST(Journal, AKeyIsStartedAtMostOnceInEverySchedule)
{
    std::size_t ran = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        const std::vector<std::string> effects = runSchedule(seed);
        if (effects.size() > 1) {
            FAIL(("seed " + std::to_string(seed) + " ran the effect " + std::to_string(effects.size()) + " times").c_str());
        }
        ran += effects.size();
    }
    CHECK(ran > 1000); // the journal isn't safe merely by refusing everything
}

TEST(Journal, TheSameKeyWithAnotherBodyIsRefused)
{
    ManualClock clock;
    NoPause pause;
    Platform platform = makeMemoryPlatform();
    const auto store = makeTableJournal(*platform.table);
    Journal journal(*store, clock, pause);
    CHECK(journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1)).has_value());
    LONGS_EQUAL(static_cast<int>(ErrorCode::KeyReused), static_cast<int>(journal.reserve(JournalKey{"a", "k"}, "other", std::chrono::seconds(1)).error().code));
    CHECK(journal.reserve(JournalKey{"b", "k"}, "other", std::chrono::seconds(1)).has_value()); // another account's key is another key
}

TEST(Journal, AFinishedKeyGivesItsAnswerAgain)
{
    ManualClock clock;
    NoPause pause;
    Platform platform = makeMemoryPlatform();
    const auto store = makeTableJournal(*platform.table);
    Journal journal(*store, clock, pause);
    auto first = journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1));
    CHECK(journal.start(first->reservation, "attempt").has_value());
    CHECK(journal.finish(first->reservation, "the answer").has_value());
    const auto second = journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1));
    STRCMP_EQUAL("the answer", second->answer->c_str());
}

TEST(Journal, ATakenOverReservationCannotStart)
{
    ManualClock clock;
    NoPause pause;
    Platform platform = makeMemoryPlatform();
    const auto store = makeTableJournal(*platform.table);
    Journal journal(*store, clock, pause);
    auto paused = journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1));
    LONGS_EQUAL(static_cast<int>(ErrorCode::KeyInProgress),
                static_cast<int>(journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1)).error().code));
    clock.advance(std::chrono::seconds(3));
    auto successor = journal.reserve(JournalKey{"a", "k"}, "body", std::chrono::seconds(1));
    CHECK(successor.has_value());
    LONGS_EQUAL(static_cast<int>(ErrorCode::ReservationLost), static_cast<int>(journal.start(paused->reservation, "late").error().code));
    CHECK(journal.start(successor->reservation, "attempt").has_value());
}
