#ifndef POMELOTRAY_CELL_ADVICE_ADVICE_SHARES_H_
#define POMELOTRAY_CELL_ADVICE_ADVICE_SHARES_H_

#include <map>
#include <string>

namespace pomelotray {

// The share of workers that the adviser allows for the steps of each queue, learned from its
// answers. Not thread-safe.
class AdviceShares {
 public:
  // Records an answer about `asked` workers that allowed `allowed` of them.
  void Record(const std::string& queue, size_t asked, size_t allowed);
  // Returns the share for the queue, greater than 0 and less than 1.
  double Share(const std::string& queue) const;

 private:
  struct Counts {
    double asked = 0;
    double allowed = 0;
  };
  std::map<std::string, Counts> counts_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_ADVICE_ADVICE_SHARES_H_
