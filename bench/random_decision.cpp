#include "decision_random.hpp"

namespace bamboochute::bench {

namespace {

const RegisterRandomMachine registered("decision", [](const RandomRunRequest &request) {
    return RandomDecisionRun(request, faultsOf(request.seed), Defect::None).run();
});

} // namespace

} // namespace bamboochute::bench
