#define BOOST_TEST_MODULE pomelotray
#include <boost/test/unit_test.hpp>
