#include "tests/platform/process/disruptions.h"

#include <csignal>

namespace knapweed::testing {
namespace {

using gateway::Sleep;
using gateway::Spawn;
using gateway::Task;

constexpr Ms kForever{INT64_MAX / 4};
constexpr Ms kPollInterval{20};
constexpr Ms kMaxStartTime{10000};
/// Time between the end of a span of faults and planned work in calm.
constexpr Ms kRest{4000};

struct StopOptions {
  /// A second SIGTERM after this time; negative for none.
  Ms second_after{-1};
  /// SIGHUP at the moment of the SIGTERM.
  bool reload_with_it = false;
  Ms start_delay{0};
  /// A signal after this time of the next start; negative for none.
  Ms start_signal_after{-1};
  int start_signal = SIGHUP;
};

Disruption& Note(ProcessWorld& world, const std::string& what, int gateway,
                 bool planned) {
  Disruption it;
  it.what = what;
  it.gateway = gateway;
  it.planned = planned;
  it.from = world.Now();
  it.until = kForever;
  return world.ledger.disruptions.emplace_back(it);
}

Task<void> WaitForEnd(ProcessWorld& world, size_t index, Ms limit) {
  const Ms until = world.Now() + limit;
  while (world.gateways[index].runs && world.Now() < until) {
    co_await Sleep(world.loop, kPollInterval);
  }
}

Task<void> WaitUntilReady(ProcessWorld& world, size_t index) {
  const Ms until = world.Now() + kMaxStartTime;
  GatewayProcess& it = world.gateways[index];
  // Checks that failed before say nothing of this start.
  it.missed_checks = 1;
  while (it.missed_checks > 0 && world.Now() < until) {
    co_await Sleep(world.loop, kPollInterval);
  }
}

/// Ends the process as the platform does: SIGTERM, and SIGKILL after the grace.
Task<void> StopProcess(ProcessWorld& world, size_t index, StopOptions options) {
  GatewayProcess& it = world.gateways[index];
  const Ms began = world.Now();
  it.child->Signal(SIGTERM);
  if (options.reload_with_it) it.child->Signal(SIGHUP);
  if (options.second_after >= Ms{0}) {
    co_await Sleep(world.loop, options.second_after);
    if (it.runs) it.child->Signal(SIGTERM);
  }
  co_await WaitForEnd(world, index,
                      world.ledger.times.grace + Ms{100} -
                          std::max(options.second_after, Ms{0}));
  if (it.runs) {
    // A process that was paused in its grace may outlast it.
    it.end_intended = it.end_intended || it.paused_until >= began;
    it.child->Signal(SIGKILL);
  }
  co_await WaitForEnd(world, index, Seconds(2));
}

Task<void> StartProcess(ProcessWorld& world, size_t index,
                        StopOptions options) {
  co_await Sleep(world.loop, options.start_delay);
  world.StartGateway(index);
  const int number = static_cast<int>(index);
  if (options.start_signal_after >= Ms{0}) {
    co_await Sleep(world.loop, options.start_signal_after);
    const bool stops = options.start_signal == SIGTERM;
    Disruption& signal =
        Note(world, stops ? "SIGTERM" : "SIGHUP", number, true);
    if (stops) {
      // It may have no handler of signals yet.
      world.gateways[index].end_intended = true;
      co_await StopProcess(world, index, {});
      world.StartGateway(index);
    } else {
      world.gateways[index].child->Signal(SIGHUP);
      co_await Sleep(world.loop, Ms{100});
      // The platform starts a process that has ended again.
      if (!world.gateways[index].runs) world.StartGateway(index);
    }
    signal.until = world.Now();
  }
  co_await WaitUntilReady(world, index);
}

Task<void> StopAndStart(ProcessWorld& world, size_t index,
                        StopOptions options) {
  GatewayProcess& it = world.gateways[index];
  if (it.busy) co_return;
  it.busy = true;
  const int number = static_cast<int>(index);
  Disruption& stop = Note(world, "SIGTERM", number, true);
  if (options.reload_with_it) {
    Note(world, "SIGHUP", number, true).until = world.Now();
  }
  co_await StopProcess(world, index, options);
  co_await StartProcess(world, index, options);
  stop.until = world.Now();
  it.busy = false;
}

Task<void> KillAndStart(ProcessWorld& world, size_t index, Ms start_delay) {
  GatewayProcess& it = world.gateways[index];
  // A process that stops is killed too; its operator starts it again.
  const bool starts = !it.busy;
  it.busy = true;
  Disruption& kill = Note(world, "SIGKILL", static_cast<int>(index), false);
  it.end_intended = true;
  it.child->Signal(SIGKILL);
  co_await WaitForEnd(world, index, Seconds(2));
  StopOptions options;
  options.start_delay = start_delay;
  if (starts) {
    co_await StartProcess(world, index, options);
    it.busy = false;
  } else {
    co_await Sleep(world.loop, Seconds(2));
  }
  kill.until = world.Now();
}

Task<void> PauseAndResume(ProcessWorld& world, size_t index, Ms span) {
  Disruption& pause = Note(world, "SIGSTOP", static_cast<int>(index), false);
  world.gateways[index].paused_until = kForever;
  world.gateways[index].child->Signal(SIGSTOP);
  co_await Sleep(world.loop, span);
  world.gateways[index].child->Signal(SIGCONT);
  world.gateways[index].paused_until = world.Now();
  pause.until = world.Now();
}

Task<void> RejectStoreCalls(ProcessWorld& world, Ms span, bool busy) {
  Disruption& outage = Note(world, "store rejects", -1, false);
  (busy ? world.store.faults.busy : world.store.faults.unavailable) = true;
  co_await Sleep(world.loop, span);
  world.store.faults.busy = false;
  world.store.faults.unavailable = false;
  outage.until = world.Now();
}

StopOptions DrawStop(Dice& dice) {
  StopOptions options;
  if (dice.Chance(25)) options.second_after = dice.RollMs(0, 3000);
  options.reload_with_it = dice.Chance(20);
  options.start_delay = dice.RollMs(0, 800);
  if (dice.Chance(30)) options.start_signal_after = dice.RollMs(0, 50);
  options.start_signal = dice.Chance(30) ? SIGTERM : SIGHUP;
  return options;
}

size_t DrawGateway(ProcessWorld& world, Dice& dice) {
  const int last = static_cast<int>(world.gateways.size()) - 1;
  return static_cast<size_t>(dice.Roll(0, last));
}

void Reload(ProcessWorld& world, size_t index) {
  Note(world, "SIGHUP", static_cast<int>(index), true).until = world.Now();
  world.gateways[index].child->Signal(SIGHUP);
}

void ChangeConfiguration(ProcessWorld& world) {
  Note(world, "configuration", -1, true).until =
      world.Now() + world.ledger.times.config_apply;
  world.Configure();
}

/// Starts one piece of planned work.
void DoPlannedWork(ProcessWorld& world, Dice& dice) {
  const size_t index = DrawGateway(world, dice);
  const int sort = dice.Roll(1, 100);
  if (sort <= 55) {
    Spawn(world.loop, StopAndStart(world, index, DrawStop(dice)));
  } else if (sort <= 65) {
    for (size_t i = 0; i < world.gateways.size(); ++i) {
      if (i == index && dice.Chance(70)) continue;
      Spawn(world.loop, StopAndStart(world, i, DrawStop(dice)));
    }
  } else if (sort <= 80) {
    Reload(world, index);
  } else {
    ChangeConfiguration(world);
  }
}

/// Starts one fault.
void DoFault(ProcessWorld& world, Dice& dice) {
  const size_t index = DrawGateway(world, dice);
  const int sort = dice.Roll(1, 100);
  if (sort <= 35) {
    Spawn(world.loop, KillAndStart(world, index, dice.RollMs(0, 1500)));
  } else if (sort <= 50) {
    for (size_t i = 0; i < world.gateways.size(); ++i) {
      Spawn(world.loop, KillAndStart(world, i, Ms{300}));
    }
  } else if (sort <= 75) {
    Spawn(world.loop, PauseAndResume(world, index, dice.RollMs(200, 4000)));
  } else {
    Spawn(world.loop,
          RejectStoreCalls(world, dice.RollMs(300, 3000), dice.Chance(30)));
  }
}

bool IsUndisturbed(const ProcessWorld& world) {
  for (const GatewayProcess& it : world.gateways) {
    if (it.busy) return false;
  }
  return true;
}

Task<void> WaitForOperator(ProcessWorld& world) {
  while (!IsUndisturbed(world)) {
    co_await Sleep(world.loop, kPollInterval);
  }
}

}  // namespace

Task<void> RunDisruptions(ProcessWorld& world, uint64_t seed, Ms until,
                          bool with_faults, bool* done) {
  Dice dice(seed);
  while (world.Now() < until) {
    const Ms faults_at =
        std::min(until, world.Now() + dice.RollMs(20000, 30000));
    while (world.Now() < faults_at) {
      DoPlannedWork(world, dice);
      co_await Sleep(world.loop, dice.RollMs(300, 5000));
    }
    if (!with_faults) continue;
    const Ms calm_at = std::min(until, world.Now() + dice.RollMs(5000, 10000));
    while (world.Now() < calm_at) {
      if (dice.Chance(30)) DoPlannedWork(world, dice);
      DoFault(world, dice);
      co_await Sleep(world.loop, dice.RollMs(300, 3000));
    }
    co_await WaitForOperator(world);
    co_await Sleep(world.loop, kRest);
  }
  for (size_t i = 0; with_faults && i < world.gateways.size(); ++i) {
    Spawn(world.loop, KillAndStart(world, i, Ms{300}));
  }
  co_await WaitForOperator(world);
  *done = true;
}

}  // namespace knapweed::testing
