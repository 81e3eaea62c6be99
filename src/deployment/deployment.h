// vanillanotch deployment library: the routes, services and client accounts that an operator has put in force.
//
// Index of sections:
//   [SPECS]   RouteSpec, ServiceSpec, AccountSpec
//   [ROUTES]  Deployment: one immutable version of all of them
//   [TABLE]   DeploymentTable: the version in force, and when it was last shown to be the newest
//
// Rules this aggregate enforces:
//   - the version in force never falls;
//   - a request sees one version from its admission to its end;
//   - an API key is trusted only while the version in force is known to have been the newest a short time ago.
#pragma once

#include "base/base.h"
#include "transport/transport.h"

#include <optional>
#include <unordered_map>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [SPECS]
//-----------------------------------------------------------------------------

enum class RequestKind { Idempotent, NonIdempotent, Streaming };

struct WeightedService {
    std::string service;
    double weight = 1;
};

struct StageStep {
    std::string service;
    std::vector<std::size_t> dependsOn; // indexes of the stages whose results it needs
    std::size_t resultBytes = 0; // approximate, of one piece
};

struct RouteSpec {
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    bool resumable = false; // a stream may go on at another server
    bool anonymous = false; // no API key is needed
    std::vector<WeightedService> services; // not empty
    std::vector<StageStep> stages; // work before the request can run
    std::chrono::milliseconds timeout{30000}; // the longest that a caller is kept waiting
    std::chrono::milliseconds targetLatency{1000}; // within it an answer earns its full credit
    std::chrono::milliseconds targetEventGap{0}; // longest pause between two events; 0: none stated
    int priority = 0; // 0 is the highest
    unsigned maxAttempts = 1; // servers that one request may be sent to

    bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }
};

// What a server of a stage's service can do.
struct StageCapacity {
    unsigned slots = 1; // calls at the same time
    unsigned queueLimit = 0; // calls that may wait
    std::size_t maxBatch = 1; // pieces in a call
    std::chrono::microseconds fixedCallTime{0}; // of each call
    std::chrono::microseconds pieceTime{0}; // of each piece besides
    std::size_t resultCapacityBytes = 0; // for results
    std::chrono::milliseconds resultLifetime{0}; // a result is dropped this long after its call
};

struct ServiceSpec {
    std::string name;
    bool engine = false; // a model engine: prompts are cached by prefix
    unsigned engineSlots = 0; // requests that an engine runs at once
    std::size_t kvCapacityTokens = 0; // KV cache, tokens
    std::optional<StageCapacity> stage;
};

struct AccountSpec { // a client account
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<int> priority; // goes before the route's
};

//-----------------------------------------------------------------------------
// [ROUTES]
//-----------------------------------------------------------------------------

class Deployment : public RefCounted<Deployment>
{
public:
    Deployment(std::uint64_t version, std::vector<RouteSpec> routes, std::vector<ServiceSpec> services, std::vector<AccountSpec> accounts,
               const FrontLimits &limits);

    std::uint64_t version() const
    {
        return m_version;
    }
    // Host without a port; the longest prefix that begins the path. nullptr: none.
    const RouteSpec *route(std::string_view host, std::string_view path) const;
    const ServiceSpec *service(const std::string &name) const; // nullptr: none
    const AccountSpec *accountOf(const std::string &apiKey) const; // nullptr: unknown key
    bool requiresApiKey() const // there are client accounts, so a request needs a key
    {
        return !m_accounts.empty();
    }
    const std::vector<ServiceSpec> &services() const
    {
        return m_services;
    }
    const FrontLimits &limits() const
    {
        return m_limits;
    }
    std::size_t routeCount() const
    {
        return m_routes.size();
    }

private:
    std::uint64_t m_version;
    std::vector<RouteSpec> m_routes;
    std::vector<ServiceSpec> m_services;
    std::vector<AccountSpec> m_accounts;
    FrontLimits m_limits;
    std::unordered_map<std::string, std::vector<const RouteSpec *>> m_byHost; // longest prefix first
    std::unordered_map<std::string, const AccountSpec *> m_byKey;
};

using DeploymentRef = Ref<const Deployment>;

//-----------------------------------------------------------------------------
// [TABLE]
//-----------------------------------------------------------------------------

struct FreshnessSettings {
    std::chrono::milliseconds revocationBound{5000}; // a taken-away key is refused this long after the operator was told so
    double keyTrustFraction = 0.9; // share of the bound after which keys aren't trusted; the rest is for what a call takes
    double readinessFraction = 0.7; // share of the bound after which new connections should go elsewhere; above a quiet feed's wait
};

class DeploymentTable
{
public:
    explicit DeploymentTable(FreshnessSettings settings);
    DeploymentRef current() const; // nullptr: none yet
    // False: an older version or the same one, which changes nothing.
    bool install(const DeploymentRef &deployment);
    // The version in force was the newest one at that moment (suspend-aware clock).
    void confirmNewest(TimePoint asOf);
    bool keysTrusted(TimePoint now) const;
    bool ready(TimePoint now) const;
    Duration confirmationAge(TimePoint now) const;

private:
    const FreshnessSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Deployment};
    DeploymentRef m_current;
    TimePoint m_confirmed{};
};

// Counts suspended time too, unlike the steady clock: the age of a proof must not stand still while a VM does.
TimePoint suspendAwareNow();

} // namespace vanillanotch
