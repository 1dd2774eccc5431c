#include "random_run.hpp"

#include "core/log.hpp"

#include <fmt/format.h>

namespace bamboochute::bench {

namespace {

constexpr std::uint64_t stepsPerSeed = 5000;
constexpr std::uint64_t defaultSteps = 1000000;
constexpr std::size_t maxFailuresPrinted = 3;

/// Results of one machine, summed over its seeds.
struct MachineSummary
{
    std::uint64_t seeds = 0;
    std::uint64_t steps = 0;
    std::uint64_t failures = 0;
    std::map<std::string, std::uint64_t> counts;
    std::string failureText;
};

std::string describe(const RandomMachine &machine, const RandomRunRequest &request,
                     const RandomRunResult &result)
{
    std::string text = fmt::format("{}: seed {} after {} steps: {}\n", machine.name, request.seed,
                                   result.steps, result.failure);
    for (const std::string &line : result.trace)
        text += "    " + line + "\n";
    text += fmt::format("    replay: bamboochute-bench random --seed={} --steps={}\n", request.seed,
                        request.steps);
    return text;
}

MachineSummary runMachine(const RandomMachine &machine, const ExperimentArguments &arguments,
                          std::uint64_t steps)
{
    MachineSummary summary;
    for (std::uint64_t seed = arguments.seed; summary.steps < steps; ++seed) {
        RandomRunRequest request{seed, std::min(stepsPerSeed, steps - summary.steps), false};
        RandomRunResult result = machine.run(request);
        ++summary.seeds;
        summary.steps += std::max<std::uint64_t>(1, result.steps);
        for (const auto &[name, count] : result.counts)
            summary.counts[name] += count;
        if (result.failure.empty())
            continue;
        ++summary.failures;
        if (summary.failures > maxFailuresPrinted)
            continue;
        request.isTraced = true;
        summary.failureText += describe(machine, request, machine.run(request));
    }
    return summary;
}

Report runRandom(const ExperimentArguments &arguments)
{
    const ThrowingInvariants throwing;
    configureLog("random", LogLevel::Critical);
    Report report;
    const std::uint64_t steps = arguments.steps == 0 ? defaultSteps : arguments.steps;
    for (const RandomMachine &machine : randomMachines()) {
        const MachineSummary summary = runMachine(machine, arguments, steps);
        const std::string prefix = machine.name + "_";
        report.addFigure(prefix + "seeds", static_cast<double>(summary.seeds), "seeds");
        report.addFigure(prefix + "steps", static_cast<double>(summary.steps), "steps");
        for (const auto &[name, count] : summary.counts)
            report.addFigure(prefix + name, static_cast<double>(count), "times");
        report.addFigure(prefix + "failures", static_cast<double>(summary.failures), "seeds");
        report.requireAtMost(prefix + "failures", 0);
        report.table += summary.failureText;
    }
    return report;
}

const RegisterExperiment registered("random", "state machines under random faults, checked",
                                    runRandom);

} // namespace

std::vector<RandomMachine> &randomMachines()
{
    static std::vector<RandomMachine> machines;
    return machines;
}

RegisterRandomMachine::RegisterRandomMachine(
        std::string name, std::function<RandomRunResult(const RandomRunRequest &)> run)
{
    randomMachines().push_back({std::move(name), std::move(run)});
}

} // namespace bamboochute::bench
