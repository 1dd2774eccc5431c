// The one translation unit that holds the compiled parts of Boost.Asio and Boost.Beast.
#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
