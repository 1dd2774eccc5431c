/// @file
/// @brief Answers of the administration API as JSON.
#pragma once

#include "admin/admin_message.hpp"
#include "admin/fleet_status.hpp"
#include "admin/submission.hpp"

#include <vector>

namespace bamboochute::admin {

/// @brief Status 200 when accepted, 409 with error, winner and difference when lost.
AdminResponse submitResponse(const SubmitOutcome &outcome);
/// @brief The configuration in force with its root; NotReady when there is none.
AdminResponse configurationResponse(const ConfigurationInForce &inForce);
AdminResponse historyResponse(const std::vector<ConfigurationRoot> &roots);
AdminResponse statusResponse(const FleetStatus &status);
AdminResponse drainResponse(const DrainStatus &status);
AdminResponse explanationResponse(const Explanation &explanation);
AdminResponse metricsResponse(std::string text);
AdminResponse healthResponse();
/// @brief Status 200 when ready, 503 with the reason when not.
AdminResponse readinessResponse(const Readiness &readiness);

} // namespace bamboochute::admin
