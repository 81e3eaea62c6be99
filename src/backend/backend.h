// vanillanotch backend library: calls of stages over HTTP.
//
// Headers of a call: X-Request-Id (the attempt), X-Pipeline-Request (the request), X-Deadline-Ms (time left), and
// Idempotency-Key for a non-idempotent stage. Headers of a reply: X-Request-Id (the attempt, echoed), and, where the
// server gives them, X-Service-Time-Us, X-Load (0 idle, 1 full, above 1 queueing) and X-Server-State: leaving.
#pragma once

#include "base/base.h"
#include "duties/duties.h"
#include "http/http.h"
#include "request/request.h"

namespace vanillanotch
{

std::unique_ptr<BackendChannel> makeHttpBackendChannel(HttpClientSettings settings, MetricsRegistry &metrics);

// Orders to model engines: GET /v1/engine tells {"model", "fencing"}; POST /v1/engine/orders takes {"model", "fencing"}
// and answers 409 when it has seen a higher number.
std::unique_ptr<EngineChannel> makeHttpEngineChannel();

// Sample servers inside the process, for --demo: they take a few milliseconds and answer from a small built-in text.
std::unique_ptr<BackendChannel> makeSampleBackendChannel();

} // namespace vanillanotch
