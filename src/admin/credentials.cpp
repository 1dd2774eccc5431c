#include "admin/credentials.hpp"

#include "core/digest.hpp"

namespace bamboochute::admin {

namespace {

constexpr std::string_view scheme = "Bearer ";
constexpr std::size_t maxCredentialLength = 1024;

} // namespace

Result<std::string> authenticate(std::string_view authorization, const Configuration *configuration,
                                 std::string_view bootstrapHash)
{
    const bool isBearer = authorization.starts_with(scheme)
                          && authorization.size() <= scheme.size() + maxCredentialLength;
    if (!isBearer)
        return Error(ErrorKind::Unauthenticated,
                     "header Authorization must contain \"Bearer\" and an operator's credential",
                     "Authorization");
    const std::string hash = sha256Hex(authorization.substr(scheme.size()));
    std::string name;
    const bool hasOperators = configuration != nullptr && !configuration->operators.empty();
    if (hasOperators) {
        for (const OperatorCredential &each : configuration->operators) {
            if (equalsInConstantTime(hash, each.credentialHash))
                name = each.name;
        }
    } else if (equalsInConstantTime(hash, bootstrapHash)) {
        name = bootstrapOperator;
    }
    if (name.empty())
        return Error(ErrorKind::Unauthenticated, "the credential belongs to no operator",
                     "Authorization");
    return name;
}

} // namespace bamboochute::admin
