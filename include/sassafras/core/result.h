#ifndef SASSAFRAS_CORE_RESULT_H_
#define SASSAFRAS_CORE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include "sassafras/core/error.h"

namespace sassafras {

/// A value or an error of the closed list. Taking the value of a failed result
/// terminates the program.
template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Returns a failed result's payload: `return Fail(error_kind::kX, "why");`.
inline error Fail(error_kind kind, std::string detail = {}) {
  return error{kind, std::move(detail)};
}

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_RESULT_H_
