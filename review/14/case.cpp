// Two software versions serve side by side. The store comes back from a copy some seconds old. Later a node is killed, and clients take their streams up at
// another one, which is calm.
#include "../streams-3.h"

using namespace review;

namespace
{
constexpr int Streams = 30;
constexpr int CopyAgeMs = 4000;
constexpr int AwayMs = 500;
constexpr int CalmMs = 8000; // from the store's return to the first stream

int run(const Script &script)
{
    Store store;
    const std::string regions = R"({"kolkata": "bengal", "howrah": "bengal"})";
    store.write("op", "config", streamConfiguration());
    std::vector<std::unique_ptr<StreamWorker>> workers;
    for (int i = 1; i <= 3; ++i) {
        workers.push_back(std::make_unique<StreamWorker>(store, "i-old-" + std::to_string(i), i == 1 ? "kolkata" : "howrah", "7"));
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (const std::string zone : {"kolkata", "howrah", "howrah"}) {
        const std::size_t door = store.addAddress();
        nodes.push_back(std::make_unique<Node>(script.root, script.folder, NodeSetup{"edge-" + std::to_string(door + 1), zone, store.address(door), regions}));
    }
    Node &first = *nodes[0];
    Node &second = *nodes[1];
    const auto allReady = [&] {
        return isReady(*nodes[0]) && isReady(*nodes[1]) && isReady(*nodes[2]);
    };
    if (!eventually(allReady, milliseconds(15000))) {
        record().add("the nodes did not get ready");
        return CouldNotRun;
    }
    sleepMs(8000); // a quiet time, as before the traffic of a day
    record().add("two servers of software version 8 are added");
    workers.push_back(std::make_unique<StreamWorker>(store, "i-new-1", "kolkata", "8"));
    workers.push_back(std::make_unique<StreamWorker>(store, "i-new-2", "howrah", "8"));
    sleepMs(3000);
    store.keepCopy();
    sleepMs(CopyAgeMs);
    if (script.trouble) {
        record().add("the store goes away");
        store.setAway(true);
        for (const auto &worker : workers) {
            worker->setRegisters(false);
        }
        sleepMs(AwayMs);
        store.returnFromCopy();
        store.setAway(false);
        for (const auto &worker : workers) {
            worker->setRegisters(true);
        }
        record().add("the store is back, from a copy " + std::to_string(CopyAgeMs) + " ms old");
    }
    sleepMs(1000);
    store.write("op", "config", streamConfiguration()); // the operator writes it again
    sleepMs(CalmMs - 1000);
    if (!allReady()) {
        record().add("the nodes are not ready before the streams begin");
        return CouldNotRun;
    }
    std::vector<Stream> streams(Streams);
    std::vector<Stream> fresh(Streams);
    std::vector<std::thread> clients;
    std::atomic<int> takenUp{0};
    std::atomic<int> wentOn{0};
    const auto deadline = Clock::now() + milliseconds(DeadlineMs);
    for (int i = 0; i < Streams; ++i) {
        clients.emplace_back([&, i] {
            Stream &stream = streams[static_cast<std::size_t>(i)];
            attempt(stream, first.callers(), i, deadline);
            if (stream.whole || stream.lastEvent == 0) {
                return;
            }
            const int before = stream.lastEvent;
            ++takenUp;
            attempt(stream, second.callers(), i, deadline);
            wentOn += stream.lastEvent > before ? 1 : 0;
        });
        sleepMs(10);
    }
    sleepMs(1300);
    if (script.trouble || script.killOnly) {
        record().add("SIGKILL to " + first.name());
        first.kill(SIGKILL);
    }
    sleepMs(100);
    for (int i = 0; i < Streams; ++i) { // new streams, at the node at which the others are taken up
        clients.emplace_back([&, i] {
            attempt(fresh[static_cast<std::size_t>(i)], second.callers(), 100 + i, Clock::now() + milliseconds(DeadlineMs));
        });
        sleepMs(10);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int begun = 0;
    for (const Stream &stream : fresh) {
        begun += stream.lastEvent > 0 ? 1 : 0;
    }
    int joined = 0;
    int whole = 0;
    for (const Stream &stream : streams) {
        joined += stream.versions.size() > 1 ? 1 : 0;
        whole += stream.whole ? 1 : 0;
    }
    record().add(std::to_string(wentOn) + " of " + std::to_string(takenUp) + " streams that were taken up went on; " + std::to_string(begun) + " of "
                 + std::to_string(Streams) + " new streams began at the same node; " + std::to_string(joined) + " streams hold events of two versions; "
                 + std::to_string(whole) + " of " + std::to_string(Streams) + " came whole in the end");
    for (const auto &node : nodes) {
        node->kill(SIGKILL);
    }
    workers.clear();
    store.stop();
    if (whole == Streams) {
        return Held; // without a kill none is taken up
    }
    if (takenUp < 12 || begun == 0) {
        return CouldNotRun;
    }
    const double share = static_cast<double>(wentOn) / takenUp;
    const double newShare = static_cast<double>(begun) / Streams;
    return share < newShare / 2 ? Broken : Held;
}
} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, run);
}
