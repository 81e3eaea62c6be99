// Small fakes at the interfaces, for tests of decisions without processes.
#pragma once

#include "journal/journal.h"
#include "storage/storage.h"
#include "wire/wire.h"

#include <random>

namespace vanillanotch::test
{

class NoPause final : public BackoffSleeper
{
public:
    void wait(Duration /*duration*/) override
    {
    }
};

// A table over memory that loses answers, refuses calls and delays writes, drawn from a seeded generator.
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
        return draw() ? fail(ErrorCode::PlatformUnavailable) : m_inner.read(key);
    }
    Result<std::vector<Row>> scan(const std::string &prefix, const std::string &after, std::size_t limit) override
    {
        deliverDelayed();
        return draw() ? fail(ErrorCode::PlatformUnavailable) : m_inner.scan(prefix, after, limit);
    }
    Result<void> commit(const std::vector<Write> &writes) override
    {
        deliverDelayed();
        if (!draw()) {
            return m_inner.commit(writes);
        }
        switch (m_random() % 3) {
        case 0:
            return fail(ErrorCode::PlatformUnavailable); // nothing was sent
        case 1:
            (void)m_inner.commit(writes); // took effect or not, the answer is lost
            return fail(ErrorCode::PlatformAnswerLost);
        default:
            m_delayed.push_back(writes); // still on its way
            return fail(ErrorCode::PlatformAnswerLost);
        }
    }
    void deliverDelayed()
    {
        if (!m_delayed.empty() && m_random() % 2 == 0) {
            (void)m_inner.commit(m_delayed.front());
            m_delayed.pop_front();
        }
    }

private:
    bool draw()
    {
        return static_cast<int>(m_random() % 100) < m_faultPercent;
    }

    Table &m_inner;
    std::mt19937_64 m_random;
    int m_faultPercent;
    std::deque<std::vector<Write>> m_delayed;
};

} // namespace vanillanotch::test
