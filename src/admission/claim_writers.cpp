#include "admission/claim_writers.hpp"

#include "core/invariant.hpp"
#include "core/random.hpp"

#include <algorithm>
#include <cmath>

namespace bamboochute::admission {

namespace {

constexpr std::uint64_t writerSeed = 0x636c61696d;

} // namespace

std::size_t claimWriterCount(std::size_t instances, double transactionsPerSecond)
{
    const auto affordableWriters
            = static_cast<std::size_t>(transactionsPerSecond / minTransactionsPerWriter);
    return std::min(instances, std::max<std::size_t>(1, affordableWriters));
}

std::vector<InstanceId> chooseClaimWriters(const std::vector<InstanceId> &members,
                                           std::size_t count)
{
    std::vector<InstanceId> ranked = members;
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        const std::uint64_t leftRank = stableHash(left.value(), writerSeed);
        const std::uint64_t rightRank = stableHash(right.value(), writerSeed);
        return std::pair(rightRank, right) < std::pair(leftRank, left);
    });
    ranked.resize(std::min(count, ranked.size()));
    return ranked;
}

const InstanceId &claimWriterFor(std::string_view key, const std::vector<InstanceId> &writers)
{
    BC_INVARIANT(!writers.empty(), "there is at least one writer of claims");
    const std::uint64_t keyHash = stableHash(key);
    return *std::max_element(
            writers.begin(), writers.end(), [&](const auto &left, const auto &right) {
                return stableHash(left.value(), keyHash) < stableHash(right.value(), keyHash);
            });
}

} // namespace bamboochute::admission
