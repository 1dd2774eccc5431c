// The only translation unit that compiles the separately built sources of Boost.Asio and
// Boost.Beast.
#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
