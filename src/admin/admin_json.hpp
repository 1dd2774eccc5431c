/// @file
/// @brief Builds the responses of the administration API, most of them as JSON.
#pragma once

#include "admin/admin_message.hpp"
#include "admin/fleet_status.hpp"
#include "admin/submission.hpp"

#include <vector>

namespace bamboochute::admin {

/// @brief Status 200 when the submission was accepted; 409 with the error, the winning root and the
/// difference on a conflict.
AdminResponse submitResponse(const SubmitOutcome &outcome);
/// @brief The configuration in force with its root; error NotReady when there is none.
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
