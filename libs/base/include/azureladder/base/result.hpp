#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace azureladder {

/// Value or error. Access to the wrong side terminates, so a missed check cannot go on silently.
template <class Value, class Error>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<Value, Error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace azureladder
