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

/// Addresses of the platform's service, and the timeout of an operation.
struct platform_options {
  std::vector<std::string> addresses;  ///< "IP:port", tried in order.
  duration timeout{1'500'000};
};

/// Create ports over HTTP/1.1 with JSON; see docs/API.md for paths and bodies.
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
