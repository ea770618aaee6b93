#include "cell/job_record.h"

#include <boost/test/unit_test.hpp>

namespace pomelotray {
namespace {

const JobId kJob("job");

std::string StoredIntake() {
  JobIntake intake;
  intake.id = kJob;
  intake.policy.name = "queue";
  intake.spec.steps.resize(3);
  return EncodeIntake(intake);
}

BOOST_AUTO_TEST_SUITE(JobRecordTest)

// Guards against a takeover that takes as long as the day had jobs: the descriptions of finished
// jobs are not read, not even to find that one is damaged.
BOOST_AUTO_TEST_CASE(DescriptionOfFinishedJobIsNotRead) {
  for (const char* progress :
       {R"({"state":"completed"})", R"({"state":"failed"})", R"({"state":"cancelled"})"}) {
    const Outcome<JobIntake> intake =
        Capture([&] { return DecodeInherited(kJob, "damaged", progress); });
    BOOST_REQUIRE(intake.ok());
    BOOST_TEST(intake.value().id.value() == "job");
    BOOST_TEST(intake.value().spec.steps.empty());
  }
}

// Guards against a lost job: one without progress, or with a part of its tasks done, is read whole.
BOOST_AUTO_TEST_CASE(OpenJobsAreReadWhole) {
  for (const char* progress : {"", R"({"state":"running","runs":[]})"}) {
    const Outcome<JobIntake> intake =
        Capture([&] { return DecodeInherited(kJob, StoredIntake(), progress); });
    BOOST_REQUIRE(intake.ok());
    BOOST_TEST(intake.value().spec.steps.size() == 3U);
  }
}

// Guards against a damaged entry that is taken for a finished or an empty job.
BOOST_AUTO_TEST_CASE(DamagedProgressIsAnError) {
  const Outcome<JobIntake> intake =
      Capture([&] { return DecodeInherited(kJob, StoredIntake(), "damaged"); });
  BOOST_REQUIRE(!intake.ok());
  BOOST_TEST(ErrorKindName(intake.error().kind) == ErrorKindName(ErrorKind::kInternal));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
