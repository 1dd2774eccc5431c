#include "bamboochute/bamboochute.hpp"

namespace bamboochute {

std::string_view version() noexcept
{
    return "0.1.0";
}

} // namespace bamboochute
