// From which source a node gets a table: the order of its sources, and the choice among them.
#include "watch/watch.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr unsigned MaxDoublings = 3; // how often SourceSettings::relayRetry is doubled at most

bool hasFastLink(const MemberRecord &member, double fastest, const RelayPolicy &policy)
{
    return member.linkMbps * policy.slowLinkFactor >= fastest;
}

// The members of a data centre in the order in which they are to be relays, and how many of them have fast links, as RelayPolicy::slowLinkFactor says. These
// come first: a relay sends each document once to each of its followers.
std::pair<std::vector<MemberRecord>, std::size_t> rankRelays(const std::vector<MemberRecord> &members, const std::string &dataCentre, const std::string &duty,
                                                             const RelayPolicy &policy)
{
    std::vector<MemberRecord> ranked = rankForDuty(members, dataCentre, duty);
    double fastest = 0;
    for (const MemberRecord &member : ranked) {
        fastest = std::max(fastest, member.linkMbps);
    }
    const auto slow = std::stable_partition(ranked.begin(), ranked.end(), [&](const MemberRecord &member) {
        return hasFastLink(member, fastest, policy);
    });
    const auto fast = static_cast<std::size_t>(slow - ranked.begin());
    return {std::move(ranked), fast};
}

// The primary relays of other data centres, in an order that differs from node to node.
std::vector<std::string> remotePrimaries(const std::vector<MemberRecord> &members, const MemberRecord &self, const std::string &duty, const RelayPolicy &policy)
{
    std::vector<const MemberRecord *> others;
    std::map<std::string, double> fastest; // speed of the fastest link, by data centre
    for (const MemberRecord &member : members) {
        if (member.dataCentre != self.dataCentre && member.state == MemberState::Alive) {
            others.push_back(&member);
            double &speed = fastest[member.dataCentre];
            speed = std::max(speed, member.linkMbps);
        }
    }
    std::map<std::string, std::pair<double, const MemberRecord *>> primaries; // with their ranks, by data centre
    for (const MemberRecord *member : others) {
        if (!hasFastLink(*member, fastest[member->dataCentre], policy)) {
            continue;
        }
        const double rank = dutyRank(*member, duty);
        const auto [best, inserted] = primaries.emplace(member->dataCentre, std::pair(rank, member));
        if (!inserted && rank > best->second.first) {
            best->second = {rank, member};
        }
    }
    std::vector<std::pair<std::uint64_t, std::string>> shuffled;
    shuffled.reserve(primaries.size());
    for (const auto &[dataCentre, primary] : primaries) {
        shuffled.emplace_back(stableHash(self.name + "/" + dataCentre), primary.second->peerAddress);
    }
    std::sort(shuffled.begin(), shuffled.end());
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < std::min(policy.remoteRelays, shuffled.size()); ++i) {
        addresses.push_back(shuffled[i].second);
    }
    return addresses;
}
} // namespace

SourceOrder sourceOrder(const std::vector<MemberRecord> &members, const MemberRecord &self, const std::string &table, const RelayPolicy &policy)
{
    const std::string duty = "relay/" + table;
    auto [ranked, fast] = rankRelays(members, self.dataCentre, duty, policy);
    SourceOrder order;
    if (ranked.size() < policy.minMembers) {
        return order;
    }
    const std::size_t serving = std::clamp<std::size_t>(ranked.size() / policy.membersPerRelay, 1, std::min(policy.maxServing, fast));
    const auto isSelf = [&self](const MemberRecord &member) {
        return member.name == self.name;
    };
    const auto position = static_cast<std::size_t>(std::find_if(ranked.begin(), ranked.end(), isSelf) - ranked.begin());
    ranked.resize(std::min(ranked.size(), serving + policy.standbys));
    const auto own = std::find_if(ranked.begin(), ranked.end(), isSelf);
    order.isRelay = own != ranked.end();
    const auto append = [](std::vector<std::string> &addresses, auto first, auto last) {
        std::transform(first, last, std::back_inserter(addresses), [](const MemberRecord &member) {
            return member.peerAddress;
        });
    };
    append(order.beforeStore, ranked.begin(), own);
    if (order.isRelay) {
        append(order.afterStore, std::next(own), ranked.end());
    } else {
        // The members are spread evenly over the serving relays.
        const auto preferred = order.beforeStore.begin() + static_cast<std::ptrdiff_t>(position % serving);
        std::rotate(order.beforeStore.begin(), preferred, std::next(preferred));
    }
    for (std::string &address : remotePrimaries(members, self, duty, policy)) {
        order.afterStore.push_back(std::move(address));
    }
    return order;
}

SourceChooser::SourceChooser(SourceSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_generator(seed)
{
}

TimePoint SourceChooser::callableAt(const std::string &relay) const
{
    const auto found = m_relays.find(relay);
    return found == m_relays.end() ? TimePoint{} : found->second.avoidUntil;
}

tl::expected<SourceChooser::Plan, TimePoint> SourceChooser::next(const SourceOrder &order, TimePoint now) const
{
    TimePoint earliest = m_avoidStoreUntil;
    for (const std::string &relay : order.beforeStore) {
        if (callableAt(relay) <= now) {
            return Plan{relay, std::nullopt, now};
        }
        earliest = std::min(earliest, callableAt(relay));
    }
    // Where the store is the only source, the pauses of TableWatch limit the rate of the calls.
    if (now >= m_avoidStoreUntil || !order.hasRelays()) {
        // The first call after another source asks without a wait: the copy is as old as the failure of that source, and the followers of
        // this node wait for a newer one.
        const bool switched = order.hasRelays() && m_last != std::string();
        return Plan{std::string(),
                    switched                ? std::optional(std::chrono::milliseconds(0))
                        : order.hasRelays() ? std::optional(m_settings.storeWait)
                                            : std::nullopt,
                    now};
    }
    for (const std::string &relay : order.afterStore) {
        if (callableAt(relay) <= now) {
            return Plan{relay, std::nullopt, now};
        }
        earliest = std::min(earliest, callableAt(relay));
    }
    return tl::unexpected(earliest);
}

ReplyVerdict SourceChooser::judge(const SourceOrder &order, const RelayReply &reply) const
{
    // The time that the copy travelled says nothing of its source, and news is news however old.
    const bool fit = reply.ageAtSource < m_settings.maxDataAge && (!order.isRelay || reply.hops <= 1);
    return ReplyVerdict{fit || reply.news, fit};
}

void SourceChooser::recordSuccess(const Plan &plan)
{
    m_relays.erase(plan.relay);
    m_last = plan.relay;
}

void SourceChooser::recordFailure(const Plan &plan, const SourceOrder &order, SourceFailure failure, TimePoint now)
{
    if (m_last == plan.relay) {
        m_last.reset();
    }
    if (!plan.isStore()) {
        RelayState &state = m_relays[plan.relay];
        const bool unfit = failure == SourceFailure::Unfit;
        const Duration pause = unfit ? Duration(m_settings.unfitRetry)
                                     : std::min<Duration>(m_settings.maxRelayRetry, m_settings.relayRetry * (1U << std::min(state.failures, MaxDoublings)));
        state.failures += unfit ? 0 : 1;
        state.avoidUntil = now + pause;
        return;
    }
    const double fraction = std::uniform_real_distribution<double>(0.5, 1.0)(m_generator);
    const auto randomTime = [fraction](std::chrono::milliseconds longest) {
        return std::chrono::duration_cast<Duration>(longest * fraction);
    };
    m_avoidStoreUntil = now + randomTime(m_settings.storePause);
    if (!order.beforeStore.empty()) {
        m_avoidStoreUntil = std::max(m_avoidStoreUntil, plan.begun + randomTime(m_settings.storeRetry));
    }
}

} // namespace vanillanotch
