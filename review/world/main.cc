// Plays one review case against instances of the system. Exits with 0 if the rule held, 1 if it was
// broken and 2 if the case could not run.

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "review/world/cases.h"

int main(int argc, char** argv) {
  const std::map<std::string, std::function<int(review::Cluster*, bool)>> cases = {
      {"many-ends", review::PlayManyEnds},
      {"lasting-done", review::PlayLastingDone},
      {"roster-answer-lost", review::PlayRosterAnswerLost},
      {"repeated-crashes", review::PlayRepeatedCrashes},
      {"suspected-lasting", review::PlaySuspectedLasting},
      {"slow-store", review::PlaySlowStore},
  };
  if (argc != 4 || cases.count(argv[1]) == 0) {
    std::cerr << "usage: world CASE RECORD SCRATCH-FOLDER\n";
    return review::kNotRun;
  }
  const char* const setting = std::getenv("TROUBLE");  // NOLINT(concurrency-mt-unsafe)
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  // Never destroyed: threads of the stand-ins may still use it.
  review::Cluster* const cluster = new review::Cluster(argv[2], argv[3]);
  const int result = cases.at(argv[1])(cluster, trouble);
  cluster->KillAllInstances();
  cluster->record().Line(result == review::kHeld     ? "RESULT: the rule held"
                         : result == review::kBroken ? "RESULT: the rule was broken"
                                                     : "RESULT: the case could not run");
  std::cout.flush();
  std::_Exit(result);
}
