#include "sassafras/sched/service_config.h"

#include <algorithm>

namespace sassafras::sched {

const job_queue* service_config::FindQueue(std::string_view host,
                                           std::string_view path) const {
  const job_queue* best = nullptr;
  for (const job_queue& queue : queues) {
    const bool is_match = queue.host == host && path.starts_with(queue.prefix);
    if (is_match &&
        (best == nullptr || queue.prefix.size() > best->prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const job_queue* service_config::FindQueueByName(std::string_view name) const {
  const auto it =
      std::find_if(queues.begin(), queues.end(),
                   [&](const job_queue& queue) { return queue.name == name; });
  return it == queues.end() ? nullptr : &*it;
}

}  // namespace sassafras::sched
