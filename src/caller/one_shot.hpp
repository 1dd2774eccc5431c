/// @file
/// @brief A value that a request waits for and that any thread may give.
#pragma once

#include "core/invariant.hpp"
#include "upstream/net.hpp"

#include <memory>
#include <optional>

#include <boost/asio/post.hpp>

namespace bamboochute::caller {

/// @brief The first value given is received by the one coroutine that waits.
///
/// Keeps the io_context, so that a value that comes after the server has gone does no harm.
template<typename T>
class OneShot : public std::enable_shared_from_this<OneShot<T>>
{
public:
    explicit OneShot(std::shared_ptr<upstream::asio::io_context> context)
        : context(std::move(context))
    {}

    /// @brief Gives the value; safe to call from any thread, later values are dropped.
    void complete(T value)
    {
        upstream::asio::post(*this->context,
                             [self = this->shared_from_this(), value = std::move(value)]() mutable {
                                 self->accept(std::move(value));
                             });
    }

    /// @brief Waits on the context's thread; called once.
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
    void accept(T given)
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

    std::shared_ptr<upstream::asio::io_context> context;
    std::optional<T> value;
    std::optional<upstream::Resumption<bool>> waiter;
};

} // namespace bamboochute::caller
