#include "standins/service.h"

#include <map>
#include <mutex>
#include <string>

#include "knapweed/base/ids.h"
#include "standins/record.h"

namespace knapweed {

using nlohmann::json;

namespace {

/// Delays and faults; each `_next` counter is decremented as calls use it.
struct ServiceOptions {
  /// Delays before the call runs and after it ran.
  Ms delay_before = {};
  Ms delay_after = {};
  /// This many calls wait `hang` before they run.
  uint32_t hang_next = 0;
  Ms hang = Seconds(600);
  /// This many calls get status 503 without running.
  uint32_t fail_before_next = 0;
  /// This many calls do not run and have their connection closed.
  uint32_t drop_before_next = 0;
  /// This many calls run, but have their connection closed without an answer.
  uint32_t drop_answer_next = 0;
  /// HTTP status of all other answers.
  int status = 200;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceOptions, delay_before, delay_after,
                                   hang_next, hang, fail_before_next,
                                   drop_before_next, drop_answer_next, status)

struct Service {
  std::string kind;
  std::mutex mu;
  ServiceOptions options;
  std::map<std::string, int> runs_by_reference;
  Record record;
};

enum class CallOutcome : uint8_t {
  kRun,
  kFailBefore,
  kDropBefore,
  kDropAnswer
};

// The delays and the outcome chosen for one call.
struct CallPlan {
  CallOutcome outcome = CallOutcome::kRun;
  Ms delay_before;
  Ms delay_after;
  int status = 200;
};

// Decrements a fault counter. Returns false when it is 0 already.
bool UseFault(uint32_t* remaining) {
  if (*remaining == 0) return false;
  --*remaining;
  return true;
}

CallPlan PlanNextCall(Service& service) {
  const std::lock_guard lock(service.mu);
  ServiceOptions& options = service.options;
  CallPlan plan{CallOutcome::kRun, options.delay_before, options.delay_after,
                options.status};
  if (UseFault(&options.hang_next)) plan.delay_before += options.hang;
  if (UseFault(&options.fail_before_next)) {
    plan.outcome = CallOutcome::kFailBefore;
  } else if (UseFault(&options.drop_before_next)) {
    plan.outcome = CallOutcome::kDropBefore;
  } else if (UseFault(&options.drop_answer_next)) {
    plan.outcome = CallOutcome::kDropAnswer;
  }
  return plan;
}

std::string ParseReference(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("reference")) return "";
  const json& reference = body["reference"];
  return reference.is_string() ? reference.get<std::string>() : "";
}

// Returns the extra delay that the caller requested with "sleep_ms".
Ms RequestedSleep(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("sleep_ms")) return Ms{0};
  const json& sleep = body["sleep_ms"];
  return Ms{sleep.is_number_integer() ? sleep.get<int64_t>() : 0};
}

int CountRun(Service& service, const std::string& reference) {
  const std::lock_guard lock(service.mu);
  return ++service.runs_by_reference[reference];
}

void Handle(Service& service, const HttpRequest& request,
            HttpResponder& responder) {
  const CallPlan plan = PlanNextCall(service);
  const std::string reference = ParseReference(request);
  const size_t record_index =
      service.record.Add(request, {{"kind", service.kind},
                                   {"reference", reference},
                                   {"digest", Sha256Hex(request.body)},
                                   {"ran", false}});
  SleepFor(plan.delay_before + RequestedSleep(request));
  if (plan.outcome == CallOutcome::kFailBefore) {
    return SendError(responder, 503, "not now");
  }
  if (plan.outcome == CallOutcome::kDropBefore) return responder.Drop();
  const int runs = CountRun(service, reference);
  service.record.Update(record_index,
                        {{"ran", true}, {"ran_ms", WallTime().count}});
  SleepFor(plan.delay_after);
  if (plan.outcome == CallOutcome::kDropAnswer) return responder.Drop();
  SendJson(responder, plan.status,
           {{"reference", reference}, {"runs", runs}, {"path", request.path}});
}

Standin MakeService(std::string kind) {
  const auto service = std::make_shared<Service>();
  service->kind = std::move(kind);
  Standin standin;
  standin.handle = [service](const HttpRequest& request,
                             HttpResponder& responder) {
    Handle(*service, request, responder);
  };
  standin.control = [service](const json& fields) {
    const std::lock_guard lock(service->mu);
    return MergeFields(fields, &service->options);
  };
  standin.record = [service] { return service->record.ToJson(); };
  return standin;
}

}  // namespace

Standin MakeServiceStandin() { return MakeService("service"); }

Standin MakeToolStandin() { return MakeService("tool"); }

}  // namespace knapweed
