#include "upstream/listen.hpp"

#include <fmt/format.h>

namespace bamboochute::upstream {

Result<Endpoint> listenOn(Acceptor &acceptor, const Endpoint &endpoint, int backlog)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error)
        acceptor.open(asio::ip::tcp::v4(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(asio::ip::tcp::endpoint(address, endpoint.port), error);
    if (!error)
        acceptor.listen(backlog, error);
    if (error)
        return Error(ErrorKind::SettingInvalid,
                     fmt::format("{}:{} can't be listened on: {}", endpoint.address, endpoint.port,
                                 error.message()));
    return Endpoint{endpoint.address, acceptor.local_endpoint().port()};
}

} // namespace bamboochute::upstream
