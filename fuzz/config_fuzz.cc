// Fuzzes the reading and checking of object sets and of settings.
#include <cstddef>
#include <cstdint>
#include <string>

#include "sassafras/config/config_parse.h"
#include "sassafras/config/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  sassafras::ParseConfigSet({{"input.yaml", text}},
                            sassafras::unknown_keys::kRefuse);
  sassafras::ParseSettings("input.yaml", text);
  (void)sassafras::LoadPublishedConfig(1, text);
  return 0;
}
