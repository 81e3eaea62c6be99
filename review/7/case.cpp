// The last client account is taken away by a new configuration (revoke). Its key, and one that never was, are sent later than RevokeMs after that.
#include "../6/support.h"

using namespace review;

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const Record record(std::string(argv[1]) + "/record.txt");
    const TemporaryFolder folder;
    std::mutex mutex;
    std::map<std::string, std::string> ran; // attempt -> X-Tenant

    Store store(record);
    const auto door = store.openDoor("127.0.0.1");
    const Server worker("127.0.0.1", [&](const Message &request, int fd) {
        const std::string attempt = request.header("X-Attempt-Id");
        if (request.header("X-Expect-Instance") != "i-1") {
            return sendAll(fd, replyText(421, "X-Not-Executed: 1\r\n", ""));
        }
        record.add("worker i-1 runs " + attempt + " for tenant \"" + request.header("X-Tenant") + "\"");
        {
            const std::lock_guard<std::mutex> lock(mutex);
            ran[attempt] = request.header("X-Tenant");
        }
        sleepMs(20);
        return sendAll(fd, replyText(200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: i-1." + attempt + "\r\n", "released"));
    });
    const auto configuration = [](std::uint64_t version, Json tenants) {
        return configurationOf(version, Json::array({routeOf("payout-release", "/payout/", "non_idempotent", "payout-ledger")}),
                               Json::array({{{"Name", "payout-ledger"}}}), std::move(tenants));
    };
    store.put("op", "config", configuration(10, Json::array({{{"Name", "circle"}, {"ApiKeys", {"key-1"}}}})));
    store.put("servers", "i-1", serverEntry("payout-ledger", worker.address(), "kolkata"));
    Node node(folder.path(), machineSettings("edge-kolkata-1", "kolkata", "127.0.0.1", door->server->address()), record);
    node.start();
    if (!node.awaitReady(Milliseconds(20000))) {
        return CouldNotRun;
    }
    const auto send = [&](const std::string &key) {
        const std::string attempt = newAttempt();
        const Answer answer = callOnce(node.front(), requestText("POST", "/payout/1", attempt, 4000, key, "{\"pot\":1}"), Milliseconds(5000));
        record.add("client: " + attempt + " with the key \"" + key + "\" got status " + std::to_string(answer.status()));
        return attempt;
    };
    const std::string before = send("key-1");
    const std::string strangerBefore = send("key-that-never-was");
    if (troubled()) {
        store.put("op", "config", configuration(13, Json::array()));
    }
    sleepMs(6000); // RevokeMs is 5000
    const std::string after = send("key-1");
    const std::string strangerAfter = send("key-that-never-was");
    const std::string noKey = send("");
    node.kill();
    const std::lock_guard<std::mutex> lock(mutex);
    if (ran.count(before) == 0 || ran.count(strangerBefore) != 0) {
        return CouldNotRun;
    }
    int broken = 0;
    if (troubled() && ran.count(after) != 0) {
        ++broken;
        record.add("CONFIG: a request with a key that was taken away ran later than RevokeMs after the acknowledgement");
    }
    if (ran.count(strangerAfter) != 0) {
        ++broken;
        record.add("ROUTE: a request ran whose key no configuration ever held");
    }
    if (!troubled() && ran.count(after) == 0) {
        return CouldNotRun;
    }
    std::cout << "rules broken: " << broken << std::endl;
    std::filesystem::remove_all(folder.path());
    std::_Exit(broken > 0 ? Broken : Held);
}
