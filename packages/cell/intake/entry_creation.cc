#include "cell/intake/entry_creation.h"

namespace pomelotray {

void AddCreation(const EntryCreation& creation, StoreTransaction* transaction) {
  for (const NewEntry& entry : creation.entries) {
    transaction->conditions.push_back(StoreCondition{entry.key, Revision(0)});
    transaction->writes.push_back(StoreWrite{entry.key, entry.value, EntryLifetime::Permanent()});
  }
  transaction->conditions.insert(transaction->conditions.end(), creation.conditions.begin(),
                                 creation.conditions.end());
}

}  // namespace pomelotray
