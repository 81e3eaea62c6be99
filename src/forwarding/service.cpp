#include "forwarding/run.h"

namespace vanillanotch
{

namespace
{
// Adds to a counter for the time of its life.
class Occupied
{
public:
    Occupied(std::atomic<std::size_t> &counter, std::size_t amount)
        : m_counter(counter)
        , m_amount(amount)
        , m_total(counter.fetch_add(amount) + amount)
    {
    }
    ~Occupied()
    {
        m_counter -= m_amount;
    }
    Occupied(const Occupied &) = delete;
    Occupied &operator=(const Occupied &) = delete;
    std::size_t total() const
    {
        return m_total;
    }

private:
    std::atomic<std::size_t> &m_counter;
    const std::size_t m_amount;
    const std::size_t m_total;
};
} // namespace

ForwardService::ForwardService(ForwardDependencies parts, ForwardSettings settings)
    : m_parts(parts)
    , m_settings(settings)
{
}

void ForwardService::serve(FrontExchange &exchange)
{
    const Occupied request(m_running, 1);
    const Occupied body(m_bodyBytes, exchange.body().size());
    if (request.total() > m_settings.maxRunningRequests || body.total() > m_settings.maxTotalBodyBytes) {
        const Headers headers = m_parts.codec.refusalHeaders(std::string(), m_settings.retryAfter);
        (void)exchange.reply(503, headers, describeRefusal(ErrorCode::Overloaded), m_parts.clock.now() + std::chrono::seconds(1));
        m_parts.metrics.counter("vanillanotch_overloaded_total").add();
        return;
    }
    ForwardRun(m_parts, m_settings, exchange).execute();
}

std::string describeRefusal(ErrorCode code)
{
    return "{\"error\":{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"name\":\"" + std::string(errorName(code)) + "\"}}";
}

} // namespace vanillanotch
