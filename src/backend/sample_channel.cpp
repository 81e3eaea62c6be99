// Simulated backend servers for --demo.
#include "backend/backend.h"

#include <algorithm>
#include <condition_variable>

namespace vanillanotch
{

namespace
{
constexpr Duration SampleStageTime = std::chrono::milliseconds(6); // duration of a call, except of a generation stage
constexpr Duration SampleTokenTime = std::chrono::milliseconds(2); // time between two tokens

const std::vector<std::string> &sampleDocuments()
{
    static const std::vector<std::string> documents{
        "A circle pays one pot each month, by rota.",
        "A member who missed a share pays it with the next one.",
        "A grease-load report names the duct, the load and the crew.",
    };
    return documents;
}

class SampleBackendChannel final : public BackendChannel
{
public:
    tl::expected<StageReply, CallFailure> call(const StageCall &call, StageListener &listener) override
    {
        StageReply reply;
        reply.data = *call.data;
        reply.load = 0.1;
        const TimePoint startedAt = std::chrono::steady_clock::now();
        switch (call.stage->kind) {
        case StageKind::Encoding:
            sleepFor(SampleStageTime);
            reply.data.embedding = {0.25F, 0.5F, 0.75F};
            break;
        case StageKind::Retrieval:
            sleepFor(SampleStageTime);
            reply.data.documents = sampleDocuments();
            break;
        case StageKind::Reranking:
            sleepFor(SampleStageTime);
            std::reverse(reply.data.documents.begin(), reply.data.documents.end());
            break;
        case StageKind::Generation:
            if (!generate(call, listener)) {
                CallFailure disconnected;
                disconnected.code = ErrorCode::CallerDisconnected;
                disconnected.maybeSent = true;
                return tl::unexpected(disconnected);
            }
            break;
        case StageKind::Service:
            sleepFor(SampleStageTime);
            reply.data.serviceResults[call.stage->name] = R"({"accepted":true})";
            break;
        }
        reply.serviceTime = std::chrono::steady_clock::now() - startedAt;
        return reply;
    }

    bool acceptsConnections(const std::string & /*address*/) override
    {
        return true;
    }

    void discardIdleConnections(const std::string & /*address*/) override
    {
    }

    void closeExpiredConnections() override
    {
    }

private:
    // Waits for the time that a real server would take; the condition variable is never notified, so only the timeout ends the wait.
    static void sleepFor(Duration duration)
    {
        RankedMutex mutex(LockRank::Leaf);
        std::condition_variable_any neverNotified;
        Lock lock(mutex);
        neverNotified.wait_for(lock, duration, [] {
            return false;
        });
    }

    // Passes the sample answer to the listener word by word. False: the caller has disconnected.
    static bool generate(const StageCall &call, StageListener &listener)
    {
        constexpr std::string_view Words = "This is a sample answer, generated token by token by a server inside the process.";
        std::size_t begin = 0;
        unsigned index = 0;
        while (begin < Words.size()) {
            const std::size_t space = Words.find(' ', begin);
            const std::size_t end = space == std::string_view::npos ? Words.size() : space + 1;
            if (index++ >= call.resumeAfterTokens) {
                sleepFor(SampleTokenTime);
                if (!listener.token(Words.substr(begin, end - begin)) || listener.cancelled()) {
                    return false;
                }
                listener.flush();
            }
            begin = end;
        }
        return true;
    }
};
} // namespace

std::unique_ptr<BackendChannel> makeSampleBackendChannel()
{
    return std::make_unique<SampleBackendChannel>();
}

} // namespace vanillanotch
