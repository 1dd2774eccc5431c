/// @file
/// @brief The frame of randomised runs: state machines driven by a seed in virtual time, with the
/// invariants on, and a short trace that replays a failure.
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

/// @brief Thrown in place of the end of the process when an invariant is broken in a run.
class InvariantBroken : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @brief Makes broken invariants throw InvariantBroken while it lives.
class ThrowingInvariants
{
public:
    ThrowingInvariants()
        : before(setInvariantHandler(&ThrowingInvariants::raise))
    {}
    ~ThrowingInvariants() { setInvariantHandler(this->before); }
    ThrowingInvariants(const ThrowingInvariants &) = delete;
    ThrowingInvariants &operator=(const ThrowingInvariants &) = delete;

private:
    [[noreturn]] static void raise(std::string_view condition, std::string_view message,
                                   const char *file, int line)
    {
        throw InvariantBroken(std::string(message) + " (" + std::string(condition) + ", " + file
                              + ":" + std::to_string(line) + ")");
    }

    InvariantHandler before;
};

/// @brief What one seed is to do.
struct RandomRunRequest
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 10000;
    /// Whether lines for a trace are kept; off in long runs.
    bool isTraced = false;
};

/// @brief What one seed found.
struct RandomRunResult
{
    std::uint64_t steps = 0;
    /// Empty when every invariant and check held.
    std::string failure;
    /// Last events before the failure, oldest first; empty unless traced.
    std::vector<std::string> trace;
    /// What happened how often, such as "takeovers", summed over the seeds.
    std::map<std::string, std::uint64_t> counts;
};

/// @brief One state machine, or several, driven by a seed.
struct RandomMachine
{
    std::string name;
    std::function<RandomRunResult(const RandomRunRequest &)> run;
};

/// @brief Adds a machine to the experiment "random"; define one static object for each.
struct RegisterRandomMachine
{
    RegisterRandomMachine(std::string name,
                          std::function<RandomRunResult(const RandomRunRequest &)> run);
};

/// @brief All machines that were added.
std::vector<RandomMachine> &randomMachines();

} // namespace bamboochute::bench
