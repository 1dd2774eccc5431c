/// @file
/// @brief Registration of experiments, and the report that an experiment returns.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bamboochute::bench {

/// @brief Arguments common to all experiments.
struct ExperimentArguments
{
    std::uint64_t seed = 1;
    /// Number of steps of a randomised run; zero means the experiment's default.
    std::uint64_t steps = 0;
};

/// @brief A measured value with its unit.
struct Figure
{
    std::string name;
    double value = 0;
    std::string unit;
};

/// @brief A limit on a figure, taken from the stated targets.
struct Bound
{
    std::string figure;
    /// "<=" or ">=".
    std::string relation;
    double limit = 0;
};

/// @brief Result of an experiment: measured figures, bounds on them and a table.
struct Report
{
    std::vector<Figure> figures;
    std::vector<Bound> bounds;
    /// Human-readable table, printed unchanged.
    std::string table;

    /// @brief Adds a measured value.
    /// @param name name of the figure in the JSON object
    /// @param value measured value in the given unit
    /// @param unit unit that the table prints; empty for a plain count or ratio
    void addFigure(std::string name, double value, std::string unit);
    /// @brief Adds an upper bound on a figure; the limit itself is allowed.
    void requireAtMost(std::string figure, double limit);
    /// @brief Adds a lower bound on a figure; the limit itself is allowed.
    void requireAtLeast(std::string figure, double limit);
    /// @return whether every bound is met; a bound on a figure that was not measured is not met
    bool holds() const;
};

using ExperimentFunction = std::function<Report(const ExperimentArguments &)>;

/// @brief Registers an experiment with the program; define one static object per experiment.
struct RegisterExperiment
{
    /// @param name name on the command line
    /// @param summary one line for `bamboochute-bench list`
    /// @param run function that runs the experiment
    RegisterExperiment(std::string name, std::string summary, ExperimentFunction run);
};

} // namespace bamboochute::bench
