#include "programs/scheduler/job_scheduler.h"
#include "programs/shell/command_line.h"
#include "programs/shell/node.h"

namespace sassafras {
namespace {

int Main(int argc, const char* const* argv) {
  loaded_process_settings start = ReadCommandLine(
      argc, argv, "sassafras-scheduler", "places and runs gangs on workers");
  if (!start.settings) {
    return start.exit_code;
  }
  node process(std::move(*start.settings));
  job_scheduler scheduler(process);
  node::hooks hooks;
  hooks.handle = [&](http_exchange exchange) {
    scheduler.Handle(std::move(exchange));
  };
  hooks.on_config = [&](const config_ptr& config) {
    scheduler.OnConfig(config);
  };
  hooks.on_stop = [&](std::function<void()> drained) {
    scheduler.Stop(std::move(drained));
  };
  scheduler.Start();
  return process.Run(std::move(hooks));
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  return sassafras::Main(argc, argv);
}
