#include "entry/entry.h"

#include <Poco/Exception.h>

namespace vanillanotch
{

namespace
{
constexpr std::size_t PoolLimit = 600; // threads: running requests, calls of stages and orders to peers
constexpr std::size_t BackgroundWorkers = 1; // timers' short tasks
constexpr const char *MembersTable = "members";
constexpr std::size_t RelayFollowers = 8; // nodes of a data centre that follow the store through one of them; fewer ask it themselves
constexpr Duration AnnounceLimit = std::chrono::seconds(2); // for one write
constexpr Duration AnnouncePause = std::chrono::milliseconds(700); // until the next try
constexpr std::chrono::milliseconds LongWait{20000}; // of feeds whose silence proves nothing; keep-alive probes find a dead connection
constexpr std::chrono::milliseconds ServersRest{300}; // servers come and leave in groups; far below the time that a leaving one serves on
constexpr std::chrono::milliseconds MembersRest{1500}; // all nodes start together, and a dead one is found by asking it
constexpr Duration BalancerNotices = std::chrono::milliseconds(2300); // two questions a second apart, and their answers
constexpr Duration StopMargin = std::chrono::milliseconds(600); // before the platform kills the process
constexpr Duration StopStep = std::chrono::milliseconds(50); // between two looks at what still runs

StageAssignment sharingOf(const std::string &name)
{
    if (name == "each_node") {
        return StageAssignment::EachNode;
    }
    return name == "owner_groups" ? StageAssignment::OwnerGroups : StageAssignment::Owners;
}

std::unique_ptr<ChoicePolicy> engineChoiceOf(const std::string &name)
{
    if (name == "shortest_time") {
        return makeShortestTimeChoice();
    }
    return name == "least_outstanding" ? makeLeastOutstandingChoice() : makePrefixAffinityChoice();
}

MemberRecord selfOf(const EntrySettings &settings)
{
    MemberRecord self;
    self.name = settings.node;
    self.dataCentre = settings.dataCentre;
    self.peerAddress = settings.peerAddress;
    self.cores = settings.cores;
    // Restarts of one node are told apart by it; no order between nodes depends on the time of day.
    self.incarnation = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::microseconds(1));
    return self;
}

FreshnessSettings trustOf(const EntrySettings &settings)
{
    FreshnessSettings trust;
    trust.revocationBound = settings.revocationBound;
    return trust;
}

InstanceSettings instancesOf(const EntrySettings &settings)
{
    InstanceSettings instances;
    instances.dataCentre = settings.dataCentre;
    return instances;
}

RetryBudgetSettings allowanceOf(const EntrySettings &settings)
{
    RetryBudgetSettings allowance;
    allowance.ratio = settings.retryRatio;
    allowance.extra = settings.retryExtra;
    allowance.window = settings.retryWindow;
    return allowance;
}

WatchSettings watching(std::chrono::milliseconds wait, std::chrono::milliseconds rest)
{
    WatchSettings settings;
    settings.longPollWait = wait;
    settings.coalesceInterval = rest;
    return settings;
}
} // namespace

EntryNode::EntryNode(const EntrySettings &settings)
    : m_settings(settings)
    , m_pool(PoolLimit)
    , m_background(BackgroundWorkers)
    , m_timers(m_background)
    , m_deployments(trustOf(settings))
    , m_instances(m_clock, instancesOf(settings))
    , m_members(m_clock, MembershipSettings{}, selfOf(settings))
    , m_allowance(m_clock, allowanceOf(settings),
                  [this] {
                      return m_members.aliveCount();
                  })
    , m_store(platform::makeStore(settings.storeAddress, m_upstream))
    , m_relays(makeRelayChannel(m_upstream))
    , m_relayedStore(*m_store, *m_relays,
                     [this] {
                         return chooseRelay();
                     })
    , m_codec(platform::makeRequestCodec())
    , m_stageChannel(platform::makeStageChannel(m_upstream))
    , m_stagePeers(makeStagePeerChannel(m_upstream))
    , m_serverChoice(makeShortestTimeChoice())
    , m_engineChoice(engineChoiceOf(settings.engineChoice))
    , m_releaser(*m_stageChannel, m_timers, m_pool)
    , m_scheduler(StageDependencies{m_clock, m_deployments, m_instances, *m_stageChannel, m_allowance, m_releaser, m_pool, m_timers, m_metrics})
    , m_stages(StageDependencies{m_clock, m_deployments, m_instances, *m_stageChannel, m_allowance, m_releaser, m_pool, m_timers, m_metrics}, m_scheduler,
               *m_stagePeers, m_members, sharingOf(settings.stageSharing))
    , m_service(ForwardDependencies{m_clock, m_deployments, m_instances, *m_codec, m_stages, m_stages, m_allowance, m_engineTimes, m_statedDeadlines,
                                    *m_serverChoice, *m_engineChoice, m_upstream, m_metrics},
                ForwardSettings{})
    , m_deploymentListener(m_deployments, m_metrics)
    , m_instanceListener(m_instances, m_metrics)
    , m_memberListener(m_members)
    , m_deploymentWatch(m_relayedStore, platform::OperatorTable, m_deploymentListener, &m_deploymentCache, m_trouble, WatchSettings{}, m_metrics)
    , m_instanceWatch(m_relayedStore, platform::ServersTable, m_instanceListener, &m_instanceCache, m_trouble, watching(LongWait, ServersRest), m_metrics)
    , m_memberWatch(m_relayedStore, MembersTable, m_memberListener, &m_memberCache, m_trouble, watching(LongWait, MembersRest), m_metrics)
    , m_callersHandler(m_service, m_deployments)
    , m_readinessHandler(m_deployments, m_leaving)
    , m_peerHandler(m_scheduler,
                    RelayedTables{{{platform::OperatorTable, &m_deploymentCache}, {platform::ServersTable, &m_instanceCache}, {MembersTable, &m_memberCache}},
                                  &m_deploymentCache},
                    m_metrics)
{
    m_instances.setChangeListener([this] {
        m_scheduler.instancesChanged();
    });
    m_metrics.gauge("vanillanotch_requests_running", [this] {
        return static_cast<double>(m_service.running());
    });
    m_metrics.gauge("vanillanotch_pieces_waiting", [this] {
        return static_cast<double>(m_scheduler.waitingPieces());
    });
    m_metrics.gauge("vanillanotch_threads", [this] {
        return static_cast<double>(m_pool.threadCount());
    });
    m_metrics.gauge("vanillanotch_proof_age_seconds", [this] {
        return std::chrono::duration<double>(m_deployments.confirmationAge(suspendAwareNow())).count();
    });
}

EntryNode::~EntryNode()
{
    m_timers.stop();
    m_pool.stop();
}

Result<void> EntryNode::start()
{
    try {
        m_peers = std::make_unique<FrontServer>("peers", m_settings.peerAddress, m_peerHandler, m_pool);
        m_callers = std::make_unique<FrontServer>("callers", m_settings.callerAddress, m_callersHandler, m_pool);
        m_readiness = std::make_unique<FrontServer>("readiness", m_settings.readinessAddress, m_readinessHandler, m_pool);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::ListenFailed, exception.displayText());
    }
    m_deploymentWatch.start();
    m_instanceWatch.start();
    m_memberWatch.start();
    m_pool.post([this] {
        announce();
    });
    return {};
}

void EntryNode::announce()
{
    if (m_leaving) {
        return;
    }
    const auto written = m_store->writeRow(MembersTable, m_settings.node, encodeMember(m_members.self()), AnnounceLimit);
    if (!written) {
        logEvent(LogLevel::Warning, "node.announce_failed", {{"error", written.error().code}});
        m_timers.after(AnnouncePause, [this] {
            m_pool.post([this] {
                announce();
            });
        });
    }
}

RelayedStore::Choice EntryNode::chooseRelay() const
{
    const DutyLeaderChoice lead = chooseDutyLeader(m_members.all(), m_members.self(), "relay", RelayFollowers);
    return RelayedStore::Choice{lead.leader ? std::optional(lead.leader->peerAddress) : std::nullopt, lead.isLeader};
}

void EntryNode::waitUntil(TimePoint time, const std::function<bool()> &done)
{
    RankedMutex mutex(LockRank::Leaf);
    std::condition_variable_any never;
    Lock lock(mutex);
    while (!done() && m_clock.now() < time) {
        never.wait_for(lock, StopStep);
    }
}

void EntryNode::stop()
{
    const TimePoint began = m_clock.now();
    const auto idle = [this] {
        return m_callers->activeRequests() == 0 && m_peers->activeRequests() == 0;
    };
    logEvent(LogLevel::Info, "node.stopping", {{"running", static_cast<std::uint64_t>(m_service.running())}});
    m_leaving = true;
    m_callers->beginClosing();
    m_pool.post([this] {
        if (const auto removed = m_store->removeRow(MembersTable, m_settings.node, AnnounceLimit); !removed) {
            logEvent(LogLevel::Warning, "node.leave_failed", {{"error", removed.error().code}}); // others find out by asking
        }
    });
    waitUntil(began + BalancerNotices, [] {
        return false;
    });
    m_callers->closeIdle();
    waitUntil(began + m_settings.stopLimit - StopMargin, idle);
    logEvent(LogLevel::Info, "node.stopped", {{"running", static_cast<std::uint64_t>(m_service.running())}, {"took_ms", m_clock.now() - began}});
}

} // namespace vanillanotch
