#include "knapweed/gateway/program_starts.h"

#include <algorithm>

#include "knapweed/base/json.h"

namespace knapweed::gateway {
namespace {

/// A home that takes longer is not waited for; the call would be late.
constexpr Ms kHomeTimeout{150};

/// Returns a span of a message; 0 if it is missing or none.
Ms SpanField(const nlohmann::json& message, const char* name) {
  return std::max(MsField(message, name).value_or(Ms{0}), Ms{0});
}

}  // namespace

Task<QuotaVerdict> ProgramStarts::Take(const Workspace& workspace, Ms waited) {
  if (workspace.rate_per_s <= 0) co_return quotas_.Take(workspace);
  const Home home = peers_.HomeOf(workspace.name);
  QuotaVerdict start;
  if (home.is_self) {
    start = quotas_.GrantStart(workspace, waited);
  } else {
    start = co_await AskHome(home.address, workspace.name, waited);
  }
  if (!start.decided) {
    co_return quotas_.Take(workspace, ProgramStart::kDecideHere, waited);
  }
  if (!start.allowed) co_return start;
  co_return quotas_.Take(workspace, ProgramStart::kGranted, waited);
}

Task<QuotaVerdict> ProgramStarts::AskHome(Address home, std::string workspace,
                                          Ms waited) {
  QuotaVerdict verdict;
  verdict.decided = false;
  if (!peers_.MayAsk(home)) co_return verdict;
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(kStartPath);
  call.body = DumpJson({{"workspace", workspace}, {"waited_ms", waited.count}});
  const HttpResponse raw = co_await clients_.At(home).Send(call, kHomeTimeout);
  if (raw.status == 0) peers_.Skip(home);
  const nlohmann::json answer = ParseJson(raw.body);
  const bool readable = raw.status == 200 && answer.is_object() &&
                        answer.contains("allowed") &&
                        answer["allowed"].is_boolean();
  if (!readable) co_return verdict;
  verdict.decided = true;
  verdict.allowed = answer["allowed"].get<bool>();
  verdict.retry_after = SpanField(answer, "retry_ms");
  verdict.input.others.calls = NumberField(answer, "used");
  verdict.input.begun = NumberField(answer, "begun");
  verdict.input.calls_per_program = NumberField(answer, "calls_per_program");
  verdict.input.waited = waited;
  co_return verdict;
}

HttpResponse ProgramStarts::AnswerPeer(const HttpRequest& call) {
  HttpResponse answer;
  answer.status = 400;
  const nlohmann::json json = ParseJson(call.body);
  const bool readable = json.is_object() && json.contains("workspace") &&
                        json["workspace"].is_string();
  if (!readable) return answer;
  const Workspace* workspace =
      find_(json["workspace"].get_ref<const std::string&>());
  answer.status = 404;
  if (workspace == nullptr) return answer;
  const QuotaVerdict verdict =
      quotas_.GrantStart(*workspace, SpanField(json, "waited_ms"));
  answer.status = verdict.decided ? 200 : 503;
  const QuotaInput& input = verdict.input;
  answer.body = DumpJson({{"allowed", verdict.allowed},
                          {"retry_ms", verdict.retry_after.count},
                          {"used", input.own.calls + input.others.calls},
                          {"begun", input.begun},
                          {"calls_per_program", input.calls_per_program}});
  return answer;
}

}  // namespace knapweed::gateway
