// Serves one stand-in, a fake of a server outside the system, for tests and
// demos.
#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "standins/engine.h"
#include "standins/platform_server.h"
#include "standins/service.h"
#include "standins/standin.h"

namespace {

using knapweed::Address;
using knapweed::Standin;
using nlohmann::json;

constexpr int kExitUsage = 2;
constexpr char kVersion[] = "knapweed-standin 0.1.0";

struct Arguments {
  std::string role;
  std::vector<Address> listen;
  /// Options and faults of the role, as in the body of POST /control.
  json fields = json::object();
};

// Prints an error and returns the exit code for a wrong command line.
int Usage(const std::string& error) {
  std::fprintf(stderr, "knapweed-standin: %s\nTry --help.\n", error.c_str());
  return kExitUsage;
}

// Parses NAME=VALUE into `fields`. The value is JSON, so "slots=4" sets a
// number; a value that is not valid JSON is taken as text. Returns false
// without "=".
bool AddField(const std::string& text, json* fields) {
  const std::vector<std::string> parts =
      absl::StrSplit(text, absl::MaxSplits('=', 1));
  if (parts.size() != 2) return false;
  const json value = json::parse(parts[1], nullptr, false);
  (*fields)[parts[0]] = value.is_discarded() ? json(parts[1]) : value;
  return true;
}

// Parses addresses separated by commas. Returns false when one is invalid or
// `text` is null.
bool ReadAddresses(const char* text, std::vector<Address>* addresses) {
  if (text == nullptr) return false;
  const std::vector<std::string> words = absl::StrSplit(text, ',');
  for (const std::string& word : words) {
    if (!knapweed::ParseAddress(word, &addresses->emplace_back())) return false;
  }
  return true;
}

// Returns nullopt for an unknown role.
std::optional<Standin> MakeStandin(const std::string& role) {
  if (role == "platform") return knapweed::MakePlatformStandin();
  if (role == "engine") return knapweed::MakeEngineStandin();
  if (role == "service") return knapweed::MakeServiceStandin();
  if (role == "tool") return knapweed::MakeToolStandin();
  return std::nullopt;
}

// Serves until SIGTERM or SIGINT, then exits at once: a stand-in stores
// nothing, so calls in progress need not be drained.
int Serve(const Arguments& arguments) {
  std::optional<Standin> standin = MakeStandin(arguments.role);
  if (!standin) return Usage("unknown role \"" + arguments.role + "\"");
  const absl::Status control_status = standin->control(arguments.fields);
  if (!control_status.ok())
    return Usage(absl::StrCat(control_status.message()));
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::vector<std::unique_ptr<knapweed::HttpServer>> servers;
  for (const Address& listen : arguments.listen) {
    auto server = knapweed::ServeStandin(listen, *standin);
    if (!server.ok()) {
      std::fprintf(stderr, "knapweed-standin: %s\n",
                   absl::StrCat(server.status().message()).c_str());
      return EXIT_FAILURE;
    }
    servers.push_back(*std::move(server));
  }
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace

int main(int argc, const char** argv) {
  enum Option : int { kSet = 1, kPrintVersion };
  char* role = nullptr;
  char* listen = nullptr;
  char* set = nullptr;
  char* models = nullptr;
  const poptOption options[] = {
      {"role", 'r', POPT_ARG_STRING, &role, 0,
       "platform, engine, service or tool", "ROLE"},
      {"listen", 'l', POPT_ARG_STRING, &listen, 0, "where to serve HTTP",
       "IP:PORT,..."},
      {"set", 's', POPT_ARG_STRING, &set, kSet,
       "an option or fault of the role, as for POST /control; may be repeated",
       "NAME=VALUE"},
      {"models", 'm', POPT_ARG_STRING, &models, 0,
       "models that an engine serves", "NAME,..."},
      {"version", 0, POPT_ARG_NONE, nullptr, kPrintVersion,
       "print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("knapweed-standin", argc, argv, options, 0);
  Arguments arguments;
  int rc = 0;
  while ((rc = poptGetNextOpt(context)) > 0) {
    if (rc == kPrintVersion) {
      std::puts(kVersion);
      return EXIT_SUCCESS;
    }
    if (!AddField(set, &arguments.fields)) {
      return Usage("--set takes NAME=VALUE");
    }
  }
  if (rc < -1) return Usage(poptStrerror(rc));
  if (poptPeekArg(context) != nullptr) return Usage("unexpected argument");
  if (models != nullptr) {
    const std::vector<std::string> names = absl::StrSplit(models, ',');
    arguments.fields["models"] = names;
  }
  if (role == nullptr) return Usage("--role is missing");
  if (!ReadAddresses(listen, &arguments.listen)) {
    return Usage("--listen takes IP:PORT,...");
  }
  arguments.role = role;
  poptFreeContext(context);
  return Serve(arguments);
}
