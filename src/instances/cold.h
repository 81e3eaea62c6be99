// Cold instances: they are slow and take few requests, for example after a start. Included by instances.h; InstanceTable asks these classes.
#pragma once

#include "base/base.h"

namespace vanillanotch
{

struct InstanceSpec;
struct NodePlace;

constexpr std::chrono::milliseconds MaxColdTime{600000}; // a longer cold time counts as this one

// The meaning of a stated cold time: a negative one counts as 0, one longer than MaxColdTime as that, and one that is not a number states nothing.
std::optional<std::chrono::milliseconds> coldTimeOf(std::chrono::duration<double, std::milli> stated);

// What the operator's configuration says of the cold instances of a service.
struct ColdRule {
    std::chrono::milliseconds startTime{0}; // for which an instance is cold after its start, if it doesn't state another time
    double requestsPerSecond = 0; // that a cold instance tolerates from all nodes together; 0: no limit
    bool calledByOwner = false; // only the owner of the service's stage work calls its instances
};

// The nodes that may send requests to the instance while it is cold: the first `count` by rendezvous hashing among the nodes of its data centre, or
// among all when there is none. A node that is added or removed thus changes the senders of few instances, and a data centre that is cut off
// goes on using its own.
std::vector<std::string> planColdSenders(const InstanceSpec &instance, const std::vector<NodePlace> &nodes, std::size_t count);

enum class ColdRole {
    Unknown, // this node doesn't know the other nodes, or isn't among them
    Outside, // other nodes send the requests
    Sender,
};

// A node's part of a cold instance's rate.
struct ColdShare {
    ColdRole role = ColdRole::Unknown;
    std::size_t senders = 1; // nodes that may send requests, this one included
    TimePoint since{}; // when what the role depends on has changed last
    double phase = 0; // 0 to 1; differs from node to node
};

struct ColdSettings {
    // The senders share `rateShare` of the tolerated rate and `rateExtra` requests a second. At most 1.5 times the rate and 5 requests may reach an
    // instance in a second. Two sets of nodes with different lists of the nodes may have different senders, so each set gets half of that, less
    // one request for each sender, since an interval may begin or end within the second.
    double rateShare = 0.75;
    double rateExtra = 0.5;
    std::size_t senders = 2;
    std::chrono::milliseconds firstPause{1000}; // nothing is sent for so long after an instance has become cold: it has still the requests of before
    // A new sender waits for so long: the former one may not have heard of the change yet, or it may be this node before a restart.
    std::chrono::milliseconds takeoverPause{2000};
    std::chrono::milliseconds entryDelay{3000}; // an entry may be older than a reply that came this long before it
    // A node that doesn't know the others assumes so many, which take `unknownShare` of the rate together. Each begins at another moment.
    double assumedNodes = 3000;
    double unknownShare = 0.25;
    double busyLoad = 0.7; // cold instances get requests only while each warm one of the service has at least this load (InstanceView::load)
};

// How long an instance stays cold, and the times at which this node may send it requests meanwhile. A request is sent at the earliest one interval
// after the one before it, so that no requests accumulate while none is wanted. Not thread-safe.
class ColdLimiter
{
public:
    void recordEntry(std::chrono::milliseconds remaining, const ColdSettings &settings,
                     TimePoint now); // 0 ends all cold times, except one that a reply has just stated
    void recordReply(std::chrono::milliseconds remaining, TimePoint now);
    void recordStart(TimePoint started); // of an instance whose entry states no time
    TimePoint coldUntil(const ColdRule &rule) const; // the longest of the stated times; in the past: warm
    bool cold(const ColdRule &rule, TimePoint now) const
    {
        return rule.requestsPerSecond > 0 && now < coldUntil(rule);
    }
    // To be called when a time or the rule has changed. True: the instance has become cold or warm since the last call.
    bool update(const ColdRule &rule, const ColdSettings &settings, TimePoint now);

    TimePoint allowedAt(const ColdShare &share, const ColdRule &rule, const ColdSettings &settings, TimePoint now); // in the past: at once
    double rateOf(const ColdShare &share, const ColdRule &rule, const ColdSettings &settings) const; // requests a second that this node may send
    void countRequest(TimePoint now)
    {
        m_sentAt = now;
    }

private:
    TimePoint m_entryUntil{};
    TimePoint m_replyUntil{};
    TimePoint m_replyAt{}; // of the last reply that stated a time
    std::optional<TimePoint> m_started; // counts while the entry states no time
    bool m_wasCold = false; // at the last update()
    std::optional<ColdRole> m_role; // when allowedAt() was called last
    TimePoint m_sentAt{};
    TimePoint m_senderFrom{}; // a sender sends nothing before
    TimePoint m_unknownFrom{}; // a node that doesn't know the others sends nothing before
};

} // namespace vanillanotch
