// vanillanotch backend library: calls to backend servers over HTTP.
//
// Headers of a stage call:
//   X-Request-Id        id of the attempt, that is, of this one call; a retry of the call has another id
//   X-Pipeline-Request  id of the request
//   X-Deadline-Ms       time left until the call's deadline, whole milliseconds
//   Idempotency-Key     only for a non-idempotent stage
// Headers of its reply; all but the first are optional:
//   X-Request-Id        id of the attempt, as in the call
//   X-Service-Time-Us   time that the server spent on the call, microseconds
//   X-Load              load of the server: 0 idle, 1 full, above 1 when calls wait in its queue
//   X-Server-State      "leaving" when the server is about to stop
#pragma once

#include "base/base.h"
#include "duties/duties.h"
#include "http/http.h"
#include "request/request.h"

namespace vanillanotch
{

// Makes the channel for stage calls over HTTP. `metrics` must outlive the channel; a counter in it counts replies that are discarded because they
// name another attempt.
std::unique_ptr<BackendChannel> makeHttpBackendChannel(HttpClientSettings settings, MetricsRegistry &metrics);

// Reads the state of model engines and sends orders to them. GET /v1/engine returns {"model", "fencing"}: the loaded
// model and the highest fencing number of the orders that the engine has received. A fencing number belongs to the node that sends orders; each node
// that takes over this task gets a higher one than the nodes before it. POST /v1/engine/orders takes {"model", "fencing"}: the model to load and the
// sender's fencing number. The engine replies 409 when it has received a higher one.
std::unique_ptr<EngineChannel> makeHttpEngineChannel();

// Simulates backend servers inside the process, for --demo: each call takes a few milliseconds and returns built-in data.
std::unique_ptr<BackendChannel> makeSampleBackendChannel();

} // namespace vanillanotch
