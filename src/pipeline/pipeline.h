// vanillanotch pipeline library: what flows through stages, and how a deadline is spent on them.
//
// Index of sections:
//   [DATA]       StageData: what stages read and add to
//   [TIMES]      StageEstimates: measured times of stages
//   [ADMISSION]  AdmissionPolicy: whether a deadline can be met
//   [RETRIES]    RetryPolicy: whether a failed call of an idempotent stage is tried again
//
// Rule this aggregate enforces: stages run in order, each within its share of the request's deadline.
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
    std::vector<float> embedding; // from encoding
    std::vector<std::string> documents; // from retrieval, put in order by reranking
    std::string text; // from generation
    unsigned tokens = 0; // generated
    std::map<std::string, std::string> serviceResults; // stage name -> JSON document of a plain service
};

//-----------------------------------------------------------------------------
// [TIMES]
//-----------------------------------------------------------------------------

class StageEstimates
{
public:
    void record(const PipelineSpec &pipeline, const StageSpec &stage, Duration time);
    Duration expected(const PipelineSpec &pipeline, const StageSpec &stage) const; // the declared time until measured
    Duration expectedFrom(const PipelineSpec &pipeline, std::size_t firstStage) const; // sum to the pipeline's end

private:
    mutable RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::pair<std::string, std::string>, Duration> m_average; // (pipeline, stage)
};

// The time a stage may take so that the later ones still fit: its expected time, and its part of what is to spare.
Duration stageBudget(Duration remaining, Duration expectedThis, Duration expectedLater);

//-----------------------------------------------------------------------------
// [ADMISSION]
//-----------------------------------------------------------------------------

struct AdmissionInput {
    Duration remaining{}; // until the deadline
    Duration expectedTime{}; // of all stages together
    double utilisation = 0; // of the busiest stage's servers, 0 to 1
    double margin = 1; // from the preset in force
};

class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;
    virtual bool admits(const AdmissionInput &input) const = 0;
};

std::unique_ptr<AdmissionPolicy> makeDeadlineAdmission(); // refuses what would finish late
std::unique_ptr<AdmissionPolicy> makeAdmitAll(); // baseline: admits all

//-----------------------------------------------------------------------------
// [RETRIES]
//-----------------------------------------------------------------------------

struct RetryInput {
    int attempts = 0; // made so far for this stage
    Duration remaining{}; // until the request's deadline
    Duration expectedTime{}; // of one more attempt and the later stages
    double retryShare = 0.1; // retries for each recent first attempt, from the preset in force
};

class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;
    virtual void countFirstAttempt(double share) = 0;
    virtual bool allows(const RetryInput &input) = 0; // true takes from the budget
};

// Retries come from a budget which first attempts fill, so that they can't multiply the load in a brownout.
std::unique_ptr<RetryPolicy> makeBudgetedRetry(int maxAttempts = 4, double reserve = 10);

} // namespace vanillanotch
