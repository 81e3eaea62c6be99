#include "request/request.h"
#include "request/run.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < 0x7f;
    });
}

tl::unexpected<Refusal> refuseBeforeAdmission(ErrorCode code, std::string detail = {})
{
    Refusal refusal; // its outcome keeps the default NotRun, since no stage has been called
    refusal.code = code;
    refusal.detail = std::move(detail);
    return tl::unexpected<Refusal>(std::move(refusal));
}
} // namespace

RequestService::RequestService(RequestDependencies dependencies, RequestSettings settings, std::function<double()> accountShare)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_accountShare(std::move(accountShare))
{
}

void RequestService::beginLeaving()
{
    m_leaving = true;
}

void RequestService::beginShutdown()
{
    m_leaving = true;
    m_shuttingDown = true;
}

bool RequestService::leaving() const
{
    return m_leaving;
}

std::optional<Error> RequestService::checkSubmission(const Submission &submission, const PipelineSpec &pipeline) const
{
    if (!submission.deadline || *submission.deadline <= std::chrono::milliseconds(0) || *submission.deadline > pipeline.deadlineLimit) {
        return Error{ErrorCode::InvalidDeadline, "deadline_ms must be 1 to " + std::to_string(pipeline.deadlineLimit.count())};
    }
    if (submission.idempotencyKey.empty()) {
        if (pipeline.needsIdempotencyKey()) {
            return Error{ErrorCode::MissingIdempotencyKey, "this pipeline needs the header Idempotency-Key"};
        }
        return std::nullopt;
    }
    if (submission.idempotencyKey.size() > m_settings.maxKeyLength || !isPrintable(submission.idempotencyKey)) {
        return Error{ErrorCode::InvalidIdempotencyKey, "1 to " + std::to_string(m_settings.maxKeyLength) + " printable ASCII characters are allowed"};
    }
    return std::nullopt;
}

bool RequestService::deadlineAttainable(const Configuration &configuration, const PipelineSpec &pipeline, Duration remaining) const
{
    AdmissionInput input;
    input.remaining = remaining;
    input.expectedTime = m_dependencies.estimates.expectedFrom(pipeline, 0);
    input.margin = configuration.preset().admissionMargin;
    for (const StageSpec &stage : pipeline.stages) {
        input.utilisation = std::max(input.utilisation, m_dependencies.servers.utilisation(stage.capability));
    }
    return m_dependencies.admission.admits(input);
}

tl::expected<RequestService::Admitted, Refusal> RequestService::admit(const Submission &submission, TimePoint arrived)
{
    if (m_shuttingDown) {
        return refuseBeforeAdmission(ErrorCode::ShuttingDown, "this node is shutting down");
    }
    const ConfigurationRef configuration = m_dependencies.configurations.current();
    if (configuration->revision() == 0) {
        return refuseBeforeAdmission(ErrorCode::NotReady, "this node has no configuration yet");
    }
    if (submission.apiKey.empty()) {
        return refuseBeforeAdmission(ErrorCode::MissingCredentials, "an API key is needed as a bearer token");
    }
    const ClientAccountSpec *account = configuration->findAccountByKeyDigest(sha256Hex(submission.apiKey));
    if (account == nullptr) {
        return refuseBeforeAdmission(ErrorCode::UnknownCredentials, "the API key isn't known");
    }
    const PipelineSpec *pipeline = configuration->findPipeline(submission.pipeline);
    if (pipeline == nullptr) {
        return refuseBeforeAdmission(ErrorCode::UnknownPipeline, "there is no pipeline with this name");
    }
    if (!account->pipelines.empty() && account->pipelines.count(pipeline->name) == 0) {
        return refuseBeforeAdmission(ErrorCode::PipelineNotAllowed, "this client account may not use the pipeline");
    }
    if (const auto problem = checkSubmission(submission, *pipeline)) {
        return refuseBeforeAdmission(problem->code, problem->detail);
    }
    Admitted admitted;
    admitted.bodyDigest = sha256Hex(pipeline->name + '\n' + submission.input);
    admitted.fingerprint = sha256Hex(account->name + '\n' + admitted.bodyDigest);
    if (m_dependencies.suspects.refuses(admitted.fingerprint)) {
        return refuseBeforeAdmission(ErrorCode::SuspectRefused, "backend servers died while they ran this request");
    }
    auto permit = m_dependencies.accounts.admit(*account, m_accountShare() * configuration->preset().accountShare);
    if (!permit) {
        return refuseBeforeAdmission(permit.error().code, permit.error().detail);
    }
    if (!deadlineAttainable(*configuration, *pipeline, *submission.deadline)) {
        return refuseBeforeAdmission(ErrorCode::DeadlineUnattainable, "the expected finish lies past the deadline");
    }
    admitted.permit = std::move(*permit);
    admitted.request = makeRef<Request>(randomId("req"), configuration, *pipeline, account->name, arrived, arrived + *submission.deadline);
    return admitted;
}

tl::expected<Answer, Refusal> RequestService::serve(const Submission &submission, AnswerSink &sink)
{
    const TimePoint arrived = m_dependencies.clock.now();
    auto admitted = admit(submission, arrived);
    if (!admitted) {
        const int code = static_cast<int>(admitted.error().code);
        m_dependencies.metrics.counter("vanillanotch_refusals_total", "code=\"" + std::to_string(code) + "\"").add();
        if (m_dependencies.configurations.current()->findPipeline(submission.pipeline) != nullptr && code >= static_cast<int>(ErrorCode::NotReady)) {
            m_dependencies.costs.addRequest(submission.pipeline, false, false);
        }
        return tl::unexpected(std::move(admitted.error()));
    }
    const Ref<Request> request = admitted->request;
    m_dependencies.requests.add(request);
    RequestRun run(m_dependencies, m_settings, RunInput{request, submission.input, submission.idempotencyKey, admitted->bodyDigest, admitted->fingerprint},
                   sink);
    auto result = run.execute();
    m_dependencies.requests.markEnded(request);
    recordEnd(*request, result.has_value());
    return result;
}

void RequestService::recordEnd(const Request &request, bool finished)
{
    const TimePoint now = m_dependencies.clock.now();
    const bool inTime = now <= request.deadline();
    const RequestView view = request.view(now);
    m_dependencies.costs.addRequest(request.pipeline().name, finished, inTime);
    const std::string label = "pipeline=\"" + request.pipeline().name + "\"";
    m_dependencies.metrics.histogram("vanillanotch_request_seconds", label).record(now - request.arrived());
    m_dependencies.metrics.counter(finished ? "vanillanotch_requests_finished_total" : "vanillanotch_requests_refused_total", label).add();
    logEvent(finished ? LogLevel::Debug : LogLevel::Info, "request.ended",
             {{"request", view.id},
              {"pipeline", view.pipeline},
              {"state", requestStateName(view.state)},
              {"error", view.error},
              {"attempts", static_cast<std::uint64_t>(view.attempts.size())},
              {"revision", view.revision},
              {"time_ms", view.age}});
}

} // namespace vanillanotch
