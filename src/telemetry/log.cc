#include "sassafras/telemetry/log.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace sassafras {

namespace logging = boost::log;
namespace expr = boost::log::expressions;

void StartLog(const std::string& process) {
  logging::add_common_attributes();
  logging::core::get()->add_global_attribute(
      "Process", logging::attributes::constant<std::string>(process));
  logging::add_console_log(
      std::cerr,
      logging::keywords::format =
          (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " process=" << expr::attr<std::string>("Process")
                        << ' ' << expr::smessage),
      logging::keywords::auto_flush = true);
}

void LogEvent(
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> fields) {
  std::ostringstream line;
  line << "event=" << event;
  for (const auto& [key, value] : fields) {
    line << ' ' << key << '=' << std::quoted(value);
  }
  logging::sources::logger_mt logger;
  BOOST_LOG(logger) << line.str();
}

}  // namespace sassafras
