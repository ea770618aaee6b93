#include "cell/records/job_id_record.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace pomelotray {
namespace {

BOOST_AUTO_TEST_SUITE(JobIdRecordTest)

BOOST_AUTO_TEST_CASE(RecordsAreReadBack) {
  for (const JobIdRecord& record :
       {JobIdRecord{PartName("a.b.0.2"), CustomerId("c"), {}},
        JobIdRecord{PartName("p.0.1"), {}, {}},
        JobIdRecord{PartName("p.0.1"), {}, {CustomerId(""), CustomerId("c")}}}) {
    const Outcome<JobIdRecord> read =
        Capture([&] { return DecodeJobIdRecord(EncodeJobIdRecord(record)); });
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((read.value().part == record.part));
    BOOST_TEST((read.value().customer == record.customer));
    BOOST_TEST((read.value().withdrawn_by == record.withdrawn_by));
  }
}

// Guards against an entry of another writer that is taken for a job, or that ends the process.
BOOST_AUTO_TEST_CASE(EntriesOfAnotherFormAreRefused) {
  for (const char* text :
       {"", "{", "[]", "1", "{}", R"({"part":1})", R"({"part":"p"})", R"({"part":"p.1.1"})",
        R"({"part":"p.0.1","customer":2})", R"({"part":"p.0.1","withdrawn_by":"c"})",
        R"({"part":"p.0.1","withdrawn_by":[1]})"}) {
    BOOST_TEST(!Capture([&] { return DecodeJobIdRecord(text); }).ok(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
