#include "platform/adapter.h"
#include "programs/entry/entry_node.h"
#include "programs/entry/entry_settings.h"
#include "programs/shell/command_line.h"

namespace sassafras {
namespace {

int Main(int argc, const char* const* argv) {
  const auto start = ReadStart<entry_settings>(
      ReadSettingsChoice(argc, argv, "sassafras-entry",
                         "takes callers' jobs and schedules them on minions"),
      ParseEntrySettings);
  if (!start.settings) {
    return start.exit_code;
  }
  entry_node process(*start.settings, start.settings_path,
                     platform::MakeOutside);
  return process.Run();
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  return sassafras::Main(argc, argv);
}
