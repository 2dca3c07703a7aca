#include "platform/adapter.h"
#include "programs/entry/entry_node.h"
#include "programs/entry/entry_settings.h"
#include "programs/shell/command_line.h"

namespace sassafras {
namespace {

int Main(int argc, const char* const* argv) {
  const auto loaded = LoadSettings<entry_settings>(
      ParseSettingsArguments(
          argc, argv, "sassafras-entry",
          "accepts callers' jobs and schedules them on minions"),
      ParseEntrySettings);
  if (!loaded.settings) {
    return loaded.exit_code;
  }
  entry_node process(*loaded.settings, loaded.settings_path,
                     platform::MakePlatformAdapter);
  return process.Run();
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  return sassafras::Main(argc, argv);
}
