// vanillanotch pipeline library: the data that passes through stages, and how a request's deadline is divided among them.
//
// Index of sections:
//   [DATA]       StageData: the data that each stage reads and adds its result to
//   [TIMES]      StageEstimates: measured times of stages
//   [ADMISSION]  AdmissionPolicy: whether a deadline can be met
//   [RETRIES]    RetryPolicy: whether a failed stage call that may safely be repeated is retried
//
// Rule this aggregate enforces: stages run in order, and the time budget of a stage leaves the later ones the time that they are expected to
// need, as far as the deadline allows. The budget isn't a hard limit: it is used for routing, and for the timeout of idempotent calls until the
// first byte of the reply.
#pragma once

#include "base/base.h"
#include "configuration/configuration.h"

#include <memory>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [DATA]
//-----------------------------------------------------------------------------

struct StageData {
    std::string input; // the caller's text
    std::vector<float> embedding; // result of an encoding stage
    std::vector<std::string> documents; // result of a retrieval stage; a reranking stage sorts them
    std::string text; // result of a generation stage
    unsigned tokens = 0; // number of generated tokens
    std::map<std::string, std::string> serviceResults; // stage name -> JSON document that a stage of kind Service returned
};

//-----------------------------------------------------------------------------
// [TIMES]
//-----------------------------------------------------------------------------

// Moving averages of how long stages take, including queueing and retries. A call that timed out is recorded with the time until its timeout.
// Thread-safe.
class StageEstimates
{
public:
    void record(const PipelineSpec &pipeline, const StageSpec &stage, Duration time);
    Duration expected(const PipelineSpec &pipeline, const StageSpec &stage) const; // StageSpec::typicalTime until a time was recorded
    Duration expectedFrom(const PipelineSpec &pipeline, std::size_t firstStage) const; // sum of expected() over the stages from index firstStage to the last

private:
    mutable RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::pair<std::string, std::string>, Duration> m_average; // by pipeline and stage
};

// Returns the time that a stage may take so that the later ones can still meet the deadline. `remaining`: time until the deadline.
// `expectedThis`, `expectedLater`: expected times of this stage and of all later ones together. The spare time is
// remaining - expectedThis - expectedLater.
//   Spare time above zero: expectedThis plus a share of the spare time. The share is expectedThis / (expectedThis + expectedLater), but at least half.
//   Otherwise, or if both expected times are zero: remaining - expectedLater, but at least half of `remaining`.
Duration stageBudget(Duration remaining, Duration expectedThis, Duration expectedLater);

//-----------------------------------------------------------------------------
// [ADMISSION]
//-----------------------------------------------------------------------------

struct AdmissionInput {
    Duration remaining{}; // until the deadline
    Duration expectedTime{}; // sum of the expected times of all stages
    double utilisation = 0; // of the busiest stage: calls in flight / concurrency, each summed over the servers that can run the stage; 1 also if none can
    double margin = 1; // factor applied to expectedTime; from the preset in force, a named set of settings that operators choose
};

class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;
    virtual bool admits(const AdmissionInput &input) const = 0;
};

// Refuses a request if its expected time, multiplied by the margin, is longer than the time until its deadline. While the servers have free slots
// (utilisation below 95 %), half of that product is compared instead.
std::unique_ptr<AdmissionPolicy> makeDeadlineAdmission();
std::unique_ptr<AdmissionPolicy> makeAdmitAll(); // admits every request; baseline for comparisons

//-----------------------------------------------------------------------------
// [RETRIES]
//-----------------------------------------------------------------------------

struct RetryInput {
    int attempts = 0; // made so far for this stage
    Duration remaining{}; // until the request's deadline
    Duration requiredTime{}; // least time until the deadline for one more attempt and the later stages; may be set below their expected time
    // Retries allowed for each first attempt, from the preset in force. makeBudgetedRetry() ignores this and uses the share given to
    // countFirstAttempt().
    double retryShare = 0.1;
};

class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;
    // Adds `share` retries (usually a fraction of one) to the budget. Call it before the first attempt of each stage of a request.
    virtual void countFirstAttempt(double share) = 0;
    virtual bool tryTake(const RetryInput &input) = 0; // true: a retry is allowed, and one was taken from the budget; false: don't retry
    virtual bool wouldAllow(const RetryInput &input) const = 0; // as tryTake(), but takes nothing
};

// Each first attempt adds a fraction of a retry to a budget, and each retry takes one from it, so that retries can't multiply the load
// while servers are overloaded. maxAttempts: limit for one stage of a request, the first attempt included. maxBudget: largest budget and its start value, in
// retries.
std::unique_ptr<RetryPolicy> makeBudgetedRetry(int maxAttempts = 4, double maxBudget = 10);

} // namespace vanillanotch
