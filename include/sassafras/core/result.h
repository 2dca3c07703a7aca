#ifndef SASSAFRAS_CORE_RESULT_H_
#define SASSAFRAS_CORE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include "sassafras/core/error.h"

namespace sassafras {

/// A value of type T or an error. Reading the value of a failed result
/// terminates the process.
template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Makes the error of a failed result: `return Fail(error_kind::kX, "why");`.
inline error Fail(error_kind kind, std::string detail = {}) {
  return error{kind, std::move(detail)};
}

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_RESULT_H_
