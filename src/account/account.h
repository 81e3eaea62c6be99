// vanillanotch account library: limits of client accounts at one node.
//
// Rules this aggregate enforces:
//   - an account's requests come no faster than its rate allows, after its burst;
//   - an account has at most its declared concurrency in flight.
#pragma once

#include "base/base.h"
#include "configuration/configuration.h"

namespace vanillanotch
{

class AccountTable;

// A request's place within its account's limits; given back when destroyed.
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
    std::unique_ptr<AccountTable, Release> m_held; // lets go at its end
};

struct AccountState {
    std::string name;
    double tokens = 0; // requests it may still send at once
    unsigned inFlight = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

class AccountTable
{
public:
    explicit AccountTable(const Clock &clock);
    // share: this node's part of the account's rate, 0 to 1 and above; the preset's factor included.
    Result<AccountPermit> admit(const ClientAccountSpec &account, double share);
    std::vector<AccountState> states() const; // accounts seen lately
    void removeIdle(Duration idleFor);

private:
    friend class AccountPermit;
    struct Account {
        double tokens = 0;
        TimePoint refilledAt{};
        unsigned inFlight = 0;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };
    void release(const std::string &account);

    const Clock &m_clock;
    mutable RankedMutex m_mutex{LockRank::Accounts};
    std::map<std::string, Account> m_accounts;
};

} // namespace vanillanotch
