#ifndef SASSAFRAS_NET_CALL_AFTER_H_
#define SASSAFRAS_NET_CALL_AFTER_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "sassafras/core/time.h"

namespace sassafras {

/// Calls `action` once after `delay` on a thread of `context`. `action` is not
/// called if the context stops before the delay has passed.
void CallAfter(boost::asio::io_context& context,
               duration delay,
               std::function<void()> action);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_CALL_AFTER_H_
