#include "forwarding/run.h"

namespace vanillanotch
{

namespace
{
// Adds an amount to a counter and subtracts it again when destroyed.
class CounterGuard
{
public:
    CounterGuard(std::atomic<std::size_t> &counter, std::size_t amount)
        : m_counter(counter)
        , m_amount(amount)
        , m_total(counter.fetch_add(amount) + amount)
    {
    }
    ~CounterGuard()
    {
        m_counter -= m_amount;
    }
    CounterGuard(const CounterGuard &) = delete;
    CounterGuard &operator=(const CounterGuard &) = delete;
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

ForwardService::ForwardService(ForwardDependencies dependencies, ForwardSettings settings)
    : m_dependencies(dependencies)
    , m_settings(std::move(settings))
{
}

// Lists a run among those that are being executed, also when execute() throws.
class ForwardService::Registration
{
public:
    Registration(ForwardService &service, ForwardRun &run)
        : m_service(service)
        , m_run(run)
    {
        const Lock lock(m_service.m_mutex);
        m_service.m_runs.insert(&m_run);
    }
    ~Registration()
    {
        const Lock lock(m_service.m_mutex);
        m_service.m_runs.erase(&m_run);
    }
    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;

private:
    ForwardService &m_service;
    ForwardRun &m_run;
};

void ForwardService::serve(FrontExchange &exchange)
{
    const CounterGuard request(m_running, 1);
    // The body is counted once more, since it is copied into the call to a server.
    const bool fits = exchange.tryHold(m_settings.bytesOfRun + exchange.body().size());
    if (!fits || request.total() > m_settings.maxRunningRequests) {
        const Headers headers = m_dependencies.codec.refusalHeaders(std::string(), m_settings.retryAfter);
        (void)exchange.reply(503, headers, describeRefusal(ErrorCode::Overloaded), m_dependencies.clock.now() + std::chrono::seconds(1));
        m_dependencies.metrics.counter("vanillanotch_overloaded_total").add();
        return;
    }
    ForwardRun run(m_dependencies, m_settings, exchange, RunContext{m_stop, m_totalTimes, m_serverTimes});
    const Registration registration(*this, run);
    run.execute();
}

void ForwardService::beginStopping(const StopWindow &window)
{
    m_stop.begin(window);
}

void PlannedStop::begin(const StopWindow &window)
{
    const Lock lock(m_mutex);
    m_window = window;
}

std::optional<StopWindow> PlannedStop::window() const
{
    const Lock lock(m_mutex);
    return m_window;
}

void ForwardService::refuseWaiting()
{
    const Lock lock(m_mutex);
    for (ForwardRun *run : m_runs) {
        run->refuseWaiting();
    }
}

std::string describeRefusal(ErrorCode code)
{
    return "{\"error\":{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"name\":\"" + std::string(errorName(code)) + "\"}}";
}

} // namespace vanillanotch
