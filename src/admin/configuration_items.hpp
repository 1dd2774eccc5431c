/// @file
/// @brief Kinds of items that the parts of a configuration contain.
#pragma once

#include "admin/json_text.hpp"
#include "core/configuration.hpp"

#include <string>

namespace bamboochute::admin {

/// Size limit of a part in bytes when it is read.
constexpr std::size_t maxPartBytes = 64 << 10;
constexpr JsonLimits partLimits{maxPartBytes, 8};

/// @brief Name of a kind of item in a part, and the key that identifies an item of this kind.
template<typename Spec>
struct ItemKind;
template<>
struct ItemKind<OperatorCredential>
{
    static constexpr const char *name = "operator";
    static const std::string &key(const OperatorCredential &spec) { return spec.name; }
};
template<>
struct ItemKind<CallerClass>
{
    static constexpr const char *name = "callerClass";
    static const std::string &key(const CallerClass &spec) { return spec.id.value(); }
};
template<>
struct ItemKind<ModelSpec>
{
    static constexpr const char *name = "model";
    static const std::string &key(const ModelSpec &spec) { return spec.id.value(); }
};
template<>
struct ItemKind<AdapterSpec>
{
    static constexpr const char *name = "adapter";
    static const std::string &key(const AdapterSpec &spec) { return spec.id.value(); }
};
template<>
struct ItemKind<UpstreamSpec>
{
    static constexpr const char *name = "upstream";
    static const std::string &key(const UpstreamSpec &spec) { return spec.id.value(); }
};
template<>
struct ItemKind<ServiceRoute>
{
    static constexpr const char *name = "route";
    static const std::string &key(const ServiceRoute &spec) { return spec.pathPrefix; }
};
/// Kind of the item that contains a deployment's fields other than lists.
constexpr const char *settingsKind = "deployment";

} // namespace bamboochute::admin
