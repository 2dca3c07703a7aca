#include "tests/soak_driver.h"
namespace sassafras {
soak_result SoakJobs(const soak_options&) { return {}; }
}  // namespace sassafras
