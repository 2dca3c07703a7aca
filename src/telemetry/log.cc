#include "sassafras/telemetry/log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <optional>
#include <sstream>

#include "sassafras/telemetry/log_rate_limiter.h"

namespace sassafras {
namespace {

namespace logging = boost::log;
namespace expr = boost::log::expressions;
namespace sinks = boost::log::sinks;

// Capacity of the queue of unwritten lines: 600 KB at 300 bytes per line.
constexpr std::size_t kQueueCapacityLines = 2000;

std::atomic<std::uint64_t> suppressed_lines{0};

// Drops and counts lines while the queue is full.
class count_on_overflow : public sinks::drop_on_overflow {
 public:
  template <class Lock>
  static bool on_overflow(const logging::record_view& /*line*/,
                          Lock& /*lock*/) {
    ++suppressed_lines;
    return false;
  }
};

using sink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<kQueueCapacityLines, count_on_overflow>>;

struct log_state {
  std::mutex mutex;
  boost::shared_ptr<sink> writer;
  log_rate_limiter decision_limiter{kDefaultDecisionLinesPerSecond};
};

log_state& State() {
  static log_state state;
  return state;
}

instant Now() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::steady_clock::now());
}

}  // namespace

void StartLog(const std::string& process, int decision_lines_per_second) {
  logging::add_common_attributes();
  logging::core::get()->add_global_attribute(
      "Process", logging::attributes::constant<std::string>(process));
  const auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  const auto writer = boost::make_shared<sink>(backend);
  writer->set_formatter(expr::stream
                        << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " process=" << expr::attr<std::string>("Process")
                        << ' ' << expr::smessage);
  logging::core::get()->add_sink(writer);
  const std::lock_guard lock(State().mutex);
  State().writer = writer;
  State().decision_limiter = log_rate_limiter(decision_lines_per_second);
}

void StopLog() {
  boost::shared_ptr<sink> writer;
  {
    const std::lock_guard lock(State().mutex);
    writer.swap(State().writer);
  }
  if (!writer) {
    return;
  }
  logging::core::get()->remove_sink(writer);
  writer->stop();
  writer->flush();
}

void LogEvent(std::string_view event, log_fields fields) {
  std::ostringstream line;
  line << "event=" << event;
  for (const auto& [key, value] : fields) {
    line << ' ' << key << '=' << std::quoted(value);
  }
  logging::sources::logger_mt logger;
  BOOST_LOG(logger) << line.str();
}

void LogDecision(std::string_view event,
                 log_fields fields,
                 line_weight weight) {
  bool may_write = false;
  std::optional<std::uint64_t> suppressed_count;
  {
    const std::lock_guard lock(State().mutex);
    const instant now = Now();
    may_write = State().decision_limiter.TryAcquire(now, weight);
    suppressed_count = State().decision_limiter.TakeSuppressedCount(now);
  }
  if (suppressed_count) {
    suppressed_lines += *suppressed_count;
    LogEvent("log_lines_left_out",
             {{"count", std::to_string(*suppressed_count)}});
  }
  if (may_write) {
    LogEvent(event, fields);
  }
}

std::uint64_t SuppressedLogLineCount() {
  return suppressed_lines.load();
}

}  // namespace sassafras
