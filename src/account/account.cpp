#include "account/account.h"

#include <algorithm>

namespace vanillanotch
{

AccountPermit::AccountPermit(AccountTable *table, std::string account)
    : m_table(table, Release{std::move(account)})
{
}

void AccountPermit::Release::operator()(AccountTable *table) const
{
    table->release(account);
}

AccountTable::AccountTable(const Clock &clock)
    : m_clock(clock)
{
}

Result<AccountPermit> AccountTable::admit(const ClientAccountSpec &spec, double share)
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    const auto [found, isNew] = m_accounts.try_emplace(spec.name);
    Account &account = found->second;
    // Capacity of the token bucket. Unlike the rate, the burst isn't divided among nodes, because all requests of a small account may arrive at one node.
    const double capacity = std::max(1.0, static_cast<double>(spec.burst));
    if (isNew) {
        account.tokens = capacity;
    } else {
        const double elapsed = std::chrono::duration<double>(now - account.refilledAt).count();
        account.tokens = std::min(capacity, account.tokens + elapsed * spec.requestsPerSecond * share);
    }
    account.refilledAt = now;
    if (account.inFlight >= spec.concurrency) {
        ++account.refused;
        return fail(ErrorCode::AccountConcurrencyExceeded, "the account has " + std::to_string(account.inFlight) + " requests in flight");
    }
    if (account.tokens < 1) {
        ++account.refused;
        return fail(ErrorCode::AccountRateExceeded, "the account's rate is used up");
    }
    account.tokens -= 1;
    ++account.inFlight;
    ++account.admitted;
    return AccountPermit(this, spec.name);
}

void AccountTable::release(const std::string &name)
{
    const Lock lock(m_mutex);
    --m_accounts.at(name).inFlight;
}

std::vector<AccountState> AccountTable::states() const
{
    const Lock lock(m_mutex);
    std::vector<AccountState> states;
    for (const auto &[name, account] : m_accounts) {
        states.push_back(AccountState{name, account.tokens, account.inFlight, account.admitted, account.refused});
    }
    return states;
}

void AccountTable::removeIdle(Duration idleFor)
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        const bool idle = it->second.inFlight == 0 && now - it->second.refilledAt > idleFor;
        it = idle ? m_accounts.erase(it) : std::next(it);
    }
}

} // namespace vanillanotch
