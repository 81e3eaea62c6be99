// vanillanotch pipeline library: the data that passes through stages, and how a request's deadline is divided among them.
//
// Index of sections:
//   [DATA]       StageData: the data that each stage reads and adds its result to
//   [TIMES]      StageEstimates: measured times of stages
//   [ADMISSION]  AdmissionPolicy: whether a deadline can be met
//   [RETRIES]    RetryPolicy: whether a failed call of an idempotent stage is retried
//
// Rule this aggregate enforces: stages run in order, and the time budget of a stage leaves the later ones the time that they are expected to
// need, as far as the deadline allows. The budget isn't a hard limit: it is used for routing and for the first-byte timeout of idempotent
// calls.
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

// Moving averages of how long stages take, including queueing and retries. Calls that timed out are recorded too. Thread-safe.
class StageEstimates
{
public:
    void record(const PipelineSpec &pipeline, const StageSpec &stage, Duration time);
    Duration expected(const PipelineSpec &pipeline, const StageSpec &stage) const; // StageSpec::typicalTime until a time was recorded
    Duration expectedFrom(const PipelineSpec &pipeline, std::size_t firstStage) const; // sum from this stage to the pipeline's end

private:
    mutable RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::pair<std::string, std::string>, Duration> m_average; // by pipeline and stage
};

// The time that a stage may take so that the later ones still meet the deadline: its expected time plus a share of the spare time, which
// is in proportion to its expected time but at least half. The spare time is what the expected times of this and the later stages leave of
// `remaining`. If there is none: `remaining` less the expected time of the later stages, but at least half of `remaining`.
Duration stageBudget(Duration remaining, Duration expectedThis, Duration expectedLater);

//-----------------------------------------------------------------------------
// [ADMISSION]
//-----------------------------------------------------------------------------

struct AdmissionInput {
    Duration remaining{}; // until the deadline
    Duration expectedTime{}; // sum of the expected times of all stages
    double utilisation = 0; // of the servers of the busiest stage, 0 to 1
    double margin = 1; // factor on the expected time; from the preset in force, a named set of settings that operators choose
};

class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;
    virtual bool admits(const AdmissionInput &input) const = 0;
};

// Refuses requests that are expected to finish after their deadline; while servers have free slots, only those that would do so even in half
// of the expected time.
std::unique_ptr<AdmissionPolicy> makeDeadlineAdmission();
std::unique_ptr<AdmissionPolicy> makeAdmitAll(); // admits every request; baseline for comparisons

//-----------------------------------------------------------------------------
// [RETRIES]
//-----------------------------------------------------------------------------

struct RetryInput {
    int attempts = 0; // made so far for this stage
    Duration remaining{}; // until the request's deadline
    Duration requiredTime{}; // time that must remain for one more attempt and the later stages; the caller may ask for less than the average
    double retryShare = 0.1; // from the preset in force; makeBudgetedRetry() ignores it and uses the share given to countFirstAttempt()
};

class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;
    virtual void countFirstAttempt(double share) = 0; // adds `share` retries to the budget
    virtual bool tryTake(const RetryInput &input) = 0; // true: takes one retry from the budget
};

// Each first attempt adds a fraction of a retry to a budget, and each retry takes one from it, so that retries can't multiply the load
// while servers are overloaded. maxAttempts: for one stage, the first one included. maxBudget: largest budget and its start value, in retries.
std::unique_ptr<RetryPolicy> makeBudgetedRetry(int maxAttempts = 4, double maxBudget = 10);

} // namespace vanillanotch
