// The execution of one admitted request; private to the request library.
#pragma once

#include "request/request.h"

namespace vanillanotch
{

struct RunInput {
    Ref<Request> request;
    std::string input;
    std::string idempotencyKey; // empty: none
    std::string bodyDigest;
    std::string fingerprint; // of the suspect table
};

// Runs the stages in order on the calling thread.
class RequestRun
{
public:
    RequestRun(RequestDependencies &parts, const RequestSettings &settings, RunInput input, AnswerSink &sink);
    tl::expected<Answer, Refusal> execute();

private:
    using Step = tl::expected<void, Refusal>;

    // Before the stages: an answer that exists already, or the stage to begin with.
    tl::expected<std::optional<Answer>, Refusal> prepare();
    tl::expected<std::optional<Answer>, Refusal> reserveKey();
    tl::expected<std::optional<Answer>, Refusal> findRecorded();
    tl::expected<std::optional<Answer>, Refusal> repeated(const std::string &bytes);
    Step resumeKept();
    Step runStages();
    Step runStage(std::size_t index);
    Step startEffect(const std::string &attempt);
    Step keepStage(std::size_t index);
    tl::expected<Answer, Refusal> conclude();
    Answer composeAnswer() const;

    // One attempt of a stage. nullopt: done. A failure: the caller decides whether to go on.
    tl::expected<std::optional<CallFailure>, Refusal> attemptStage(std::size_t index, StageReport &report);
    StageCall prepareCall(const StageSpec &stage, const BackendServerSpec &server, std::size_t index) const;
    void noteSuccess(const StageSpec &stage, ServerLease &lease, StageReply &reply, StageReport &report, Duration time);
    void noteFailure(const StageSpec &stage, ServerLease &lease, const CallFailure &failure, Duration time);
    bool mayRetry(const StageSpec &stage, std::size_t index, const CallFailure &failure, int attempts);
    Duration remaining() const;
    tl::unexpected<Refusal> refuse(ErrorCode code, std::string detail = {});
    // The non-idempotent stage was not sent after all: let the key go.
    void releaseKey();

    RequestDependencies &m_parts;
    const RequestSettings &m_settings;
    RunInput m_input;
    AnswerSink &m_sink;
    const PipelineSpec &m_pipeline;
    JournalKey m_key;
    StageData m_data;
    std::size_t m_firstStage = 0;
    std::vector<StageReport> m_reports;
    std::set<std::string> m_tried; // servers tried for the present stage
    bool m_freshConnection = false;
    std::string m_streamed; // tokens delivered by the present generation stage, failed attempts included
    unsigned m_streamedTokens = 0;
    std::optional<Reservation> m_reservation;
    bool m_effectStarted = false;
};

} // namespace vanillanotch
