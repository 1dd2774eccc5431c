#include "node/gossip_driver.hpp"

#include "core/log.hpp"
#include "core/overloaded.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bamboochute::node {

namespace {

constexpr std::chrono::milliseconds tickPeriod{25};

peer::MemberIdentity identityOf(const ControlContext &context, const Endpoint &datagramEndpoint,
                                const Endpoint &callEndpoint)
{
    return {
            context.settings.instance, context.incarnation, context.settings.dataCentre,
            datagramEndpoint,          callEndpoint,
    };
}

} // namespace

struct GossipDriver::State : std::enable_shared_from_this<GossipDriver::State>
{
    State(ControlContext &context, std::unique_ptr<peer::DatagramSocket> socket, peer::KeyRing keys,
          const Endpoint &callEndpoint, GossipCallbacks callbacks)
        : context(context)
        , socket(std::move(socket))
        , gossip({}, std::move(keys),
                 identityOf(context, this->socket->localEndpoint(), callEndpoint),
                 context.settings.seeds, context.incarnation.value())
        , callbacks(std::move(callbacks))
        , timer(context.loop)
    {}

    ControlContext &context;
    std::unique_ptr<peer::DatagramSocket> socket;
    peer::Gossip gossip;
    GossipCallbacks callbacks;
    boost::asio::steady_timer timer;

    void carryOut(const peer::GossipActions &actions)
    {
        for (const peer::GossipAction &action : actions) {
            std::visit(Overloaded{
                               [this](const peer::SendBytes &send) {
                                   this->socket->send(send.to, send.bytes);
                               },
                               [this](const peer::MemberChanged &changed) {
                                   this->callbacks.onMemberChanged(changed);
                               },
                               [this](const peer::StateChanged &changed) {
                                   this->callbacks.onStateChanged(changed);
                               },
                               [this](const peer::DeclaredGoneByPeers &gone) {
                                   this->callbacks.onSelfDeclaredGone(gone);
                               },
                       },
                       action);
        }
    }

    void carryOut(const Result<peer::GossipActions> &actions, std::string_view item)
    {
        if (actions) {
            this->carryOut(actions.value());
            return;
        }
        this->context.metrics.errors(actions.error().kind()).add();
        logEvent(LogLevel::Warning, "gossip update failed; other instances keep the previous state",
                 {{"item", std::string(item)},
                  {"error", std::string(actions.error().row().code)},
                  {"detail", actions.error().message()}});
    }

    void scheduleTick()
    {
        this->timer.expires_after(tickPeriod);
        this->timer.async_wait([weak = this->weak_from_this()](const auto &error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            self->carryOut(self->gossip.onTick(self->context.clock.now()));
            self->scheduleTick();
        });
    }
};

Result<std::unique_ptr<GossipDriver>> GossipDriver::open(ControlContext &context,
                                                         peer::KeyRing keys,
                                                         const Endpoint &callEndpoint,
                                                         GossipCallbacks callbacks)
{
    BOOST_OUTCOME_TRY(socket, peer::DatagramSocket::open(context.loop, callEndpoint));
    auto state = std::make_shared<State>(context, std::move(socket), std::move(keys), callEndpoint,
                                         std::move(callbacks));
    return std::unique_ptr<GossipDriver>(new GossipDriver(std::move(state)));
}

GossipDriver::GossipDriver(std::shared_ptr<State> state)
    : state(std::move(state))
{}

GossipDriver::~GossipDriver()
{
    this->state->timer.cancel();
    this->state->socket->close();
}

void GossipDriver::start()
{
    const auto weak = std::weak_ptr<State>(this->state);
    this->state->socket->start(
            [weak](std::string_view bytes, const Endpoint &source) {
                if (const auto self = weak.lock())
                    self->carryOut(self->gossip.onBytes(self->context.clock.now(), bytes, source));
            },
            [weak](const Endpoint &endpoint) {
                if (const auto self = weak.lock())
                    self->carryOut(self->gossip.onPortRefused(self->context.clock.now(), endpoint));
            });
    this->state->scheduleTick();
}

void GossipDriver::publish(const peer::StateKey &key, Fence fence, std::string payload)
{
    const TimePoint now = this->state->context.clock.now();
    this->state->carryOut(this->state->gossip.publish(now, key, fence, std::move(payload)),
                          key.item);
}

void GossipDriver::erase(const peer::StateKey &key, Fence fence)
{
    const TimePoint now = this->state->context.clock.now();
    this->state->carryOut(this->state->gossip.erase(now, key, fence), key.item);
}

void GossipDriver::takeOver(const peer::StreamKey &stream, Fence fence)
{
    const TimePoint now = this->state->context.clock.now();
    this->state->carryOut(this->state->gossip.takeOver(now, stream, fence), stream.scope);
}

void GossipDriver::onPlatformList(const std::vector<peer::ListedInstance> &list)
{
    this->state->carryOut(
            this->state->gossip.onPlatformList(this->state->context.clock.now(), list));
}

void GossipDriver::announceLeaving()
{
    this->state->carryOut(this->state->gossip.announceLeaving(this->state->context.clock.now()));
}

void GossipDriver::leave()
{
    this->state->carryOut(this->state->gossip.leave(this->state->context.clock.now()));
}

const peer::Gossip &GossipDriver::gossip() const
{
    return this->state->gossip;
}

} // namespace bamboochute::node
