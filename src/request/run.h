// The execution of one admitted request; private to the request library.
#pragma once

#include "request/request.h"

namespace vanillanotch
{

struct RunInput {
    Ref<Request> request;
    std::string input; // the caller's text
    std::string idempotencyKey; // empty: none
    std::string bodyDigest; // SHA-256 of pipeline name and input, hexadecimal
    std::string fingerprint; // key of the request in the suspect table
};

// Runs one request: its stages in order, on the calling thread. Call execute() once.
class RequestRun
{
public:
    RequestRun(RequestDependencies &dependencies, const RequestSettings &settings, RunInput input, AnswerSink &sink);
    tl::expected<Answer, Refusal> execute();

private:
    using StepResult = tl::expected<void, Refusal>; // a refusal ends the request

    // Called before the stages run. If an earlier request with the idempotency key has left its answer, returns that answer. Otherwise reserves
    // the key if the pipeline has a non-idempotent stage, sets m_firstStage and m_data from a stored checkpoint if there is one, and returns nullopt.
    tl::expected<std::optional<Answer>, Refusal> prepare();
    // Reserves the idempotency key by a row in the journal, and returns nullopt. If the row already holds the answer of an earlier request with this
    // key, returns that answer instead.
    tl::expected<std::optional<Answer>, Refusal> reserveKey();
    // Returns the answer that the AnswerStore has for the idempotency key; nullopt: none. Called for pipelines that have PipelineSpec::recordAnswer
    // set and no non-idempotent stage.
    tl::expected<std::optional<Answer>, Refusal> findRecordedAnswer();
    tl::expected<std::optional<Answer>, Refusal> decodeRecordedAnswer(const std::string &bytes); // returns the decoded answer (never nullopt)
    StepResult resumeFromCheckpoint(); // sets m_firstStage and m_data if the key has a checkpoint that can be read
    StepResult runStages();
    StepResult runStage(std::size_t index);
    StepResult recordStarted(const std::string &attempt); // records in the journal that the non-idempotent stage is about to be sent
    StepResult checkpointStage(std::size_t index); // stores a checkpoint if StageSpec::keepResult is set
    tl::expected<Answer, Refusal> conclude(); // after the last stage: records and returns the answer
    Answer composeAnswer() const;

    // Makes one attempt of a stage. nullopt: it succeeded. A CallFailure: the call failed, and runStage() decides whether to retry it. A
    // refusal ends the request.
    tl::expected<std::optional<CallFailure>, Refusal> attemptStage(std::size_t index, StageReport &report);
    StageCall prepareCall(const StageSpec &stage, const BackendServerSpec &server, std::size_t index, int attempts) const;
    void recordSuccess(const StageSpec &stage, ServerLease &lease, StageReply &reply, StageReport &report, Duration time);
    void recordFailure(const StageSpec &stage, ServerLease &lease, const CallFailure &failure, Duration time);
    // True: the stage may be attempted again. That takes one retry from the retry budget, unless the call probably failed only because
    // the server had closed the idle connection on which it was sent.
    bool mayRetry(const StageSpec &stage, std::size_t index, const CallFailure &failure, int attempts);
    RetryInput retryInput(std::size_t index, int attempts) const;
    Duration remaining() const; // until the request's deadline
    tl::unexpected<Refusal> refuse(ErrorCode code, std::string detail = {});
    // Releases the idempotency key after a refusal, unless the non-idempotent stage may have been sent.
    void releaseKey();

    RequestDependencies &m_dependencies;
    const RequestSettings &m_settings;
    RunInput m_input;
    AnswerSink &m_sink;
    const PipelineSpec &m_pipeline;
    JournalKey m_key;
    StageData m_data; // the caller's input and the results of the stages that have finished
    std::size_t m_firstStage = 0; // index of the first stage to run; above 0 after resuming from a checkpoint
    std::vector<StageReport> m_reports;
    std::set<std::string> m_triedServers; // names of the servers tried for the current stage; routing avoids them
    bool m_freshConnection = false; // true: the next call must not reuse an idle connection
    std::string m_streamedText; // text that all attempts of the current generation stage have delivered, also the failed ones
    unsigned m_streamedTokens = 0; // tokens in that text
    std::optional<std::string> m_streamedVersion; // software version of the servers that made it; nullopt: there is none yet
    std::optional<Reservation> m_reservation; // the reserved journal row; set by prepare() if the pipeline has a non-idempotent stage
    bool m_startRecorded = false; // true: the journal row of the reservation is in the state `started`
};

} // namespace vanillanotch
