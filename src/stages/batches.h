// Which pieces go to which instance, and which work is refused: decisions without locks and network. Included by stages.h.
//
// Index of sections:
//   [BATCHES]   planBatch: which waiting pieces an instance gets next; shedLate: which ones are refused
//   [BACKLOG]   StageBacklog: how long tasks wait at other nodes; lateStep: which requests are refused before their first stage
#pragma once

#include "stages/runs.h"

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [BATCHES]
//-----------------------------------------------------------------------------

// When late work is refused (shed). Pieces in a queue are late when, at the expected throughput, they can't be done by the target of their
// task. Pieces whose target has passed are also sorted further back in the queue (BatchSettings::latePenalty). Late pieces are shed when the
// pieces ahead of them take longer than waitThreshold. They are also shed when their target passed longer ago than overdueThreshold and the
// queued pieces whose target has not passed take longer than onTimeBacklog.
struct ShedSettings {
    std::chrono::milliseconds waitThreshold{500}; // limit of the expected time for the pieces ahead
    std::chrono::milliseconds overdueThreshold{1500}; // limit of the time since the target
    std::chrono::milliseconds onTimeBacklog{200}; // limit of the expected time for the queued pieces whose target has not passed
};

struct BatchSettings {
    std::chrono::milliseconds localMaxWait{250}; // longest wait of pieces for an instance in their preferred data centre
    // Pieces wait for an instance in their preferred data centre only if one there is expected to be free within this time.
    std::chrono::milliseconds localFreeWithin{90};
    // Added to localFreeWithin for each step of priority below the most urgent: less urgent work waits longer, because a transfer between data
    // centres costs the same at every priority.
    std::chrono::milliseconds localFreeWithinPerPriority{60};
    // Longest wait for an instance in the preferred data centre, as a share of the time from the start of the wait until the target. The
    // shorter of this and localMaxWait applies.
    double localWaitShare = 0.25;
    // Pieces wait for an instance in their preferred data centre only if running them elsewhere would transfer at least this many bytes
    // between data centres. A transfer of this size costs more than a short wait.
    std::size_t largeTransferBytes = 500'000;
    double slowInstanceFactor = 2.0; // an instance that takes more than this many times the declared time counts as slow
    std::chrono::milliseconds slowInstanceWait{250}; // slow instances are used only when some piece in the queue has waited this long
    std::chrono::milliseconds priorityStep{250}; // each step of priority below the most urgent counts as a target that is this much later
    // Work that has missed its target is sorted as if its target were this far in the future, so that it waits for work that can still
    // meet its target.
    std::chrono::milliseconds latePenalty{2500};
    ShedSettings shed;
    unsigned maxAttempts = 3; // maximum number of calls for one piece; not counted: calls that sent nothing or in which a result found no storage
};

// Pieces of one run that wait for a free instance.
struct PendingPieces {
    Ref<StageRun> run;
    std::vector<unsigned> pieces;
    TimePoint waitingSince{}; // when the pieces began to wait
};

// One instance, as input to planBatch().
struct StageInstanceView {
    std::string dataCentre;
    double slowness = 1; // moving average of measured call time / declared call time
    std::size_t freeResultBytes = 0; // free storage for results, bytes; 0: no limit stated
};

// By data centre: the earliest time at which one of its instances is expected to be free. Data centres without instances are absent.
using EarliestFreeTimes = std::map<std::string, TimePoint>;

struct BatchPick {
    Ref<StageRun> run;
    unsigned piece = 0;
    TimePoint waitingSince{}; // when the piece began to wait
};

// True when `a` goes before `b`: sorted by target, adjusted by priorityStep and latePenalty (see BatchSettings), then by deadline.
bool moreUrgent(const StageTask &a, const StageTask &b, TimePoint now, const BatchSettings &settings);

// Combined throughput of all instances that take pieces from a queue.
struct StageThroughput {
    double piecesPerSecond = 0;
    Duration batchTime{}; // declared time of a call with a full batch
};

// Measures the throughput of a queue's instances while pieces wait. It can be below the declared one, for example while the instances
// have no free storage for results.
// Not thread-safe.
class ThroughputMeter
{
public:
    void markIdle(TimePoint now); // to be called when pieces come into an empty queue: the waiting time starts at `now`
    void recordStarted(TimePoint now, std::size_t pieces);
    // Pieces per second that were started in the last window, but at least MinimumShare of `declared`, which is the declared throughput.
    // Returns `declared` until pieces have waited for a whole window.
    double piecesPerSecond(double declared, TimePoint now);

private:
    static constexpr std::chrono::milliseconds Window{1000}; // length of the window; long enough for several calls of each instance
    static constexpr double MinimumShare = 0.25; // lowest result as a share of `declared`: a short stall must not count as no throughput

    TimePoint m_waitingSince{};
    std::deque<std::pair<TimePoint, std::size_t>> m_started;
};

struct ShedRun {
    Ref<StageRun> run;
    Duration expectedWait{}; // expected time until the run would have started
};

// Removes and returns runs that would miss their target, under the conditions of ShedSettings. Runs with StageTask::endsChain stay.
std::vector<ShedRun> shedLate(std::vector<PendingPieces> &queue, const StageThroughput &throughput, TimePoint now, const BatchSettings &settings);

// Removes and returns at most `maxBatch` pieces, the most urgent first. The pieces of a run are split over two batches only when
// there are more of them than one batch holds, or when enough pieces for two full batches wait. Cancelled runs are removed from the queue.
// Pieces that wait for an instance in their preferred data centre stay in the queue. A slow instance gets no pieces until some piece has
// waited for slowInstanceWait. The pieces of an isolated run (StageRun::isolate()) are in a batch of their own. The results of a batch fit into the instance's
// free storage.
std::vector<BatchPick> planBatch(std::vector<PendingPieces> &queue, const StageInstanceView &view, const EarliestFreeTimes &earliestFree, std::size_t maxBatch,
                                 TimePoint now, const BatchSettings &settings);

//-----------------------------------------------------------------------------
// [BACKLOG]
//-----------------------------------------------------------------------------

// What this node knows of the work that waits at the owners of instance groups. Not thread-safe.
class StageBacklog
{
public:
    void record(const std::string &service, const InstanceGroup &group, Duration wait, TimePoint now);
    // The recorded wait, less the time since then; zero: nothing was recorded within MaxAge.
    Duration expectedWait(const std::string &service, const InstanceGroup &group, TimePoint now) const;
    // The group that a task of the service is to go to: `preferred`, or the one with the shortest wait if that is shorter by more than
    // `advantage`.
    std::size_t groupFor(const std::string &service, const InstanceGroup &preferred, Duration advantage, TimePoint now) const;

    static constexpr std::chrono::milliseconds MaxAge{1500};

private:
    struct Record {
        Duration wait{};
        TimePoint at{};
    };
    std::map<std::tuple<std::string, std::size_t, std::size_t>, Record> m_records; // by service, index and count of the group
};

// One stage of a request, as input to lateStep().
struct ChainStep {
    Duration before{}; // declared time of the stages before it
    Duration wait{}; // expected wait for its turn
    Duration own{}; // declared time of its call
    TimePoint target{}; // as StageTask::target
};

// Index of the first step that would be refused as late under the conditions of ShedSettings; nullopt: none. Such a request is refused
// before its first stage, so that no work is done for it in vain.
std::optional<std::size_t> lateStep(const std::vector<ChainStep> &chain, TimePoint now, const ShedSettings &settings);

} // namespace vanillanotch
