// Model servers of several software versions, and clients that take streams up, for the scripts of the third review.
#pragma once

#include "harness-3.h"

namespace review
{

constexpr int Events = 24; // of a stream
constexpr int EventMs = 200; // between two events
constexpr int DeadlineMs = 8000;

inline std::string streamConfiguration()
{
    const Json route{{"Name", "member-explain"}, {"Host", "desk.example"},  {"Prefix", "/explain/"},   {"Kind", "streaming"}, {"Service", "model-desk"},
                     {"StreamResume", true},     {"TimeoutMs", DeadlineMs}, {"TargetLatencyMs", 1600}, {"GapAimMs", 400},     {"Priority", 2},
                     {"MaxAttempts", 2},         {"SessionAffinity", true}, {"AllowAnonymous", false}};
    return Json{{"Version", 1},
                {"Routes", Json::array({route})},
                {"Services", Json::array({Json{{"Name", "model-desk"}, {"Engine", {{"Slots", 48}, {"KvCapacityTokens", 444000}}}}})},
                {"Tenants", Json::array({Json{{"Name", "circle"}, {"ApiKeys", {"key-1"}}}})},
                {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 65536}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}}
        .dump();
}

// A model server. Each event says which server wrote it and at which software version. It goes on after Last-Event-Id, as it is asked to.
class StreamWorker
{
public:
    // `port`: 0: a free one. `registers`: it writes its entry to the store (a store that is away doesn't get it).
    StreamWorker(Store &store, std::string id, std::string zone, std::string version, int port = 0, bool registers = true)
        : m_store(store)
        , m_id(std::move(id))
        , m_zone(std::move(zone))
        , m_version(std::move(version))
        , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_server(
              [this](const Request &request) {
                  return handle(request);
              },
              port)
    {
        m_registers = registers;
        beat();
        m_thread = std::thread([this] {
            while (!m_stopping) {
                for (int i = 0; i < 24 && !m_stopping; ++i) {
                    sleepMs(50);
                }
                beat();
            }
        });
    }
    void setRegisters(bool registers)
    {
        m_registers = registers;
    }
    int port() const
    {
        return m_server.port();
    }
    const std::string &id() const
    {
        return m_id;
    }
    ~StreamWorker()
    {
        m_stopping = true;
        m_thread.join();
        m_server.stop();
    }

private:
    void beat()
    {
        if (!m_registers || m_stopping) {
            return;
        }
        m_store.write("servers", m_id,
                      Json{{"Service", "model-desk"},
                           {"Address", m_server.address()},
                           {"Zone", m_zone},
                           {"Version", m_version},
                           {"Slots", 48},
                           {"State", "ready"},
                           {"ColdRemainingMs", 0},
                           {"Sequence", ++m_sequence},
                           {"born", m_born}}
                          .dump());
    }
    Answer handle(const Request &request)
    {
        Answer answer;
        const std::string attempt = request.fields.get("X-Attempt-Id");
        if (const std::string expected = request.fields.get("X-Expect-Instance"); !expected.empty() && expected != m_id) {
            answer.status = 421;
            answer.fields.list = {{"X-Not-Executed", "1"}};
            return answer;
        }
        const std::string after = request.fields.get("Last-Event-Id");
        record().add("run    " + attempt + " at " + m_id + " (software " + m_version + ")" + (after.empty() ? "" : ", goes on after event " + after));
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + m_id + "." + attempt
            + "\r\nX-Weight-Versions: 1\r\nX-Server-Load: 1,0,48\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
        answer.written = true;
        sleepMs(20);
        bool connected = sendAll(request.descriptor, head);
        for (int event = after.empty() ? 1 : std::stoi(after) + 1; connected && event <= Events && !m_stopping; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + m_id + " " + m_version + "\n\n";
            std::ostringstream size;
            size << std::hex << text.size();
            connected = sendAll(request.descriptor, size.str() + "\r\n" + text + "\r\n");
            sleepMs(EventMs);
        }
        if (connected) {
            sendAll(request.descriptor, "0\r\n\r\n");
        }
        return answer;
    }

    Store &m_store;
    const std::string m_id;
    const std::string m_zone;
    const std::string m_version;
    const std::int64_t m_born;
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_registers{true};
    Server m_server;
    std::thread m_thread;
};

struct Stream {
    std::string first; // X-Attempt-Id of the attempt that brought the first event
    int lastEvent = 0;
    std::set<std::string> versions;
    bool whole = false;
    int tries = 0;
    std::string ends;
};

// One try at a stream. Takes up what is missing if the stream has begun.
inline void attempt(Stream &stream, int port, int number, Clock::time_point deadline)
{
    const std::string id = "s" + std::to_string(number) + "t" + std::to_string(++stream.tries);
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    std::string request = "POST /explain/2f HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(left.count()) + "\r\nX-Model: m\r\nX-Token-Count: 60,72\r\nX-Prompt-Prefix: a" + std::to_string(number)
        + ":40,b" + std::to_string(number) + ":20\r\n";
    if (stream.lastEvent > 0) {
        request += "Last-Event-Id: " + std::to_string(stream.lastEvent) + "\r\nResumes: " + stream.first + "\r\n";
    }
    request += "Content-Length: 4\r\n\r\nbody";
    record().add("sent   " + id + (stream.lastEvent > 0 ? ", takes up " + stream.first + " after event " + std::to_string(stream.lastEvent) : ""));
    std::size_t read = 0;
    const Reply reply = call(port, request, left, [&](const std::string &body) {
        std::size_t end = 0;
        while ((end = body.find("\n\n", read)) != std::string::npos) {
            std::istringstream in(body.substr(read, end - read));
            read = end + 2;
            std::string word;
            std::string server;
            std::string version;
            int event = 0;
            in >> word >> event >> word >> server >> version;
            stream.first = stream.lastEvent == 0 ? id : stream.first;
            stream.lastEvent = event;
            stream.versions.insert(version);
        }
    });
    stream.whole = reply.complete && stream.lastEvent == Events;
    stream.ends += (stream.ends.empty() ? "" : ", then ") + std::to_string(reply.status) + (reply.complete ? "" : " cut");
    record().add("answer " + id + ": " + std::to_string(reply.status) + (reply.complete ? " whole" : " cut") + ", last event "
                 + std::to_string(stream.lastEvent) + (reply.status == 503 ? ", Retry-After " + reply.fields.get("Retry-After") + " " + reply.body : ""));
}

} // namespace review
