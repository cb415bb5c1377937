#include "standins/engine.h"

#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "standins/engine_state.h"

namespace knapweed {

using nlohmann::json;

namespace {

bool IsRestarting(Engine& engine) {
  const std::lock_guard lock(engine.mu);
  return engine.clock.Now() < engine.restart_ends_at;
}

void HandleCancel(Engine& engine, const json& body, HttpResponder& responder) {
  const GenerationPtr found =
      FindGeneration(engine, body.value("request_id", ""));
  if (found == nullptr) return SendError(responder, 404, "no such request");
  found->cancelled.store(true);
  SendJson(responder, 200, json::object());
}

void HandleHold(Engine& engine, const json& body, HttpResponder& responder) {
  const GenerationPtr found =
      FindGeneration(engine, body.value("request_id", ""));
  if (found == nullptr) return SendError(responder, 404, "no such request");
  const std::lock_guard lock(engine.mu);
  const size_t blocks =
      engine.cache.Hold(body.value("hold", ""), found->conversation_chain);
  SendJson(responder, 200, {{"blocks", blocks}});
}

void HandleRelease(Engine& engine, const json& body, HttpResponder& responder) {
  const std::lock_guard lock(engine.mu);
  if (!engine.cache.Release(body.value("hold", ""))) {
    return SendError(responder, 404, "no such hold");
  }
  SendJson(responder, 200, json::object());
}

void HandleExport(Engine& engine, const HttpRequest& request,
                  HttpResponder& responder) {
  const std::lock_guard lock(engine.mu);
  const auto& holds = engine.cache.holds();
  const auto it = holds.find(QueryParam(request.query, "hold"));
  if (it == holds.end()) return SendError(responder, 404, "no such hold");
  SendJson(responder, 200, {{"blocks", it->second}});
}

void HandleImport(Engine& engine, const json& body, HttpResponder& responder) {
  const auto blocks = body.at("blocks").get<std::vector<uint64_t>>();
  const std::lock_guard lock(engine.mu);
  engine.cache.Insert(blocks, engine.clock.Now());
  SendJson(responder, 200, {{"blocks", blocks.size()}});
}

void HandleEvents(Engine& engine, const HttpRequest& request,
                  HttpResponder& responder) {
  const uint64_t since =
      std::strtoull(QueryParam(request.query, "since").c_str(), nullptr, 10);
  const std::lock_guard lock(engine.mu);
  const Ms until = engine.clock.Now() - engine.options.events_delay;
  const uint32_t drop_every = engine.options.events_drop_every;
  json events = json::array();
  for (const CacheEvent& it : engine.cache.events()) {
    if (it.n < since || it.at > until) continue;
    if (drop_every != 0 && it.n % drop_every == 0) continue;
    events.push_back({{"n", it.n},
                      {"kind", it.stored ? "stored" : "evicted"},
                      {"block", it.block}});
  }
  SendJson(responder, 200, {{"events", std::move(events)}});
}

// Sends a load report, which is rebuilt only when it is at least `load_lag`
// old.
void HandleLoad(Engine& engine, HttpResponder& responder) {
  const std::lock_guard lock(engine.mu);
  const Ms now = engine.clock.Now();
  if (engine.load_report_at.count < 0 ||
      now - engine.load_report_at >= engine.options.load_lag) {
    engine.load_report = {{"running", engine.batch.running()},
                          {"waiting", engine.batch.waiting()},
                          {"slots", engine.options.slots},
                          {"cache_blocks", engine.cache.size()},
                          {"cache_capacity", engine.options.cache_blocks}};
    engine.load_report_at = now;
  }
  json report = engine.load_report;
  report["age"] = now - engine.load_report_at;
  SendJson(responder, 200, report);
}

void HandleStats(Engine& engine, HttpResponder& responder) {
  const std::lock_guard lock(engine.mu);
  const uint64_t block_bytes = kTokensPerBlock * engine.options.bytes_per_token;
  json holds = json::array();
  for (const auto& [name, blocks] : engine.cache.holds()) {
    holds.push_back({{"hold", name},
                     {"blocks", blocks.size()},
                     {"bytes", blocks.size() * block_bytes}});
  }
  SendJson(responder, 200,
           {{"incarnation", engine.incarnation.load()},
            {"running", engine.batch.running()},
            {"waiting", engine.batch.waiting()},
            {"cache_blocks", engine.cache.size()},
            {"cache_bytes", engine.cache.size() * block_bytes},
            {"holds", std::move(holds)},
            {"models", engine.options.models},
            {"version", engine.version},
            {"role", engine.role}});
}

void HandleOrder(Engine& engine, const HttpRequest& request, const json& body,
                 HttpResponder& responder) {
  const auto kind = body.at("kind").get<std::string>();
  const auto name = body.at("name").get<std::string>();
  const json fencing = body.value("fencing", json());
  const bool accepted = AcceptsFencing(engine, fencing);
  engine.record.Add(request, {{"kind", "order"},
                              {"order", kind},
                              {"name", name},
                              {"fencing", fencing},
                              {"accepted", accepted}});
  if (!accepted) return SendError(responder, 409, "old fencing number");
  if (kind == "load_model") SleepFor(CopyOptions(engine).load_model);
  const std::lock_guard lock(engine.mu);
  if (kind == "load_model" || kind == "load_adapter") {
    engine.options.models.push_back(name);
  } else if (kind == "set_version") {
    engine.version = name;
  } else if (kind == "set_role") {
    engine.role = name;
  } else {
    return SendError(responder, 400, "unknown kind of order");
  }
  SendJson(responder, 200, json::object());
}

void HandlePost(Engine& engine, const HttpRequest& request,
                HttpResponder& responder) {
  const std::string& path = request.path;
  if (path == "/v1/chat/completions") {
    return HandleChat(engine, request, responder);
  }
  const json body = json::parse(request.body, nullptr, false);
  try {
    if (path == "/v1/cancel") return HandleCancel(engine, body, responder);
    if (path == "/v1/resume") return HandleResume(engine, body, responder);
    if (path == "/cache/hold") return HandleHold(engine, body, responder);
    if (path == "/cache/release") return HandleRelease(engine, body, responder);
    if (path == "/cache/import") return HandleImport(engine, body, responder);
    if (path == "/orders") return HandleOrder(engine, request, body, responder);
  } catch (const json::exception& error) {
    return SendError(responder, 400, error.what());
  }
  SendError(responder, 404, "no such path");
}

void Handle(Engine& engine, const HttpRequest& request,
            HttpResponder& responder) {
  if (IsRestarting(engine)) return responder.Drop();
  const std::string& path = request.path;
  if (request.method == "POST") {
    HandlePost(engine, request, responder);
  } else if (path == "/cache/export") {
    HandleExport(engine, request, responder);
  } else if (path == "/cache/events") {
    HandleEvents(engine, request, responder);
  } else if (path == "/load") {
    HandleLoad(engine, responder);
  } else if (path == "/stats") {
    HandleStats(engine, responder);
  } else {
    SendError(responder, 404, "no such path");
  }
}

absl::Status Control(Engine& engine, const json& fields) {
  const std::lock_guard lock(engine.mu);
  absl::Status status = MergeFields(fields, &engine.options);
  engine.batch.SetSlots(engine.options.slots);
  engine.cache.SetCapacity(engine.options.cache_blocks);
  return status;
}

}  // namespace

Standin MakeEngineStandin() {
  const auto engine = std::make_shared<Engine>();
  engine->batch.SetSlots(engine->options.slots);
  Standin standin;
  standin.handle = [engine](const HttpRequest& request,
                            HttpResponder& responder) {
    Handle(*engine, request, responder);
  };
  standin.control = [engine](const json& fields) {
    return Control(*engine, fields);
  };
  standin.record = [engine] { return engine->record.ToJson(); };
  return standin;
}

}  // namespace knapweed
