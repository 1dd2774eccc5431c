#include "platform/key_value_state.hpp"

#include "core/overloaded.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::platform {

namespace {

/// Returns the range of entries with a key or with a prefix.
template<typename Map>
auto findRange(Map &map, const std::string &key, bool isPrefix)
{
    auto first = map.lower_bound(key);
    auto last = first;
    const auto matches = [&](const auto &entry) {
        return isPrefix ? entry.first.starts_with(key) : entry.first == key;
    };
    while (last != map.end() && matches(*last))
        ++last;
    return std::pair(first, last);
}

Result<void> checkLimits(const std::vector<Operation> &operations)
{
    if (operations.size() > maxTransactionOperations)
        return Error(ErrorKind::InvalidField,
                     fmt::format("transaction has {} operations; at most {} are allowed",
                                 operations.size(), maxTransactionOperations),
                     "success");
    for (const Operation &operation : operations) {
        const auto *put = std::get_if<Put>(&operation);
        if (put != nullptr && put->value.size() > maxValueBytes)
            return Error(ErrorKind::InvalidField,
                         fmt::format("value of key \"{}\" has {} bytes; at most {} are allowed",
                                     put->key, put->value.size(), maxValueBytes),
                         "value");
    }
    return boost::outcome_v2::success();
}

} // namespace

Result<TransactionResponse> KeyValueState::apply(const Transaction &transaction)
{
    BOOST_OUTCOME_TRYV(checkLimits(transaction.success));
    BOOST_OUTCOME_TRYV(checkLimits(transaction.failure));
    TransactionResponse response;
    response.succeeded
            = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                          [this](const Compare &each) { return this->isSatisfied(each); });
    const auto &operations = response.succeeded ? transaction.success : transaction.failure;
    const bool isWrite = std::any_of(operations.begin(), operations.end(), [](const auto &each) {
        return !std::holds_alternative<Get>(each);
    });
    if (isWrite)
        this->current = this->current.next();
    for (const Operation &operation : operations)
        response.found.push_back(this->execute(operation));
    response.revision = this->current;
    return response;
}

LeaseId KeyValueState::grant(TimePoint now, Duration timeToLive)
{
    this->lastLease = this->lastLease.next();
    this->leases[this->lastLease] = Lease{now + timeToLive, timeToLive};
    return this->lastLease;
}

bool KeyValueState::keepAlive(LeaseId lease, TimePoint now)
{
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
        return false;
    found->second.end = now + found->second.timeToLive;
    return true;
}

void KeyValueState::expire(TimePoint now)
{
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
        if (lease->second.end > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> expired;
        for (const auto &[key, entry] : this->keys) {
            if (entry.lease == lease->first)
                expired.push_back(key);
        }
        if (!expired.empty())
            this->current = this->current.next();
        for (const std::string &key : expired)
            this->erase(Delete{key, false});
        lease = this->leases.erase(lease);
    }
}

std::vector<WatchEvent> KeyValueState::changesSince(StoreRevision revision,
                                                    std::string_view prefix) const
{
    const auto first = std::partition_point(
            this->history.begin(), this->history.end(),
            [&](const WatchEvent &event) { return event.entry.modRevision <= revision; });
    std::vector<WatchEvent> changes;
    std::copy_if(first, this->history.end(), std::back_inserter(changes),
                 [&](const WatchEvent &event) { return event.entry.key.starts_with(prefix); });
    return changes;
}

bool KeyValueState::isSatisfied(const Compare &condition) const
{
    return std::visit(Overloaded{
                              [this](const CompareModRevision &compare) {
                                  const auto found = this->keys.find(compare.key);
                                  const StoreRevision actual = found == this->keys.end()
                                                                       ? StoreRevision()
                                                                       : found->second.modRevision;
                                  return actual == compare.modRevision;
                              },
                              [this](const CompareValue &compare) {
                                  const auto found = this->keys.find(compare.key);
                                  return found != this->keys.end()
                                         && found->second.value == compare.value;
                              },
                      },
                      condition);
}

std::vector<KeyValue> KeyValueState::execute(const Operation &operation)
{
    std::vector<KeyValue> found;
    std::visit(Overloaded{
                       [this](const Put &put) { this->put(put); },
                       [this](const Delete &erase) { this->erase(erase); },
                       [this, &found](const Get &get) {
                           const auto [first, last] = findRange(this->keys, get.key, get.isPrefix);
                           for (auto entry = first; entry != last; ++entry)
                               found.push_back(entry->second);
                       },
               },
               operation);
    return found;
}

void KeyValueState::put(const Put &operation)
{
    KeyValue &entry = this->keys[operation.key];
    if (entry.version == 0) {
        entry.key = operation.key;
        entry.createRevision = this->current;
    }
    entry.value = operation.value;
    entry.modRevision = this->current;
    entry.lease = operation.lease;
    ++entry.version;
    this->history.push_back({entry, false});
}

void KeyValueState::erase(const Delete &operation)
{
    const auto [first, last] = findRange(this->keys, operation.key, operation.isPrefix);
    for (auto entry = first; entry != last; ++entry) {
        KeyValue removed = entry->second;
        removed.modRevision = this->current;
        this->history.push_back({std::move(removed), true});
    }
    this->keys.erase(first, last);
}

} // namespace bamboochute::platform
