#ifndef SASSAFRAS_NET_HTTP_ADAPTERS_H_
#define SASSAFRAS_NET_HTTP_ADAPTERS_H_

#include <memory>
#include <string>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/net/http_client.h"
#include "sassafras/net/minion_port.h"
#include "sassafras/net/object_port.h"
#include "sassafras/net/table_port.h"
#include "sassafras/net/vm_list_port.h"
#include "sassafras/net/worker_port.h"

namespace sassafras {

/// Where the platform's service is and how long an operation may take.
struct platform_options {
  std::vector<std::string> addresses;  ///< Tried in turn.
  duration timeout{1'500'000};
};

/// Ports over HTTP/1.1 with JSON; docs/API.md gives the paths and bodies.
table_port MakeHttpTablePort(std::shared_ptr<http_client> client,
                             platform_options options);
object_port MakeHttpObjectPort(std::shared_ptr<http_client> client,
                               platform_options options);
vm_list_port MakeHttpVmListPort(std::shared_ptr<http_client> client,
                                platform_options options);
worker_port MakeHttpWorkerPort(std::shared_ptr<http_client> client,
                               duration timeout);
minion_port MakeHttpMinionPort(std::shared_ptr<http_client> client);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_HTTP_ADAPTERS_H_
