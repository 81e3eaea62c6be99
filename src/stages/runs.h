// The work of one stage for one request, and its execution. Included by stages.h, which explains the terms.
#pragma once

#include "instances/instances.h"
#include "transport/transport.h"

#include <tuple>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [TASKS]
//-----------------------------------------------------------------------------

// One group of the instances of a service, scheduled together by one node. The data centres that hold instances of the
// service are sorted by name; the one at position p, counted from 0, belongs to group p modulo `count`.
struct InstanceGroup {
    std::size_t index = 0; // from 0
    std::size_t count = 1; // number of groups of the service
};

// Largest number of pieces of one request, in all of its stages. Each takes memory at the node while the request runs.
constexpr unsigned MaxPiecesPerRequest = 4096;

// The work of one stage for one request, as handed to a scheduler.
struct StageTask {
    std::string request; // id of the request, a new one each time the caller tries
    std::size_t stage = 0; // index of the stage in the route
    std::string service;
    unsigned pieces = 0;
    InstanceGroup group;
    std::string pieceKey; // for a stage without inputs: key, sent by the caller, by which an instance finds the data that it computes the pieces from
    std::vector<std::string> inputs; // handles of results of earlier stages; empty: the pieces are computed from the data of `pieceKey`
    DataCentreScope scope; // instances elsewhere get no pieces
    std::string dataCentre; // preferred one: where the inputs are stored or the results will be read; empty: any
    std::size_t crossDataCentreBytes = 0; // bytes sent between data centres when the pieces run outside `dataCentre`
    std::size_t resultBytes = 0; // approximate size of the result of one piece, bytes
    TimePoint target{}; // when the pieces must be done so that the answer can meet the route's target latency; a later answer is worth less
    TimePoint deadline{};
    int priority = 0; // 0 is the most urgent
    // The stage reads results of earlier stages, and no other stage depends on it. Most of the request's work has been done by then, so this
    // task is never refused as late (shed).
    bool endsChain = false;
    std::string crashTrait; // RequestTraits::whole of the request; empty: not stated
    bool isProbe = false; // see CrashGuard::Admission: the pieces are sent once, also while the trait is blocked
};

// One execution of a stage task. Thread-safe.
class StageRun : public RefCounted<StageRun>
{
public:
    StageRun(StageTask task, Ref<WakeupSignal> progress); // `progress` is raised when the run has completed or failed

    const StageTask &task() const
    {
        return m_task;
    }
    void assignGroup(const InstanceGroup &group) // call it before other threads use the run
    {
        m_task.group = group;
    }
    void cancel(); // no further piece is sent; raises cancelSignal()
    bool cancelled() const;
    // Raised by cancel(), so that a thread that waits on a socket for this run can stop.
    Ref<WakeupSignal> cancelSignal();

    // Handles of the results, by piece, once all pieces are done, or the error with which the run failed. nullopt: neither has
    // happened yet; for a cancelled run it may never happen.
    std::optional<Result<std::vector<std::string>>> outcome() const;

    // The following methods are for the StageExecutor that runs the task.
    // Stores the handle of a piece's result. False: the run has ended, was cancelled or already has this piece, so the caller must
    // release the result.
    bool completePiece(unsigned piece, const std::string &handle);
    void fail(ErrorCode code);
    // An instance has crashed that had pieces of this run: from now on they are sent apart from those of other requests, so that another crash shows
    // which request causes it.
    void isolate();
    bool isolated() const;
    unsigned countAttempt(unsigned piece); // counts one call in which the piece was sent; returns the count including this one
    // The handles of the completed pieces of a failed or cancelled run, which the caller must release; each handle is returned once.
    // Empty for other runs.
    std::vector<std::string> takeUnused();

private:
    StageTask m_task;
    const Ref<WakeupSignal> m_progress;
    mutable RankedMutex m_mutex{LockRank::Leaf};
    std::vector<std::string> m_handles; // by piece; empty: not done
    std::vector<unsigned> m_attempts;
    unsigned m_missing; // pieces that are not done
    std::optional<ErrorCode> m_error;
    bool m_cancelled = false;
    std::atomic<bool> m_isolated{false};
    Ref<WakeupSignal> m_cancelSignal;
};

// Index of the InstanceGroup that holds the instances in `dataCentre`. `dataCentres`: those that hold instances of the service, sorted by
// name; `groups`: number of its groups. For another data centre, the position p (see InstanceGroup) is the number of names in
// `dataCentres` that sort before its own.
std::size_t instanceGroupOf(const std::vector<std::string> &dataCentres, const std::string &dataCentre, std::size_t groups);

// The group that a task in `group` is to wait in: its own while that holds instances within the task's scope, else the one of its preferred data
// centre, else any. `dataCentres`: as above. nullopt: no group holds instances within the scope.
std::optional<std::size_t> groupWithInstances(const StageTask &task, const InstanceGroup &group, const std::vector<std::string> &dataCentres);

class StageExecutor
{
public:
    virtual ~StageExecutor() = default;
    virtual void submit(const Ref<StageRun> &run) = 0; // doesn't block
    // How long a new task of the service that prefers the data centre would wait for its turn; zero: not at all, or not known.
    virtual Duration expectedWait(const std::string &service, const std::string &dataCentre) = 0;
};

} // namespace vanillanotch
