#include "entry/entry.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <random>

namespace vanillanotch
{

namespace
{
constexpr std::size_t PoolThreadLimit = 600; // threads; each call of a stage, to the store and to a peer takes one
constexpr std::size_t PeerThreadLimit = 400; // threads; each call from a peer takes one
constexpr std::size_t ReadinessThreadLimit = 4;
constexpr std::size_t SpareCallerThreads = 8; // beside those that run requests: they refuse further ones at once
constexpr std::size_t MegaByte = 1'000'000;
constexpr std::size_t BackgroundWorkers = 1; // threads for the timers' short tasks
constexpr const char *MembersTable = "members";
constexpr Duration RowCleanupInterval = std::chrono::minutes(1);
constexpr Duration VersionsInterval = std::chrono::seconds(1); // between two checks of the software versions of services
constexpr Duration AnnounceTimeout = std::chrono::seconds(2); // timeout for writing or removing this node's row of the members' table
// Longest time for which the first reads of the other tables wait for that of the members.
constexpr Duration MembersReadLimit = std::chrono::milliseconds(500);
// Pause before this node writes its row again because it is missing; longer than MembersCoalesceInterval and a call to the store.
constexpr Duration SelfMissingCheckPause = std::chrono::seconds(4);
constexpr Duration AnnounceRetryPause = std::chrono::milliseconds(700); // pause before a failed write of this node's row is repeated
// Pause after each answer with changes of the table of backend servers. Rows of servers that come or leave within the pause are in one
// answer. The pause is far below the time for which a leaving server still accepts calls.
constexpr std::chrono::milliseconds ServersCoalesceInterval{300};
// The same for the members' table: all nodes start together, so that the rows of many come within a short time.
constexpr std::chrono::milliseconds MembersCoalesceInterval{300};
// Longest time for which the members may be out of date after a fault; calls to a node that has gone fail over to another one meanwhile.
constexpr std::chrono::milliseconds MembersBound{10000};
constexpr std::size_t ConfigurationPeers = 3; // other nodes that are asked for a newer configuration than the store's copy has
// For their replies: documents may come slowly, but the table's watch waits for them.
constexpr ReplyLimits ConfigurationPeerLimits{std::chrono::milliseconds(300), std::chrono::milliseconds(300), std::chrono::seconds(3)};
constexpr Duration BalancerNoticeTime =
    std::chrono::milliseconds(2300); // time until the load balancer knows that the node isn't ready: two checks, a second apart, and their replies
constexpr std::size_t MaxTunnels = 200; // for other nodes; each takes a thread of the peers' pool
constexpr Duration ServerProbeInterval = std::chrono::milliseconds(500); // between two direct connections that show whether servers are reached again
constexpr Duration OwnedStagesInterval = std::chrono::seconds(1); // between two updates of the instances that this node calls as an owner
constexpr Duration StopMargin = std::chrono::milliseconds(600); // stop() ends this long before the platform kills the process
// Before the end of stop(): requests that wait for their stages are refused, and those that were sent to a server during the stop end.
constexpr Duration LastRefusalsTime = std::chrono::milliseconds(400);
constexpr Duration StopCheckInterval = std::chrono::milliseconds(50); // between two checks for requests that still run

StageAssignment parseStageAssignment(const std::string &name)
{
    if (name == "each_node") {
        return StageAssignment::EachNode;
    }
    return name == "owner_groups" ? StageAssignment::OwnerGroups : StageAssignment::Owners;
}

std::map<std::string, ColdRule> coldRulesOf(const Deployment &deployment, StageAssignment assignment)
{
    std::map<std::string, ColdRule> rules;
    for (const ServiceSpec &service : deployment.services()) {
        if (service.coldRequestsPerSecond > 0) {
            rules[service.name] = ColdRule{service.coldStart, service.coldRequestsPerSecond, service.stage && assignment != StageAssignment::EachNode};
        }
    }
    return rules;
}

std::set<std::string> resumableServices(const Deployment &deployment)
{
    std::set<std::string> services;
    for (const RouteSpec &route : deployment.routes()) {
        for (const WeightedService &service : route.services) {
            if (route.kind == RequestKind::Streaming && route.resumable) {
                services.insert(service.service);
            }
        }
    }
    return services;
}

std::unique_ptr<ChoicePolicy> makeEngineChoice(const std::string &name)
{
    if (name == "shortest_time") {
        return makeShortestTimeChoice();
    }
    return name == "least_outstanding" ? makeLeastOutstandingChoice() : makePrefixAffinityChoice();
}

MemberRecord selfRecord(const EntrySettings &settings)
{
    MemberRecord self;
    self.name = settings.node;
    self.dataCentre = settings.dataCentre;
    self.peerAddress = settings.peerAddress;
    self.cores = settings.cores;
    self.linkMbps = settings.linkMbps;
    self.keepsScopes = true;
    // Microseconds of the wall clock, to tell restarts of one node apart. Values of different nodes are never compared.
    self.incarnation = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::microseconds(1));
    return self;
}

FreshnessSettings freshnessSettings(const EntrySettings &settings)
{
    FreshnessSettings freshness;
    freshness.revocationBound = settings.revocationBound;
    return freshness;
}

InstanceSettings instanceSettings(const EntrySettings &settings)
{
    InstanceSettings instances;
    instances.node = settings.node;
    instances.dataCentre = settings.dataCentre;
    instances.restoreDuration = settings.restoreDuration;
    return instances;
}

ForwardSettings forwardSettings(const EntrySettings &settings, const NodeCapacity &capacity)
{
    ForwardSettings forwarding;
    forwarding.maxRunningRequests = capacity.runningRequests;
    forwarding.regions = settings.regions;
    return forwarding;
}

RetryBudgetSettings retryBudgetSettings(const EntrySettings &settings)
{
    RetryBudgetSettings retryBudget;
    retryBudget.ratio = settings.retryRatio;
    retryBudget.extraPerWindow = settings.retryExtra;
    retryBudget.window = settings.retryWindow;
    return retryBudget;
}

UpstreamSettings serverUpstream(UpstreamSettings settings, Dialer &dialer)
{
    settings.dialer = &dialer;
    return settings;
}

// The configuration must also be confirmed before this node counts as not ready.
WatchSettings deploymentWatchSettings(const EntrySettings &settings)
{
    const auto untilNotReady = std::chrono::duration_cast<std::chrono::milliseconds>(settings.revocationBound * FreshnessSettings{}.readinessFraction);
    return watchSettings(std::min(settings.recoveryBound, untilNotReady), std::chrono::milliseconds(0));
}

// The bound for a server that leaves is counted from its notice, and that from the recovery of the store.
WatchSettings instanceWatchSettings(const EntrySettings &settings)
{
    return watchSettings(settings.recoveryBound + settings.drainBound, ServersCoalesceInterval);
}
} // namespace

EntryNode::EntryNode(const EntrySettings &settings)
    : m_settings(settings)
    , m_capacity(planCapacity(static_cast<std::size_t>(settings.memoryMb * MegaByte), descriptorLimit(static_cast<std::size_t>(settings.maxDescriptors))))
    , m_pool(PoolThreadLimit)
    , m_callerPool(m_capacity.runningRequests + SpareCallerThreads)
    , m_peerPool(PeerThreadLimit)
    , m_readinessPool(ReadinessThreadLimit)
    , m_background(BackgroundWorkers)
    , m_timers(m_background)
    , m_deployments(freshnessSettings(settings))
    , m_instances(m_clock, instanceSettings(settings))
    , m_members(m_clock, MembershipSettings{}, selfRecord(settings))
    , m_retryBudget(m_clock, retryBudgetSettings(settings),
                    [this] {
                        return m_memberListener.hasRead() ? std::optional(m_members.aliveCount()) : std::nullopt;
                    })
    , m_store(platform::makeStore(settings.storeAddress, longPollSettings()))
    , m_rowStore(platform::makeRowStore(settings.storeAddress, longPollSettings()))
    , m_relayChannel(makeRelayChannel(longPollSettings()))
    , m_relayedStore(*m_store, *m_relayChannel,
                     [this](const std::string &table) {
                         return sourceOrder(m_members.all(), m_members.self(), table, RelayPolicy{});
                     })
    , m_codec(platform::makeRequestCodec())
    , m_tunnelChannel(makeTunnelChannel(m_upstream))
    , m_reachability(m_clock)
    , m_gateways(m_clock, settings.dataCentre,
                 [this] {
                     std::vector<Gateway> gateways;
                     for (const MemberRecord &node : otherNodes()) {
                         gateways.push_back(Gateway{node.peerAddress, node.dataCentre});
                     }
                     return gateways;
                 })
    , m_directDialer(m_upstream)
    , m_serverDialer(m_directDialer, *m_tunnelChannel, m_reachability, m_gateways, m_metrics)
    , m_serverUpstream(serverUpstream(m_upstream, m_serverDialer))
    , m_tunnelGate(m_reachability, std::min(m_capacity.runningRequests, MaxTunnels),
                   [this](const std::string &server) {
                       const auto instance = m_instances.findByAddress(server);
                       return instance && m_instances.usable(instance->id) && !m_instances.paused(instance->id);
                   })
    , m_tunnelServing{m_tunnelGate, m_serverDialer,
                      [this](const std::string &server) {
                          return statementReader(server);
                      }}
    , m_stageChannel(platform::makeStageChannel(m_serverUpstream))
    , m_stagePeers(makeStagePeerChannel(m_upstream))
    , m_serverChoice(makeShortestTimeChoice())
    , m_engineChoice(makeEngineChoice(settings.engineChoice))
    , m_crashes(m_clock)
    , m_crashLedger(*m_store, m_pool, m_timers)
    , m_crashGuard(m_crashes, m_crashLedger)
    , m_streamLedger(*m_rowStore)
    , m_deploymentPeers(makeDeploymentPeerChannel(m_upstream))
    , m_streamPeerChannel(makeStreamPeerChannel(m_upstream))
    , m_streamPeers(*m_streamPeerChannel, settings.dataCentre,
                    [this] {
                        std::vector<StreamPeer> peers;
                        for (const MemberRecord &node : otherNodes()) {
                            peers.push_back(StreamPeer{node.peerAddress, node.dataCentre});
                        }
                        return peers;
                    })
    , m_streamVersions(m_clock, m_instances, m_streamLedger, m_streamPeers, m_pool, ContinuitySettings{}, m_metrics)
    , m_releaser(*m_stageChannel, m_timers, m_pool)
    , m_scheduler(StageDependencies{m_clock, m_deployments, m_instances, *m_stageChannel, m_retryBudget, m_crashGuard, m_releaser, m_pool, m_timers, m_metrics})
    , m_stages(StageDependencies{m_clock, m_deployments, m_instances, *m_stageChannel, m_retryBudget, m_crashGuard, m_releaser, m_pool, m_timers, m_metrics},
               m_scheduler, *m_stagePeers, m_members, parseStageAssignment(settings.stageSharing))
    , m_placementChannel(makePlacementChannel(m_upstream))
    , m_placementOwner(m_clock, m_instances, m_deployments, m_metrics)
    , m_placement(m_clock, m_placementOwner, m_stages, *m_placementChannel, m_pool, m_timers, m_metrics)
    , m_service(ForwardDependencies{m_clock, m_deployments, m_instances, *m_codec, m_stages, m_stages, m_retryBudget, m_engineTimes, m_statedDeadlines,
                                    m_crashGuard, m_streamVersions, m_placement, *m_serverChoice, *m_engineChoice, m_serverUpstream, m_metrics},
                forwardSettings(settings, m_capacity))
    , m_deploymentListener(m_deployments, m_instances, m_metrics)
    , m_instanceListener(m_instances, m_metrics)
    , m_memberListener(
          m_members,
          [this] {
              followTables();
          },
          [this] {
              publishNodes();
          },
          [this] {
              // A removal of the row of this node's former process may have been delayed until after the row was written anew. The row that
              // is being written at the moment may not have been seen yet.
              m_timers.after(SelfMissingCheckPause, [this] {
                  if (!m_memberListener.selfListed()) {
                      beginAnnouncing();
                  }
              });
          })
    , m_crashListener(m_crashes, m_crashLedger)
    , m_deploymentWatch(m_relayedStore, platform::OperatorTable, m_deploymentListener, &m_deploymentCache, m_storeHealth, deploymentWatchSettings(settings),
                        m_metrics)
    , m_instanceWatch(m_relayedStore, platform::ServersTable, m_instanceListener, &m_instanceCache, m_storeHealth, instanceWatchSettings(settings), m_metrics)
    , m_memberWatch(m_relayedStore, MembersTable, m_memberListener, &m_memberCache, m_storeHealth, watchSettings(MembersBound, MembersCoalesceInterval),
                    m_metrics)
    , m_crashWatch(m_relayedStore, CrashesTable, m_crashListener, &m_crashCache, m_storeHealth,
                   watchSettings(settings.recoveryBound, std::chrono::milliseconds(0)), m_metrics)
    , m_forwardHandler(m_service, m_deployments)
    , m_readinessHandler(m_deployments, m_leaving)
    , m_peerHandler(m_scheduler, m_placementOwner, m_streamVersions, m_deployments,
                    RelayedTables{{platform::OperatorTable, &m_deploymentCache},
                                  {platform::ServersTable, &m_instanceCache},
                                  {MembersTable, &m_memberCache},
                                  {CrashesTable, &m_crashCache}},
                    m_leaving, m_metrics)
{
    m_deploymentListener.setInstalledListener([this] {
        m_streamVersions.setServices(resumableServices(*m_deployments.current()));
        m_instances.setColdRules(coldRulesOf(*m_deployments.current(), parseStageAssignment(m_settings.stageSharing)));
    });
    m_deploymentListener.setPeerSource([this](std::uint64_t version) {
        return configurationsOfPeers(version);
    });
    m_instanceListener.setEraListener([this](std::uint64_t era) {
        m_streamVersions.registryRead(era);
    });
    m_instances.setChangeListener([this] {
        m_scheduler.instancesChanged();
        m_streamVersions.instancesChanged();
    });
    m_metrics.gauge("vanillanotch_requests_running", [this] {
        return static_cast<double>(m_service.runningCount());
    });
    m_metrics.gauge("vanillanotch_instances_limited", [this] {
        return static_cast<double>(m_instances.limitedCount());
    });
    m_metrics.gauge("vanillanotch_instances_cold", [this] {
        return static_cast<double>(m_instances.coldCount());
    });
    m_metrics.gauge("vanillanotch_services_of_several_versions", [this] {
        return static_cast<double>(m_streamVersions.mixedServices());
    });
    m_metrics.gauge("vanillanotch_data_centres_evacuated", [this] {
        return static_cast<double>(m_instances.evacuatedCount());
    });
    m_peerHandler.setTunnels(&m_tunnelServing);
    m_metrics.gauge("vanillanotch_tunnels_served", [this] {
        return static_cast<double>(m_tunnelGate.count());
    });
    m_metrics.gauge("vanillanotch_servers_cut_off", [this] {
        return m_reachability.cutOff() ? 1.0 : 0.0;
    });
    m_metrics.gauge("vanillanotch_pieces_waiting", [this] {
        return static_cast<double>(m_scheduler.waitingPieces());
    });
    m_metrics.gauge("vanillanotch_threads", [this] {
        return static_cast<double>(m_pool.threadCount() + m_callerPool.threadCount() + m_peerPool.threadCount() + m_readinessPool.threadCount());
    });
    m_metrics.gauge("vanillanotch_proof_age_seconds", [this] {
        return std::chrono::duration<double>(m_deployments.confirmationAge(suspendAwareNow())).count();
    });
}

EntryNode::~EntryNode()
{
    m_timers.stop();
    m_callerPool.stop();
    m_peerPool.stop();
    m_readinessPool.stop();
    m_pool.stop();
}

Result<void> EntryNode::start()
{
    try {
        m_peerServer = std::make_unique<FrontServer>("peers", m_settings.peerAddress, m_peerHandler, m_peerPool, m_capacity.peers);
        m_callerServer = std::make_unique<FrontServer>("callers", m_settings.callerAddress, m_forwardHandler, m_callerPool, m_capacity.callers);
        m_readinessServer = std::make_unique<FrontServer>("readiness", m_settings.readinessAddress, m_readinessHandler, m_readinessPool, m_capacity.readiness);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::ListenFailed, exception.displayText());
    }
    registerGauges("peers", *m_peerServer);
    registerGauges("callers", *m_callerServer);
    registerGauges("readiness", *m_readinessServer);
    // The other tables are read when the members are known, since most nodes then get them from another node. A store that doesn't answer
    // must not delay this for long.
    m_memberWatch.start();
    m_timers.after(MembersReadLimit, [this] {
        followTables();
    });
    beginAnnouncing();
    m_timers.every(OwnedStagesInterval, [this] {
        m_stages.publishOwned();
    });
    m_timers.every(ServerProbeInterval, [this] {
        if (m_reachability.cutOff()) {
            m_pool.post([this] {
                m_serverDialer.probe(m_clock.now() + ServerProbeInterval);
            });
        }
    });
    m_timers.every(VersionsInterval, [this] {
        m_streamVersions.maintain(m_storeHealth.worksFor(suspendAwareNow()), removesExpiredRows());
    });
    m_timers.every(RowCleanupInterval, [this] {
        m_pool.post([this] {
            removeExpiredRows();
        });
    });
    return {};
}

void EntryNode::registerGauges(const std::string &server, const FrontServer &front)
{
    const std::string label = "{server=\"" + server + "\"}";
    m_metrics.gauge("vanillanotch_front_connections" + label, [&front] {
        return static_cast<double>(front.connectionCount());
    });
    m_metrics.gauge("vanillanotch_front_held_bytes" + label, [&front] {
        return static_cast<double>(front.heldBytes());
    });
    m_metrics.gauge("vanillanotch_front_refused_for_memory" + label, [&front] {
        return static_cast<double>(front.counts().refusedForMemory);
    });
    m_metrics.gauge("vanillanotch_front_connections_evicted" + label, [&front] {
        return static_cast<double>(front.counts().evicted);
    });
    m_metrics.gauge("vanillanotch_front_accept_pauses" + label, [&front] {
        return static_cast<double>(front.counts().acceptPauses);
    });
}

void EntryNode::publishNodes()
{
    std::vector<NodePlace> nodes;
    for (const MemberRecord &member : m_members.all()) {
        if (member.state == MemberState::Alive) {
            nodes.push_back(NodePlace{member.name, member.dataCentre});
        }
    }
    m_instances.setNodes(std::move(nodes));
}

std::vector<MemberRecord> EntryNode::otherNodes() const
{
    std::vector<MemberRecord> nodes = m_members.all();
    nodes.erase(std::remove_if(nodes.begin(), nodes.end(),
                               [this](const MemberRecord &member) {
                                   return member.state != MemberState::Alive || member.name == m_settings.node;
                               }),
                nodes.end());
    return nodes;
}

std::function<void(std::string_view)> EntryNode::statementReader(const std::string &server)
{
    struct Reading {
        std::string bytes;
        ReplyHeadReader reader{ReplyHeadLimits{}};
        bool done = false;
    };
    const auto instance = m_instances.findByAddress(server);
    return [this, id = instance ? instance->id : std::string(), reading = std::make_shared<Reading>()](std::string_view bytes) {
        if (reading->done) {
            return;
        }
        reading->bytes += bytes;
        if (const auto head = reading->reader.take(reading->bytes)) {
            reading->done = true;
            freeMemory(reading->bytes);
            if (*head) {
                m_instances.recordStatement(id, m_codec->readReply(**head, std::string()).statement);
            }
        }
    };
}

std::vector<std::string> EntryNode::configurationsOfPeers(std::uint64_t newerThan)
{
    std::vector<MemberRecord> peers = otherNodes();
    std::shuffle(peers.begin(), peers.end(), std::mt19937_64(std::random_device{}()));
    peers.resize(std::min(peers.size(), ConfigurationPeers));
    struct Replies : public RefCounted<Replies> {
        RankedMutex mutex{LockRank::Leaf};
        std::vector<std::string> documents;
    };
    const auto replies = makeRef<Replies>();
    const auto done = makeRef<Latch>(peers.size());
    for (const MemberRecord &peer : peers) {
        m_pool.post([this, replies, done, address = peer.peerAddress, newerThan] {
            auto document = m_deploymentPeers->documentNewerThan(address, newerThan, ConfigurationPeerLimits);
            if (document && *document) {
                const Lock lock(replies->mutex);
                replies->documents.push_back(std::move(**document));
            }
            done->countDown();
        });
    }
    (void)done->wait(ConfigurationPeerLimits.whole);
    const Lock lock(replies->mutex);
    return replies->documents;
}

void EntryNode::followTables()
{
    if (!m_following.exchange(true)) {
        m_deploymentWatch.start();
        m_instanceWatch.start();
        m_crashWatch.start();
    }
}

void EntryNode::beginAnnouncing()
{
    if (!m_announcing.exchange(true)) {
        m_pool.post([this] {
            announce();
        });
    }
}

void EntryNode::announce()
{
    if (m_leaving) {
        return;
    }
    const auto written = m_store->writeRows(MembersTable, {RowWrite{m_settings.node, encodeMember(m_members.self())}}, AnnounceTimeout);
    m_announcing = false;
    if (!written) {
        logEvent(LogLevel::Warning, "node.announce_failed", {{"error", written.error().code}});
        m_timers.after(AnnounceRetryPause, [this] {
            beginAnnouncing();
        });
    }
}

bool EntryNode::removesExpiredRows() const
{
    const std::vector<MemberRecord> members = m_members.all();
    const MemberRecord *remover = nullptr; // one node removes them for all
    for (const MemberRecord &member : members) {
        if (member.state == MemberState::Alive && (remover == nullptr || dutyRank(member, CrashesTable) > dutyRank(*remover, CrashesTable))) {
            remover = &member;
        }
    }
    return remover != nullptr && remover->name == m_settings.node && m_memberListener.hasRead();
}

void EntryNode::removeExpiredRows()
{
    if (!removesExpiredRows()) {
        return;
    }
    m_streamLedger.removeOld(AnnounceTimeout);
    for (const CrashRow &row : m_crashes.expired()) {
        if (!m_store->removeRow(CrashesTable, encodeCrashRow(row).key, AnnounceTimeout)) {
            return; // tried again after RowCleanupInterval
        }
    }
}

void EntryNode::waitUntil(TimePoint time, const std::function<bool()> &done)
{
    RankedMutex mutex(LockRank::Leaf);
    std::condition_variable_any neverNotified;
    while (!done() && m_clock.now() < time) {
        Lock lock(mutex);
        neverNotified.wait_for(lock, StopCheckInterval);
    }
}

void EntryNode::stop()
{
    const TimePoint stopRequested = m_clock.now();
    const auto idle = [this] {
        return m_callerServer->connectionCount() == 0 && m_peerServer->activeRequests() == 0;
    };
    logEvent(LogLevel::Info, "node.stopping", {{"running", static_cast<std::uint64_t>(m_service.runningCount())}});
    m_leaving = true;
    m_members.updateSelf(MemberState::Leaving, Revision{}); // from now on this node owns no instance group and is no relay
    publishNodes();
    const TimePoint end = stopRequested + m_settings.stopLimit - StopMargin;
    m_service.beginStopping(StopWindow{stopRequested + BalancerNoticeTime, end - LastRefusalsTime});
    m_callerServer->beginClosing();
    m_pool.post([this] {
        if (const auto removed = m_store->removeRow(MembersTable, m_settings.node, AnnounceTimeout); !removed) {
            logEvent(LogLevel::Warning, "node.leave_failed",
                     {{"error", removed.error().code}}); // the row may stay; the other nodes then notice the stop when their calls to this node fail
        }
    });
    waitUntil(stopRequested + BalancerNoticeTime, [] {
        return false;
    });
    m_callerServer->closeIdle();
    m_peerHandler.returnTasks();
    waitUntil(end - LastRefusalsTime, idle);
    m_service.refuseWaiting();
    waitUntil(end, idle);
    logEvent(LogLevel::Info, "node.stopped", {{"running", static_cast<std::uint64_t>(m_service.runningCount())}, {"took_ms", m_clock.now() - stopRequested}});
}

} // namespace vanillanotch
