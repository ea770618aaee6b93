#ifndef POMELOTRAY_TESTS_PICK_H_
#define POMELOTRAY_TESTS_PICK_H_

#include <rapidcheck.h>

namespace pomelotray {

// Returns a random number in [min, max), uniformly distributed in every test case. RapidCheck's
// inRange() stays close to `min` in the first cases, where a choice between actions would nearly
// always be the first action.
template <typename T>
T Pick(T min, T max) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max));
}

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_PICK_H_
