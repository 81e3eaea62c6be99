// vanillanotch deployment library: the operator's configuration in force, with its routes, services and client accounts.
//
// Index of sections:
//   [SPECS]   RouteSpec, ServiceSpec, AccountSpec
//   [ROUTES]  Deployment: one immutable version of all these specs
//   [TABLE]   DeploymentTable: the version in force, and when it was last known to be the newest
//
// Rules this aggregate enforces:
//   - the version in force never decreases;
//   - a request sees one version from its admission to its end;
//   - an API key is accepted only while the version in force was known to be the newest a short time ago, so that a revoked
//     key is refused within a stated time.
#pragma once

#include "base/base.h"
#include "transport/transport.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [SPECS]
//-----------------------------------------------------------------------------

// Idempotent: may be run again at another server. Streaming: answered by a stream of events; may be run again if resumable.
enum class RequestKind { Idempotent, NonIdempotent, Streaming };

// One part of a route's traffic split.
struct WeightedService {
    std::string service;
    double weight = 1; // share of the requests, relative to the sum over the route
};

// One stage of a route.
struct StageStep {
    std::string service;
    std::vector<std::size_t> dependsOn; // indexes, in the route, of the stages whose results this stage needs
    std::size_t resultBytes = 0; // approximate size of the result of one piece, in bytes; the work of a stage is split into pieces
};

struct RouteSpec {
    std::string name;
    std::string host; // without a port
    std::string prefix; // of the path; begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    bool resumable = false; // a broken stream may be continued by another server
    bool anonymous = false; // no API key is needed
    std::vector<WeightedService> services; // one is chosen at random for each request, in proportion to the weights; not empty
    std::vector<StageStep> stages; // to be done before the request is sent to the service; may be empty
    std::chrono::milliseconds timeout{30000}; // from the request's arrival to the end of its answer
    // The latency to aim for, from the request's arrival. An answer within it has its full value; a later one, up to the timeout, has less.
    std::chrono::milliseconds targetLatency{1000};
    std::chrono::milliseconds targetEventGap{0}; // longest pause between two events of a stream; 0: not stated
    int priority = 0; // 0 is the highest
    std::set<std::string> allowedRegions{}; // home regions: no server elsewhere may get the request or its pieces; empty: no restriction
    unsigned maxAttempts = 1; // how often one request may be sent at most, over all servers; once more if the last server did not run it

    bool repeatable() const // may be sent to another server after a failure
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }
};

// Capacity of each server of a service that runs stages, as declared in the operator's configuration.
struct StageCapacity {
    unsigned slots = 1; // concurrent calls
    unsigned queueLimit = 0; // calls that may wait at the server, in addition to those in the slots
    std::size_t maxBatch = 1; // largest number of pieces in one call
    std::chrono::microseconds fixedCallTime{0}; // fixed part of a call's time; the pieces' time comes on top
    std::chrono::microseconds pieceTime{0}; // for each piece of a call
    std::size_t resultCapacityBytes = 0; // memory for results; 0: not stated, so no limit is applied
    std::chrono::milliseconds resultLifetime{0}; // the server removes a result this long after the call that made it
};

// A service is the set of all instances that run the same backend server; an instance is a running copy of one.
struct ServiceSpec {
    std::string name;
    bool engine = false; // a model engine, which caches prompts by prefix
    unsigned engineSlots = 0; // requests that one engine runs at once
    std::size_t kvCapacityTokens = 0; // size of one engine's KV cache, in tokens
    std::optional<StageCapacity> stage; // nullopt: the service doesn't run stages
    std::chrono::milliseconds coldStart{0}; // for which a server is cold after its start, if it doesn't state another time
    double coldRequestsPerSecond = 0; // that a cold server tolerates from all nodes together; 0: no limit
};

struct AccountSpec { // a client account; requests name it by one of its API keys
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<int> priority; // overrides the route's; 0 is the highest
    std::set<std::string> allowedRegions{}; // as RouteSpec::allowedRegions; if both have some, both restrictions apply
};

//-----------------------------------------------------------------------------
// [ROUTES]
//-----------------------------------------------------------------------------

// One version of the operator's configuration. Immutable; requests that run under an older version keep it alive.
class Deployment : public RefCounted<Deployment>
{
public:
    // `accounts`: nullopt: the operator declares no client accounts, so requests need no API key. An empty list differs: no API key is valid then.
    Deployment(std::uint64_t version, std::vector<RouteSpec> routes, std::vector<ServiceSpec> services, std::optional<std::vector<AccountSpec>> accounts,
               const FrontLimits &limits);

    std::uint64_t version() const
    {
        return m_version;
    }
    // The host's route with the longest prefix that the path begins with; a port in `host` is ignored. nullptr: no route.
    const RouteSpec *route(std::string_view host, std::string_view path) const;
    const ServiceSpec *service(const std::string &name) const; // nullptr: no service of that name
    const AccountSpec *accountOf(const std::string &apiKey) const; // nullptr: unknown key
    bool requiresApiKey() const // true: client accounts are declared, so a request needs an API key, except on anonymous routes
    {
        return m_accounts.has_value();
    }
    const std::vector<RouteSpec> &routes() const
    {
        return m_routes;
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
    std::size_t keyCount() const
    {
        return m_byKey.size();
    }

private:
    std::uint64_t m_version;
    std::vector<RouteSpec> m_routes;
    std::vector<ServiceSpec> m_services;
    std::optional<std::vector<AccountSpec>> m_accounts;
    FrontLimits m_limits;
    std::unordered_map<std::string, std::vector<const RouteSpec *>> m_byHost; // longest prefix first
    std::unordered_map<std::string, const AccountSpec *> m_byKey;
};

using DeploymentRef = Ref<const Deployment>;

//-----------------------------------------------------------------------------
// [TABLE]
//-----------------------------------------------------------------------------

// How old the last confirmation of the version in force may be. A confirmation (DeploymentTable::confirmNewest()) is the knowledge that
// this version was the newest one at a certain moment; newer configuration documents that can't be decoded don't count.
struct FreshnessSettings {
    // A revoked API key is refused at the latest this long after the operator was told that it is revoked.
    std::chrono::milliseconds revocationBound{5000};
    // API keys aren't accepted once the last confirmation is older than this share of revocationBound; the rest is left for the time that a
    // call itself takes.
    double keyTrustFraction = 0.9;
    // The node reports that it isn't ready once the last confirmation is older than this share of revocationBound, so that new connections go
    // to other nodes. revocationBound * readinessFraction must be longer than WatchSettings::longPollWait, the time for which the store of the
    // configuration holds a request for changes: while there are no changes, the version is confirmed only once in longPollWait.
    double readinessFraction = 0.7;
};

// The version in force. All times are of the suspend-aware clock. Thread-safe.
class DeploymentTable
{
public:
    explicit DeploymentTable(FreshnessSettings settings);
    DeploymentRef current() const; // nullptr: none yet
    // Puts a version in force. False: `deployment` isn't newer than the version in force, and nothing changes. `document`: from which it was decoded.
    bool install(const DeploymentRef &deployment, const std::string &document = {});
    std::optional<std::string> documentNewerThan(std::uint64_t version) const; // of the version in force; nullopt: that isn't newer
    // Records that the version in force was the newest one at the moment `asOf`. Ignored when a later moment was recorded already.
    void confirmNewest(TimePoint asOf);
    bool keysTrusted(TimePoint now) const; // true: confirmed recently enough to accept known API keys and to refuse unknown ones
    bool ready(TimePoint now) const; // true: a version is in force, and was confirmed recently enough for new connections
    Duration confirmationAge(TimePoint now) const; // time since the moment of the last confirmation; since boot when there was none

private:
    const FreshnessSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Deployment};
    DeploymentRef m_current;
    std::string m_document; // of m_current
    TimePoint m_confirmed{}; // moment of the last confirmation
};

// Asks another node for its configuration.
class DeploymentPeerChannel
{
public:
    virtual ~DeploymentPeerChannel() = default;
    // The document of the version in force at the node at `peerAddress`. nullopt: that isn't newer than `version`. Errors: PeerUnavailable.
    virtual Result<std::optional<std::string>> documentNewerThan(const std::string &peerAddress, std::uint64_t version, const ReplyLimits &limits) = 0;
};

// A monotonic clock that also counts the time in which the VM was suspended, unlike the steady clock. The age of a
// confirmation must go on growing while the VM is suspended.
TimePoint suspendAwareNow();

} // namespace vanillanotch
