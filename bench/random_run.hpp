/// @file
/// @brief Framework of randomised runs: state machines driven by a seed in virtual time with
/// invariants enabled; the seed of a failure replays it, with a short trace.
#pragma once

#include "core/invariant.hpp"
#include "experiment.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace bamboochute::bench {

/// @brief Thrown by a violated invariant during a run, instead of ending the process.
class InvariantBroken : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @brief Makes violated invariants throw InvariantBroken during the lifetime of this object.
class ThrowingInvariants
{
public:
    ThrowingInvariants()
        : previousHandler(setInvariantHandler(&ThrowingInvariants::throwBroken))
    {}
    ~ThrowingInvariants() { setInvariantHandler(this->previousHandler); }
    ThrowingInvariants(const ThrowingInvariants &) = delete;
    ThrowingInvariants &operator=(const ThrowingInvariants &) = delete;

private:
    [[noreturn]] static void throwBroken(std::string_view condition, std::string_view message,
                                         const char *file, int line)
    {
        throw InvariantBroken(std::string(message) + " (" + std::string(condition) + ", " + file
                              + ":" + std::to_string(line) + ")");
    }

    InvariantHandler previousHandler;
};

/// @brief Parameters of the run of one seed.
struct RandomRunRequest
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 10000;
    /// Whether trace lines are kept; off in long runs.
    bool isTraced = false;
};

/// @brief Result of the run of one seed.
struct RandomRunResult
{
    std::uint64_t steps = 0;
    /// Empty when every invariant and check held.
    std::string failure;
    /// Last events before the failure, oldest first; empty unless isTraced was set.
    std::vector<std::string> trace;
    /// Number of events by name, such as "takeovers"; the report sums them over the seeds.
    std::map<std::string, std::uint64_t> counts;
};

/// @brief A state machine, or several together, that a seed drives.
struct RandomMachine
{
    std::string name;
    std::function<RandomRunResult(const RandomRunRequest &)> run;
};

/// @brief Registers a machine with the experiment "random"; define one static object per machine.
struct RegisterRandomMachine
{
    RegisterRandomMachine(std::string name,
                          std::function<RandomRunResult(const RandomRunRequest &)> run);
};

/// @brief Returns all registered machines.
std::vector<RandomMachine> &randomMachines();

} // namespace bamboochute::bench
