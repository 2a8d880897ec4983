#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace azureladder {

/// Holds a value or an error. Access to the absent one terminates the process, so that an unchecked
/// error does not go unnoticed.
template <class Value, class Error>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<Value, Error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace azureladder
