#ifndef POMELOTRAY_TESTS_PICK_H_
#define POMELOTRAY_TESTS_PICK_H_

#include <rapidcheck.h>

namespace pomelotray {

// A number from `min` to below `max`, uniform in every case. RapidCheck's own ranges stay close to
// `min` in the first cases, so that choices between actions would nearly always be the first.
template <typename T>
T Pick(T min, T max) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max));
}

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_PICK_H_
