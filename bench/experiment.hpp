/// @file
/// @brief The frame of an experiment: figures, bounds from the stated targets, and a table.
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

/// @brief A measured number.
struct Figure
{
    std::string name;
    double value = 0;
    std::string unit;
};

/// @brief A bound on a figure, from the stated targets.
struct Bound
{
    std::string figure;
    /// "<=" or ">=".
    std::string relation;
    double limit = 0;
};

/// @brief What an experiment found.
struct Report
{
    std::vector<Figure> figures;
    std::vector<Bound> bounds;
    /// A table for people, printed as it is.
    std::string table;

    void addFigure(std::string name, double value, std::string unit);
    void requireAtMost(std::string figure, double limit);
    void requireAtLeast(std::string figure, double limit);
    /// @brief Whether every bound holds; a bound on a figure that was not measured does not.
    bool holds() const;
};

using ExperimentFunction = std::function<Report(const ExperimentArguments &)>;

/// @brief Makes an experiment known to the program; define one static object for each.
struct RegisterExperiment
{
    RegisterExperiment(std::string name, std::string summary, ExperimentFunction run);
};

} // namespace bamboochute::bench
