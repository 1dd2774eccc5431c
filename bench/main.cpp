#include "bamboochute/bamboochute.hpp"
#include "experiment.hpp"

#include <algorithm>
#include <iostream>
#include <map>

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::bench {

namespace {

constexpr const char *usage = R"(Runs one experiment and prints its table and its figures.

Usage:
  bamboochute-bench list
  bamboochute-bench NAME [--seed=N] [--steps=N] [--json]
  bamboochute-bench (-h | --help)
  bamboochute-bench --version

Options:
  --seed=N   Seed of the random numbers [default: 1].
  --steps=N  Steps of a randomised run; 0 takes the experiment's default [default: 0].
  --json     Print only the JSON object.

Exit codes: 0 every bound holds, 1 a bound does not hold, 2 wrong arguments.
)";

struct Experiment
{
    std::string summary;
    ExperimentFunction run;
};

std::map<std::string, Experiment> &experiments()
{
    static std::map<std::string, Experiment> all;
    return all;
}

bool isBoundMet(const Report &report, const Bound &bound)
{
    for (const Figure &figure : report.figures) {
        if (figure.name == bound.figure)
            return bound.relation == "<=" ? figure.value <= bound.limit
                                          : figure.value >= bound.limit;
    }
    return false;
}

nlohmann::ordered_json reportToJson(const std::string &name, const ExperimentArguments &arguments,
                                    const Report &report)
{
    nlohmann::ordered_json object;
    object["experiment"] = name;
    object["seed"] = arguments.seed;
    object["figures"] = nlohmann::ordered_json::object();
    for (const Figure &figure : report.figures)
        object["figures"][figure.name] = figure.value;
    object["bounds"] = nlohmann::ordered_json::object();
    for (const Bound &bound : report.bounds)
        object["bounds"][bound.figure] = {{"relation", bound.relation}, {"limit", bound.limit}};
    object["holds"] = report.holds();
    return object;
}

void printTable(const Report &report)
{
    std::cout << report.table << '\n';
    for (const Figure &figure : report.figures) {
        std::string verdict;
        for (const Bound &bound : report.bounds) {
            if (bound.figure == figure.name)
                verdict += fmt::format("  {} {:g} {}", bound.relation, bound.limit,
                                       isBoundMet(report, bound) ? "holds" : "DOES NOT HOLD");
        }
        std::cout << fmt::format("{:<48} {:>14.4f} {:<12}{}\n", figure.name, figure.value,
                                 figure.unit, verdict);
    }
}

int listExperiments()
{
    for (const auto &[name, experiment] : experiments())
        std::cout << fmt::format("{:<16} {}\n", name, experiment.summary);
    return 0;
}

int runExperiment(const std::string &name, const ExperimentArguments &arguments, bool isJsonOnly)
{
    const auto found = experiments().find(name);
    if (found == experiments().end()) {
        std::cerr << fmt::format("experiment \"{}\" does not exist; see bamboochute-bench list\n",
                                 name);
        return 2;
    }
    const Report report = found->second.run(arguments);
    if (!isJsonOnly)
        printTable(report);
    std::cout << reportToJson(name, arguments, report).dump() << '\n';
    return report.holds() ? 0 : 1;
}

/// Reads the value of a flag as a whole number; exits with code 2 when it is not one.
std::uint64_t readNumber(const std::map<std::string, docopt::value> &flags, const char *flag)
{
    const std::string text = flags.at(flag).asString();
    const bool isNumber
            = !text.empty() && text.size() <= 19
              && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!isNumber) {
        std::cerr << fmt::format(
                "{} is \"{}\"; expected a whole number from 0 with at most 19 digits\n", flag,
                text);
        std::exit(2);
    }
    return std::stoull(text);
}

} // namespace

void Report::addFigure(std::string name, double value, std::string unit)
{
    this->figures.push_back({std::move(name), value, std::move(unit)});
}

void Report::requireAtMost(std::string figure, double limit)
{
    this->bounds.push_back({std::move(figure), "<=", limit});
}

void Report::requireAtLeast(std::string figure, double limit)
{
    this->bounds.push_back({std::move(figure), ">=", limit});
}

bool Report::holds() const
{
    return std::all_of(this->bounds.begin(), this->bounds.end(),
                       [this](const Bound &bound) { return isBoundMet(*this, bound); });
}

RegisterExperiment::RegisterExperiment(std::string name, std::string summary,
                                       ExperimentFunction run)
{
    experiments().emplace(std::move(name), Experiment{std::move(summary), std::move(run)});
}

} // namespace bamboochute::bench

int main(int argumentCount, char **arguments)
{
    using namespace bamboochute;
    const std::vector<std::string> commandLine(arguments + 1, arguments + argumentCount);
    const std::string versionText = fmt::format("bamboochute-bench {}", version());
    const auto flags = docopt::docopt(bench::usage, commandLine, true, versionText);
    if (flags.at("list").asBool())
        return bench::listExperiments();
    const bench::ExperimentArguments experimentArguments{bench::readNumber(flags, "--seed"),
                                                         bench::readNumber(flags, "--steps")};
    return bench::runExperiment(flags.at("NAME").asString(), experimentArguments,
                                flags.at("--json").asBool());
}
