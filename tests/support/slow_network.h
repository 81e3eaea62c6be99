// Large tables over slow links: a data centre's nodes get a configuration from the store and from each other over links of stated speed. The links and the
// clock are simulated; the sources, their verdicts and the limits of calls are the product's.
#include "watch/watch.h"

#include <algorithm>

namespace vanillanotch::test
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Step{10}; // of the clock
constexpr double ConfirmationBytes = 400; // a reply without rows
constexpr double StoreOverhead = 4.0 / 3; // the store sends values in base64
constexpr double MegaByte = 1e6;

inline double bytesInStep(double mbps)
{
    return mbps * MegaByte / 8 * std::chrono::duration<double>(Step).count();
}

// One data centre. Each node follows one table; a version of it is a document that is sent as a whole.
class SlowNetwork
{
public:
    SlowNetwork(std::size_t nodes, std::size_t fastNodes, std::uint64_t seed)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            MemberRecord member;
            member.name = "n" + std::to_string(seed) + "-" + std::to_string(i);
            member.peerAddress = member.name;
            member.dataCentre = "dc";
            member.cores = i < fastNodes ? 0.5 : 0.12;
            member.linkMbps = i < fastNodes ? 200 : 10;
            m_byAddress[member.peerAddress] = i;
            m_members.push_back(member);
            m_nodes.emplace_back(member, seed * 1000 + i);
        }
        for (Node &node : m_nodes) {
            node.order = sourceOrder(m_members, node.record, "op", RelayPolicy{});
            node.asOf = m_now;
        }
    }

    void publish(double bytes)
    {
        ++m_published;
        m_bytes[m_published] = bytes;
    }
    std::uint64_t lowestVersion() const
    {
        std::uint64_t lowest = m_published;
        for (const Node &node : m_nodes) {
            lowest = std::min(lowest, node.version);
        }
        return lowest;
    }
    // Until all nodes have `version`; returns the time that took, at most about `limit`.
    Duration runUntilAllHave(std::uint64_t version, Duration limit)
    {
        const TimePoint begun = m_now;
        while (lowestVersion() < version && m_now - begun < limit) {
            step();
        }
        return m_now - begun;
    }
    void run(Duration span)
    {
        for (const TimePoint until = m_now + span; m_now < until;) {
            step();
        }
    }
    double mostDocumentBytesSent() const // by one node
    {
        double most = 0;
        for (const Node &node : m_nodes) {
            most = std::max(most, node.documentBytesSent);
        }
        return most;
    }

private:
    struct Transfer {
        std::uint64_t version = 0;
        double left = 0; // bytes
        double total = 0;
        TimePoint begun;
        TimePoint asOf;
        unsigned hops = 0;
    };
    struct Call {
        SourceChooser::Plan plan;
        RelayQuery query;
        ReplyLimits limits;
        TimePoint begun;
        TimePoint lastByte;
        std::optional<Transfer> transfer{};
    };
    struct Node {
        Node(MemberRecord member, std::uint64_t seed)
            : record(std::move(member))
            , chooser(std::make_unique<SourceChooser>(SourceSettings{}, seed))
            , schedule(std::make_unique<PollSchedule>(watchSettings(seconds(3), milliseconds(0)), seed))
        {
        }
        MemberRecord record;
        std::unique_ptr<SourceChooser> chooser;
        std::unique_ptr<PollSchedule> schedule;
        SourceOrder order{};
        std::uint64_t version = 1;
        TimePoint asOf{};
        unsigned hops = 0;
        std::optional<Call> call{};
        TimePoint pausedUntil{};
        bool unanswered = false;
        double documentBytesSent = 0;
    };

    void step()
    {
        for (Node &node : m_nodes) {
            if (!node.call && m_now >= node.pausedUntil) {
                begin(node);
            }
        }
        for (Node &node : m_nodes) {
            if (node.call && !node.call->transfer) {
                answer(node);
            }
        }
        moveBytes();
        m_now += Step;
        for (Node &node : m_nodes) {
            if (node.call) {
                finish(node);
            }
        }
    }

    void begin(Node &node)
    {
        const auto plan = node.chooser->next(node.order, m_now);
        if (!plan) {
            (void)node.schedule->recordFailure();
            node.pausedUntil = plan.error();
            return;
        }
        const milliseconds wait = node.unanswered ? milliseconds(0) : node.schedule->wait();
        Call call{*plan, RelayQuery{"op", StorePosition(1, node.version), std::min(wait, RelaySettings{}.relayWait)}, {}, m_now, m_now};
        if (plan->isStore()) {
            call.query.wait = std::min(wait, plan->wait.value_or(wait));
            call.limits = storeReplyLimits(call.query.wait, WatchSettings{}.replyTimeout);
        } else {
            call.limits = relayReplyLimits(call.query, RelaySettings{});
        }
        node.call = call;
    }

    void answer(Node &node)
    {
        Call &call = *node.call;
        const Node *relay = call.plan.isStore() ? nullptr : &m_nodes[m_byAddress.at(call.plan.relay)];
        const std::uint64_t version = relay != nullptr ? relay->version : m_published;
        const TimePoint asOf = relay != nullptr ? relay->asOf : m_now;
        const bool news = version > node.version;
        const bool confirmed = relay != nullptr && asOf > node.asOf + milliseconds(50);
        if (!news && !confirmed && m_now - call.begun < call.query.wait) {
            return;
        }
        const double bytes = news ? m_bytes.at(version) * (relay == nullptr ? StoreOverhead : 1) : ConfirmationBytes;
        call.transfer = Transfer{version, bytes, bytes, m_now, asOf, relay != nullptr ? relay->hops + 1 : 0};
    }

    // The connections of a link share it evenly, in each direction.
    void moveBytes()
    {
        std::map<std::string, double> sending;
        for (const Node &node : m_nodes) {
            if (node.call && node.call->transfer && !node.call->plan.isStore()) {
                ++sending[node.call->plan.relay];
            }
        }
        for (Node &node : m_nodes) {
            if (!node.call || !node.call->transfer) {
                continue;
            }
            Call &call = *node.call;
            double bytes = bytesInStep(node.record.linkMbps);
            if (!call.plan.isStore()) {
                Node &relay = m_nodes[m_byAddress.at(call.plan.relay)];
                bytes = std::min({bytes, bytesInStep(relay.record.linkMbps) / sending[call.plan.relay], call.transfer->left});
                relay.documentBytesSent += call.transfer->total > ConfirmationBytes ? bytes : 0;
            }
            call.transfer->left -= bytes;
            call.lastByte = m_now + Step;
        }
    }

    void finish(Node &node)
    {
        const Call call = *node.call;
        const bool complete = call.transfer && call.transfer->left <= 0;
        const TimePoint end = call.transfer ? call.limits.nextByteBy(call.begun, call.lastByte) : call.begun + call.limits.head;
        if (complete) {
            const Transfer &transfer = *call.transfer;
            const RelayReply reply{transfer.hops, transfer.begun - transfer.asOf, transfer.version > node.version};
            const ReplyVerdict verdict = call.plan.isStore() ? ReplyVerdict{true, true} : node.chooser->judge(node.order, reply);
            if (verdict.useRows) {
                node.version = std::max(node.version, transfer.version);
                node.asOf = std::max(node.asOf, transfer.asOf);
                node.hops = transfer.hops;
            }
            conclude(node, verdict.useRows, verdict.sourceFit, SourceFailure::Unfit);
        } else if (m_now >= end) {
            conclude(node, false, false, SourceFailure::Unreachable);
        }
    }

    void conclude(Node &node, bool used, bool fit, SourceFailure failure)
    {
        const SourceChooser::Plan plan = node.call->plan;
        node.call.reset();
        node.unanswered = !used && failure == SourceFailure::Unreachable;
        if (fit) {
            node.chooser->recordSuccess(plan);
        } else {
            node.chooser->recordFailure(plan, node.order, failure, m_now);
        }
        if (used) {
            (void)node.schedule->recordAnswer(false);
        } else if (plan.isStore() && node.order.afterStore.empty()) {
            const Duration pause = node.schedule->recordFailure();
            const auto following = node.chooser->next(node.order, m_now);
            node.pausedUntil = following ? m_now + pause : following.error();
        }
    }

    TimePoint m_now{seconds(1000)};
    std::uint64_t m_published = 1;
    std::map<std::uint64_t, double> m_bytes;
    std::vector<MemberRecord> m_members;
    std::vector<Node> m_nodes;
    std::map<std::string, std::size_t> m_byAddress;
};

inline double secondsFor(double bytes, double mbps)
{
    return bytes * 8 / (mbps * MegaByte);
}

// Time for a document to reach all nodes: from the store to the first relay, from there to the others and to its followers, from these to theirs. Each relay
// has at most `followers` of them, which share its link; a follower's own link may be the narrower one.
inline double transferSeconds(double bytes, double relayMbps, double nodeMbps, double followers)
{
    const double level = std::max(secondsFor(bytes, relayMbps) * followers, secondsFor(bytes, nodeMbps));
    return secondsFor(bytes * StoreOverhead, relayMbps) + 2 * level;
}

inline double mostFollowers(std::size_t nodes)
{
    const RelayPolicy policy;
    return static_cast<double>(std::min(nodes, policy.membersPerRelay + policy.maxServing + policy.standbys));
}

struct Failures {
    std::string text;
    void add(const std::string &what, double took, double bound)
    {
        text += what + " took " + std::to_string(took) + " s, expected at most " + std::to_string(bound) + " s\n";
    }
};

// Two versions, the second one while the first is on its way.
inline void playTwoVersions(Failures &failures, std::size_t nodes, std::size_t fastNodes, double bytes, std::uint64_t seed)
{
    const double relayMbps = fastNodes > 0 ? 200 : 10;
    const double transfer = transferSeconds(bytes, relayMbps, 10, mostFollowers(nodes));
    constexpr double Waits = 1; // for the moment of the next call, at each of the levels, and for the step of the clock
    SlowNetwork network(nodes, fastNodes, seed);
    network.run(seconds(5));
    network.publish(bytes);
    const auto untilSecond = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(0.3 * transfer));
    network.run(untilSecond);
    network.publish(bytes);
    const auto limit = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(4 * transfer + 10));
    const double first = std::chrono::duration<double>(untilSecond + network.runUntilAllHave(2, limit)).count();
    const double second = first - 0.3 * transfer + std::chrono::duration<double>(network.runUntilAllHave(3, limit)).count();
    const std::string what = std::to_string(nodes) + " nodes, " + std::to_string(fastNodes) + " of them fast, "
        + std::to_string(static_cast<long>(bytes / 1000)) + " KB, seed " + std::to_string(seed) + ": ";
    if (first > transfer + Waits) {
        failures.add(what + "the first version", first, transfer + Waits);
    }
    if (second > 2 * transfer + Waits) {
        failures.add(what + "the second version", second, 2 * transfer + Waits);
    }
    const double mostCopies = network.mostDocumentBytesSent() / bytes;
    const double bound = 2 * mostFollowers(nodes); // each version once to each follower
    if (mostCopies > bound) {
        failures.text += what + "a node sent " + std::to_string(mostCopies) + " copies, expected at most " + std::to_string(bound) + "\n";
    }
}
} // namespace vanillanotch::test
