#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "base/event_log.h"
#include "base/manual_clock.h"
#include "platform/store_client.h"
#include "tests/platform/hostile_texts.h"
#include "tests/platform/scripted_server.h"

namespace pomelotray::platform {
namespace {

// Items of the store that cannot be decoded. Those with a key have the key "a/odd".
std::vector<std::string> HostileItems() {
  std::vector<std::string> items = {"7",
                                    "null",
                                    "\"\"",
                                    "[]",
                                    "{}",
                                    R"({"key":7,"value":"eA==","revision":1})",
                                    R"({"key":"a/odd","revision":1})",
                                    R"({"key":"a/odd","value":"eA=="})",
                                    R"({"key":"a/odd","value":"%%","revision":1})",
                                    R"({"key":"a/odd","value":7,"revision":1})"};
  for (const std::string& number : HostileNumbers()) {
    if (number != "9223372036854775807") {
      items.push_back(absl::StrCat(R"({"key":"a/odd","value":"eA==","revision":)", number, "}"));
    }
  }
  for (const char* lease : {"\"7\"", "-1", "1.5", "null", "99999999999999999999"}) {
    items.push_back(
        absl::StrCat(R"({"key":"a/odd","value":"eA==","revision":1,"lease":)", lease, "}"));
  }
  return items;
}

constexpr char kGoodItem[] = R"({"key":"a/x","value":"eA==","revision":9223372036854775807})";

// A client of a store that responds with the given bodies in turn, with a log of its own.
class StoreFixture {
 public:
  explicit StoreFixture(const std::vector<std::string>& bodies)
      : server_(ServeInTurn(bodies)), store_(server_.address(), &events_, kPatientTimeout) {}

  StoreClient& store() { return store_; }
  Outcome<StoreListing> ListAll() {
    return Capture([this] { return store_.ListAll("a/"); });
  }
  Outcome<WatchBatch> Watch() {
    return Capture([this] { return store_.Watch("a/", Revision(1), absl::Milliseconds(1)); });
  }
  size_t LogLines() const { return events_.Select({}).size(); }

 private:
  ManualClock clock_;
  HybridClock hybrid_clock_{&clock_};
  EventLog events_{"test", &hybrid_clock_};
  ScriptedServer server_;
  StoreClient store_;
};

BOOST_AUTO_TEST_SUITE(HostileStoreTest)

// Guards against an item that hides the other items, and against a log line for each read.
BOOST_AUTO_TEST_CASE(ListingsSkipUnreadableItems) {
  for (const std::string& item : HostileItems()) {
    const std::string body = absl::StrCat(R"({"as-of":5,"items":[)", item, ",", kGoodItem, "]}");
    StoreFixture fixture({body, body});
    for (int i = 0; i < 2; ++i) {
      const Outcome<StoreListing> listing = fixture.ListAll();
      BOOST_TEST_CONTEXT(item) {
        BOOST_REQUIRE_MESSAGE(listing.ok(), (listing.ok() ? "" : listing.error().message));
        BOOST_REQUIRE_EQUAL(listing.value().entries.size(), 1U);
        BOOST_TEST(listing.value().entries[0].key == "a/x");
        BOOST_TEST(fixture.LogLines() == 1U);
      }
    }
  }
}

// Guards against an event that ends the watch or hides the other events, and against a log line for
// each read.
BOOST_AUTO_TEST_CASE(WatchesSkipUnreadableEvents) {
  std::vector<std::string> events = HostileItems();
  events.push_back(R"({"key":"a/odd","value":"eA==","revision":1,"deleted":7})");
  for (const std::string& event : events) {
    const std::string body = absl::StrCat(R"({"as-of":5,"events":[)", event, ",", kGoodItem,
                                          R"(,{"key":"a/y","deleted":true,"revision":3}]})");
    StoreFixture fixture({body, body});
    for (int i = 0; i < 2; ++i) {
      const Outcome<WatchBatch> batch = fixture.Watch();
      BOOST_TEST_CONTEXT(event) {
        BOOST_REQUIRE_MESSAGE(batch.ok(), (batch.ok() ? "" : batch.error().message));
        BOOST_REQUIRE_EQUAL(batch.value().changed.size(), 1U);
        BOOST_TEST(batch.value().changed[0].key == "a/x");
        BOOST_REQUIRE_EQUAL(batch.value().deleted.size(), 1U);
        BOOST_TEST(batch.value().deleted[0] == "a/y");
        BOOST_TEST(batch.value().next.value() == 5);
        BOOST_TEST(fixture.LogLines() == 1U);
      }
    }
  }
}

// Guards against pages after one that ends with an unreadable item: the next page must begin after
// that item, and the pages must not be read in a loop.
BOOST_AUTO_TEST_CASE(ListingsContinueAfterUnreadableItems) {
  StoreFixture fixture(
      {R"({"as-of":5,"has-more":true,"items":[{"key":"a/a","value":"%%","revision":1}]})",
       absl::StrCat(R"({"as-of":5,"items":[)", kGoodItem, "]}")});
  const Outcome<StoreListing> listing = fixture.ListAll();
  BOOST_REQUIRE_MESSAGE(listing.ok(), (listing.ok() ? "" : listing.error().message));
  BOOST_TEST(listing.value().entries.size() == 1U);
  const std::string repeated =
      absl::StrCat(R"({"as-of":5,"has-more":true,"items":[)", kGoodItem, "]}");
  StoreFixture looping({repeated, repeated});
  BOOST_TEST(!looping.ListAll().ok());
}

// Guards against listings and watches that are read as empty or complete although their fields are
// of other types: the caller would take all entries as deleted.
BOOST_AUTO_TEST_CASE(MalformedPagesAreErrors) {
  for (const std::string field :
       {R"("items":7)", R"("items":{})", R"("items":"")", R"("has-more":7)", R"("has-more":"true")",
        R"("events":7)", R"("events":{})"}) {
    const std::string body = absl::StrCat(R"({"as-of":5,)", field, "}");
    StoreFixture fixture({body});
    const bool is_event = field.find("events") != std::string::npos;
    BOOST_TEST_CONTEXT(body) {
      if (is_event) {
        const Outcome<WatchBatch> batch = fixture.Watch();
        BOOST_REQUIRE(!batch.ok());
        BOOST_TEST((batch.error().kind == ErrorKind::kStoreUnavailable));
      } else {
        const Outcome<StoreListing> listing = fixture.ListAll();
        BOOST_REQUIRE(!listing.ok());
        BOOST_TEST((listing.error().kind == ErrorKind::kStoreUnavailable));
      }
    }
  }
  for (const std::string& number : HostileNumbers()) {
    if (number == "9223372036854775807") {
      continue;
    }
    const std::string body = absl::StrCat(R"({"items":[],"events":[],"as-of":)", number, "}");
    StoreFixture fixture({body, body});
    BOOST_TEST_CONTEXT(body) {
      BOOST_TEST(!fixture.ListAll().ok());
      BOOST_TEST(!fixture.Watch().ok());
    }
  }
}

// Guards against a transaction that counts as not carried out because its response is malformed.
BOOST_AUTO_TEST_CASE(MalformedWriteResponsesLeaveTheOutcomeUnknown) {
  std::vector<std::string> bodies = {"", "7", "[]", "{}", "\xff"};
  for (const std::string& number : HostileNumbers()) {
    if (number != "9223372036854775807") {
      bodies.push_back(absl::StrCat(R"({"revision":)", number, "}"));
    }
  }
  for (const std::string& body : bodies) {
    StoreFixture fixture({body});
    const Outcome<Revision> revision =
        Capture([&] { return fixture.store().Commit(StoreTransaction()); });
    BOOST_TEST_CONTEXT(body) {
      BOOST_REQUIRE(!revision.ok());
      BOOST_TEST((revision.error().kind == ErrorKind::kOutcomeUnknown));
    }
  }
}

// Guards against the replacement of claims whose lease lives, and against claims without a lease
// that are taken for such: only the store knows which entries have one.
BOOST_AUTO_TEST_CASE(EntriesTellTheirLease) {
  const std::string items = R"([{"key":"a/leased","value":"eA==","revision":1,"lease":7},)"
                            R"({"key":"a/permanent","value":"eA==","revision":2,"lease":0}])";
  StoreFixture fixture({absl::StrCat(R"({"as-of":5,"items":)", items, "}"),
                        absl::StrCat(R"({"as-of":5,"events":)", items, "}")});
  const Outcome<StoreListing> listing = fixture.ListAll();
  const Outcome<WatchBatch> batch = fixture.Watch();
  BOOST_REQUIRE(listing.ok() && batch.ok());
  for (const std::vector<StoreEntry>& entries : {listing.value().entries, batch.value().changed}) {
    BOOST_REQUIRE_EQUAL(entries.size(), 2U);
    BOOST_TEST((entries[0].lease == StoreLeaseId("7")));
    BOOST_TEST(!entries[1].lease.has_value());
  }
}

// Guards against exceptions for leases that another store issued.
BOOST_AUTO_TEST_CASE(LeasesThatAreNoNumbersAreRejected) {
  for (const char* lease : {"", "x", "99999999999999999999"}) {
    StoreFixture fixture({});
    StoreTransaction transaction;
    transaction.writes = {StoreWrite{"a/x", "x", EntryLifetime::BoundTo(StoreLeaseId(lease))}};
    const Outcome<Revision> revision = Capture([&] { return fixture.store().Commit(transaction); });
    BOOST_REQUIRE(!revision.ok());
    BOOST_TEST((revision.error().kind == ErrorKind::kInvalidArgument));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
