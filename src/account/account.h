// vanillanotch account library: limits of client accounts at one node. Operators declare a rate, a burst and a concurrency for each account
// (ClientAccountSpec).
//
// Rules this aggregate enforces:
//   - an account's requests are admitted at most at this node's share of its rate on average, with bursts up to its declared burst;
//   - an account has at most its declared concurrency in flight.
#pragma once

#include "base/base.h"
#include "configuration/configuration.h"

namespace vanillanotch
{

class AccountTable;

// Counts one request as in flight at its client account, until the permit is destroyed. The table must outlive its permits.
class AccountPermit
{
public:
    AccountPermit() = default;
    AccountPermit(AccountTable *table, std::string account);

private:
    struct Release {
        std::string account;
        void operator()(AccountTable *table) const;
    };
    std::unique_ptr<AccountTable, Release> m_table; // not owned: the deleter releases the permit
};

struct AccountState {
    std::string name;
    double tokens = 0; // level of the token bucket after the account's last request, in requests; the refill since then isn't included
    unsigned inFlight = 0; // requests in flight at this node
    std::uint64_t admitted = 0; // requests admitted since the account came into the table (at its first request)
    std::uint64_t refused = 0; // requests refused for rate or concurrency, since the account came into the table
};

// Enforces the limits of client accounts at this node: a token bucket for the rate of requests, and a bound on requests in flight.
// Thread-safe.
class AccountTable
{
public:
    explicit AccountTable(const Clock &clock);
    // Admits a request of the account. The request counts as in flight until the returned permit is destroyed. share: factor, 0 or more, by which the
    // account's rate is multiplied. Callers pass this node's part of the rate, times PresetSpec::accountShare, a factor that operators set for all
    // accounts. Fails with AccountConcurrencyExceeded or AccountRateExceeded.
    Result<AccountPermit> admit(const ClientAccountSpec &account, double share);
    std::vector<AccountState> states() const; // of all accounts in the table: those that sent a request and weren't removed by removeIdle()
    void removeIdle(Duration idleFor); // removes accounts that have nothing in flight and sent no request for longer than idleFor

private:
    friend class AccountPermit;
    struct Account {
        double tokens = 0; // level of the token bucket at refilledAt
        TimePoint refilledAt{}; // time of the account's last request, also of a refused one
        unsigned inFlight = 0;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };
    void release(const std::string &account);

    const Clock &m_clock;
    mutable RankedMutex m_mutex{LockRank::Accounts};
    std::map<std::string, Account> m_accounts; // by name
};

} // namespace vanillanotch
