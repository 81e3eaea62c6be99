// Fakes of interfaces, for unit tests that start no processes.
#pragma once

#include "journal/journal.h"
#include "storage/storage.h"
#include "wire/wire.h"

#include <random>

namespace vanillanotch::test
{

// wait() returns at once, so that repeated attempts cost a test no time.
class NoBackoffSleeper final : public BackoffSleeper
{
public:
    void wait(Duration /*duration*/) override
    {
    }
};

// Passes calls on to another table, but refuses some of them, loses the answers to some writes and delays some writes. A seeded random
// generator decides when.
class FaultyTable final : public Table
{
public:
    FaultyTable(Table &inner, std::uint64_t seed, int faultPercent)
        : m_inner(inner)
        , m_random(seed)
        , m_faultPercent(faultPercent)
    {
    }
    Result<std::optional<Row>> read(const std::string &key) override
    {
        deliverDelayed();
        return drawFault() ? fail(ErrorCode::PlatformUnavailable) : m_inner.read(key);
    }
    Result<std::vector<Row>> scan(const std::string &prefix, const std::string &after, std::size_t limit) override
    {
        deliverDelayed();
        return drawFault() ? fail(ErrorCode::PlatformUnavailable) : m_inner.scan(prefix, after, limit);
    }
    Result<void> commit(const std::vector<Write> &writes) override
    {
        deliverDelayed();
        if (!drawFault()) {
            return m_inner.commit(writes);
        }
        switch (m_random() % 3) {
        case 0:
            return fail(ErrorCode::PlatformUnavailable); // refused: the inner table was not called
        case 1:
            (void)m_inner.commit(writes); // carried out, or refused because a condition fails; the answer is lost in either case
            return fail(ErrorCode::PlatformAnswerLost);
        default:
            m_delayed.push_back(writes); // carried out during a later call, or never
            return fail(ErrorCode::PlatformAnswerLost);
        }
    }
    // Carries out the oldest delayed write with a probability of one half, if there is one.
    void deliverDelayed()
    {
        if (!m_delayed.empty() && m_random() % 2 == 0) {
            (void)m_inner.commit(m_delayed.front());
            m_delayed.pop_front();
        }
    }

private:
    bool drawFault()
    {
        return static_cast<int>(m_random() % 100) < m_faultPercent;
    }

    Table &m_inner;
    std::mt19937_64 m_random;
    int m_faultPercent; // probability of a fault in each call, in percent
    std::deque<std::vector<Write>> m_delayed;
};

} // namespace vanillanotch::test
