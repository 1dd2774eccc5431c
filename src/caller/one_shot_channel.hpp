/// @file
/// @brief Passes one value from any thread to a waiting coroutine.
#pragma once

#include "core/invariant.hpp"
#include "upstream/net.hpp"

#include <memory>
#include <optional>

#include <boost/asio/post.hpp>

namespace bamboochute::caller {

/// @brief A channel for one value and one waiting coroutine.
///
/// Shares ownership of the io_context, so that a value may be sent after the server is destroyed.
template<typename T>
class OneShotChannel : public std::enable_shared_from_this<OneShotChannel<T>>
{
public:
    explicit OneShotChannel(std::shared_ptr<upstream::asio::io_context> ioContext)
        : ioContext(std::move(ioContext))
    {}

    /// @brief Sends the value; thread-safe. Only the first value is delivered.
    void complete(T value)
    {
        upstream::asio::post(*this->ioContext,
                             [self = this->shared_from_this(), value = std::move(value)]() mutable {
                                 self->deliver(std::move(value));
                             });
    }

    /// @brief Waits for the value; called once, on the thread of the io_context.
    upstream::Awaitable<T> wait()
    {
        if (!this->value) {
            upstream::UseAwaitable token;
            co_await upstream::asio::async_initiate<upstream::UseAwaitable, void(bool)>(
                    [this](upstream::Resumption<bool> &&resumption) {
                        this->waiter.emplace(std::move(resumption));
                    },
                    token);
        }
        co_return std::move(*this->value);
    }

private:
    void deliver(T given)
    {
        if (this->value)
            return;
        this->value.emplace(std::move(given));
        if (!this->waiter)
            return;
        upstream::Resumption<bool> resumption = std::move(*this->waiter);
        this->waiter.reset();
        resumption(true);
    }

    std::shared_ptr<upstream::asio::io_context> ioContext;
    std::optional<T> value;
    std::optional<upstream::Resumption<bool>> waiter;
};

} // namespace bamboochute::caller
