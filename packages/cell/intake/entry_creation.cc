#include "cell/intake/entry_creation.h"

namespace pomelotray {

void AddCreation(const EntryCreation& creation, StoreTransaction* transaction) {
  for (const NewEntry& entry : creation.entries) {
    transaction->conditions.push_back(StoreCondition{entry.key, entry.replaced});
    transaction->writes.push_back(StoreWrite{entry.key, entry.value, EntryLifetime::Permanent()});
  }
  transaction->conditions.insert(transaction->conditions.end(), creation.conditions.begin(),
                                 creation.conditions.end());
  transaction->removals.insert(transaction->removals.end(), creation.removals.begin(),
                               creation.removals.end());
}

}  // namespace pomelotray
