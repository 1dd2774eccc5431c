/// @file
/// @brief Asio types for the whole program, bound to io_context: each thread runs one of its own.
#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace bamboochute::upstream {

namespace asio = boost::asio;
using boost::system::error_code;

using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;

template<typename T>
using Awaitable = asio::awaitable<T, Executor>;
using UseAwaitable = asio::use_awaitable_t<Executor>;

/// Completion handler that resumes a coroutine with one value.
template<typename T>
using Resumption = typename asio::async_result<UseAwaitable, void(T)>::handler_type;

} // namespace bamboochute::upstream
