#include "decision/ledger.hpp"

#include "core/invariant.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::decision {

namespace {

template<typename Record>
auto *findPlacement(Record &record, const Target &target)
{
    const auto found = std::find_if(record.placements.begin(), record.placements.end(),
                                    [&](const Placement &each) { return each.target == target; });
    return found == record.placements.end() ? nullptr : &*found;
}

Bytes sumOf(const std::vector<Placement> &placements)
{
    Bytes sum;
    for (const Placement &placement : placements)
        sum = sum + placement.memory;
    return sum;
}

std::string displayName(const Target &target)
{
    return target.adapter.isEmpty() ? target.model.value()
                                    : target.model.value() + "+" + target.adapter.value();
}

PlacementState placementStateFrom(InventoryState state)
{
    switch (state) {
    case InventoryState::Loading:
        return PlacementState::Loading;
    case InventoryState::Loaded:
        return PlacementState::Loaded;
    case InventoryState::Unloading:
        return PlacementState::Unloading;
    }
    return PlacementState::Loaded;
}

bool hasOutstandingOrders(const UpstreamRecord &record, const Target &target)
{
    return std::any_of(record.orders.begin(), record.orders.end(),
                       [&](const OutstandingOrder &each) { return each.target == target; });
}

} // namespace

void Ledger::configure(PoolViewPointer view)
{
    this->poolView = std::move(view);
    for (const auto &[id, spec] : this->poolView->upstreams)
        this->recordFor(id);
}

void Ledger::clear()
{
    this->recordsByUpstream.clear();
    this->distrusted.clear();
    this->configure(this->poolView);
}

void Ledger::restoreRecord(UpstreamRecord record)
{
    UpstreamRecord &own = this->recordFor(record.upstream);
    BC_INVARIANT(record.fence >= own.fence,
                 "a record that was read has a lower fencing number than the ledger");
    own = std::move(record);
}

const UpstreamRecord &Ledger::record(const UpstreamId &upstream) const
{
    static const UpstreamRecord none;
    const auto found = this->recordsByUpstream.find(upstream);
    return found == this->recordsByUpstream.end() ? none : found->second;
}

const Placement *Ledger::find(const UpstreamId &upstream, const Target &target) const
{
    return findPlacement(this->record(upstream), target);
}

const OutstandingOrder *Ledger::findOrder(const UpstreamId &upstream, const OrderId &order) const
{
    const UpstreamRecord &record = this->record(upstream);
    const auto found = std::find_if(record.orders.begin(), record.orders.end(),
                                    [&](const OutstandingOrder &each) { return each.id == order; });
    return found == record.orders.end() ? nullptr : &*found;
}

Bytes Ledger::usedMemory(const UpstreamId &upstream) const
{
    return sumOf(this->record(upstream).placements);
}

Bytes Ledger::availableMemory(const UpstreamId &upstream) const
{
    const UpstreamRecord &record = this->record(upstream);
    if (record.mayHoldUnrecordedTargets || this->isDistrusted(upstream))
        return Bytes{};
    const Bytes all = this->capacity(upstream);
    const Bytes held = sumOf(record.placements);
    return held >= all ? Bytes{} : Bytes{all.count - held.count};
}

std::uint32_t Ledger::replicas(const Target &target) const
{
    std::uint32_t count = 0;
    for (const auto &[id, record] : this->recordsByUpstream) {
        if (findPlacement(record, target) != nullptr
            || this->mayHoldUnrecordedReplica(record, target))
            ++count;
    }
    return count;
}

bool Ledger::isOutstanding(const UpstreamId &upstream, const Target &target) const
{
    return hasOutstandingOrders(this->record(upstream), target);
}

bool Ledger::canLoad(const UpstreamId &upstream, const Target &target) const
{
    const auto spec = this->poolView->targets.find(target);
    if (spec == this->poolView->targets.end() || !this->poolView->upstreams.contains(upstream))
        return false;
    return this->find(upstream, target) == nullptr && this->isBaseLoaded(upstream, target)
           && this->availableMemory(upstream) >= spec->second.memory
           && this->replicas(target) < spec->second.maxReplicas;
}

void Ledger::decideLoad(const UpstreamId &upstream, const Target &target, const OrderId &order)
{
    UpstreamRecord &record = this->recordFor(upstream);
    BC_INVARIANT(findPlacement(record, target) == nullptr,
                 "a load is decided for a target that is already placed at the upstream");
    const auto spec = this->poolView->targets.find(target);
    BC_INVARIANT(spec != this->poolView->targets.end(),
                 "a load is decided for a target that is not in the configuration");
    record.placements.push_back(Placement{target, spec->second.memory, PlacementState::Loading});
    this->addOrder(record, OutstandingOrder{order, OrderKind::Load, target, true});
    this->checkBounds(upstream, target);
}

void Ledger::repeatLoad(const UpstreamId &upstream, const Target &target, const OrderId &order)
{
    UpstreamRecord &record = this->recordFor(upstream);
    Placement *placement = findPlacement(record, target);
    BC_INVARIANT(placement != nullptr, "a load is ordered again for a target without a placement");
    placement->state = PlacementState::Loading;
    this->addOrder(record, OutstandingOrder{order, OrderKind::Load, target, false});
}

void Ledger::decideUnload(const UpstreamId &upstream, const Target &target, const OrderId &order)
{
    UpstreamRecord &record = this->recordFor(upstream);
    Placement *placement = findPlacement(record, target);
    BC_INVARIANT(placement != nullptr, "an unload is decided for a target without a placement");
    placement->state = PlacementState::Unloading;
    this->addOrder(record, OutstandingOrder{order, OrderKind::Unload, target, false});
}

void Ledger::confirmLoad(const UpstreamId &upstream, const OrderId &order)
{
    const OutstandingOrder *found = this->findOrder(upstream, order);
    if (found == nullptr)
        return;
    const Target target = found->target;
    UpstreamRecord &record = this->recordFor(upstream);
    std::erase_if(record.orders, [&](const auto &each) { return each.id == order; });
    Placement *placement = findPlacement(record, target);
    if (placement != nullptr && placement->state == PlacementState::Loading)
        placement->state = PlacementState::Loaded;
}

void Ledger::confirmUnload(const UpstreamId &upstream, const OrderId &order)
{
    const OutstandingOrder *found = this->findOrder(upstream, order);
    if (found == nullptr)
        return;
    const Target target = found->target;
    UpstreamRecord &record = this->recordFor(upstream);
    std::erase_if(record.orders, [&](const OutstandingOrder &each) {
        return each.target == target && each.kind == OrderKind::Unload;
    });
    if (!hasOutstandingOrders(record, target))
        this->removePlacement(record, target);
}

void Ledger::withdrawOrder(const UpstreamId &upstream, const OrderId &order)
{
    const OutstandingOrder *found = this->findOrder(upstream, order);
    if (found == nullptr)
        return;
    const OutstandingOrder gone = *found;
    UpstreamRecord &record = this->recordFor(upstream);
    std::erase_if(record.orders, [&](const auto &each) { return each.id == order; });
    if (gone.isInitialLoad && !hasOutstandingOrders(record, gone.target))
        this->removePlacement(record, gone.target);
}

void Ledger::raiseFence(const UpstreamId &upstream, Fence fence)
{
    UpstreamRecord &record = this->recordFor(upstream);
    BC_INVARIANT(fence >= record.fence,
                 fmt::format("the fencing number of upstream {} is lowered from {} to {}",
                             upstream.value(), record.fence.value(), fence.value()));
    record.fence = fence;
}

void Ledger::markMayHoldUnrecordedTargets(const UpstreamId &upstream)
{
    this->recordFor(upstream).mayHoldUnrecordedTargets = true;
}

InventoryFindings Ledger::applyInventory(const UpstreamId &upstream, Fence fence,
                                         const std::vector<InventoryEntry> &inventory)
{
    InventoryFindings findings;
    UpstreamRecord &record = this->recordFor(upstream);
    if (fence < record.fence)
        return findings;
    if (this->enforcesFencing(upstream))
        std::erase_if(record.orders, [&](const auto &each) { return each.id.fence < fence; });
    std::vector<Placement> kept;
    for (const Placement &placement : record.placements) {
        if (hasOutstandingOrders(record, placement.target))
            kept.push_back(placement);
    }
    for (const InventoryEntry &entry : inventory) {
        const bool isKept = std::any_of(kept.begin(), kept.end(), [&](const Placement &each) {
            return each.target == entry.target;
        });
        if (isKept)
            continue;
        const Bytes held = sumOf(kept);
        const Bytes all = this->capacity(upstream);
        const Bytes remaining{held >= all ? 0 : all.count - held.count};
        kept.push_back(this->placementFor(entry, record, remaining, findings));
    }
    for (const Placement &placement : record.placements) {
        const bool isMissing = std::none_of(kept.begin(), kept.end(), [&](const Placement &each) {
            return each.target == placement.target;
        });
        findings.missingTargets += isMissing ? 1 : 0;
    }
    record.placements = std::move(kept);
    record.mayHoldUnrecordedTargets = false;
    return findings;
}

std::vector<UpstreamId> Ledger::voidOrders(const InstanceProcess &sender, Fence maxFence,
                                           const std::vector<std::uint64_t> &unresolvedOrders)
{
    std::vector<UpstreamId> changed;
    for (auto &[id, record] : this->recordsByUpstream) {
        const auto count = std::erase_if(record.orders, [&](const OutstandingOrder &each) {
            const bool isUnresolved
                    = std::find(unresolvedOrders.begin(), unresolvedOrders.end(), each.id.number)
                      != unresolvedOrders.end();
            return each.id.sender == sender && each.id.fence <= maxFence && !isUnresolved;
        });
        if (count > 0)
            changed.push_back(id);
    }
    return changed;
}

std::vector<UpstreamId> Ledger::voidOrdersOfTerminated(const InstanceProcess &process)
{
    std::vector<UpstreamId> changed;
    for (auto &[id, record] : this->recordsByUpstream) {
        const auto count = std::erase_if(record.orders, [&](const OutstandingOrder &each) {
            return each.id.sender.instance == process.instance
                   && each.id.sender.incarnation <= process.incarnation;
        });
        if (count > 0)
            changed.push_back(id);
    }
    return changed;
}

void Ledger::discardPlacements(const UpstreamId &upstream, const InstanceProcess &self,
                               const std::vector<OrderId> &inFlight)
{
    UpstreamRecord &record = this->recordFor(upstream);
    std::erase_if(record.orders, [&](const OutstandingOrder &each) {
        const bool isInFlight
                = std::find(inFlight.begin(), inFlight.end(), each.id) != inFlight.end();
        return each.id.sender == self && !isInFlight;
    });
    std::erase_if(record.placements, [&](const Placement &each) {
        return !hasOutstandingOrders(record, each.target);
    });
}

void Ledger::setDistrusted(const UpstreamId &upstream, bool isDistrusted)
{
    this->distrusted[upstream] = isDistrusted;
}

bool Ledger::isDistrusted(const UpstreamId &upstream) const
{
    const auto found = this->distrusted.find(upstream);
    return found != this->distrusted.end() && found->second;
}

UpstreamRecord &Ledger::recordFor(const UpstreamId &upstream)
{
    UpstreamRecord &record = this->recordsByUpstream[upstream];
    record.upstream = upstream;
    return record;
}

Bytes Ledger::capacity(const UpstreamId &upstream) const
{
    const auto found = this->poolView->upstreams.find(upstream);
    return found == this->poolView->upstreams.end() ? Bytes{} : found->second.memory;
}

bool Ledger::enforcesFencing(const UpstreamId &upstream) const
{
    const auto found = this->poolView->upstreams.find(upstream);
    return found != this->poolView->upstreams.end() && found->second.fencing == Fencing::Refuses;
}

bool Ledger::mayHoldUnrecordedReplica(const UpstreamRecord &record, const Target &target) const
{
    const auto spec = this->poolView->targets.find(target);
    return record.mayHoldUnrecordedTargets && spec != this->poolView->targets.end()
           && this->capacity(record.upstream) >= spec->second.memory;
}

bool Ledger::isBaseLoaded(const UpstreamId &upstream, const Target &target) const
{
    if (target.adapter.isEmpty())
        return true;
    const Placement *base = this->find(upstream, Target{target.model, {}});
    return base != nullptr && base->state == PlacementState::Loaded;
}

void Ledger::checkBounds(const UpstreamId &upstream, const Target &target) const
{
    const TargetSpec &spec = this->poolView->targets.at(target);
    BC_INVARIANT(this->replicas(target) <= spec.maxReplicas,
                 fmt::format("{} replicas of target {} are placed, {} are allowed",
                             this->replicas(target), displayName(target), spec.maxReplicas));
    BC_INVARIANT(this->usedMemory(upstream) <= this->capacity(upstream),
                 fmt::format("{} bytes are placed at upstream {}, which has {}",
                             this->usedMemory(upstream).count, upstream.value(),
                             this->capacity(upstream).count));
    BC_INVARIANT(this->isBaseLoaded(upstream, target),
                 fmt::format("adapter {} is placed at upstream {} without its base model",
                             displayName(target), upstream.value()));
}

void Ledger::addOrder(UpstreamRecord &record, OutstandingOrder order)
{
    BC_INVARIANT(
            order.id.fence >= record.fence,
            fmt::format("an order to upstream {} has fencing number {}, lower than the recorded {}",
                        record.upstream.value(), order.id.fence.value(), record.fence.value()));
    record.fence = order.id.fence;
    record.orders.push_back(std::move(order));
}

void Ledger::removePlacement(UpstreamRecord &record, const Target &target)
{
    BC_INVARIANT(
            !hasOutstandingOrders(record, target),
            fmt::format("memory of target {} at upstream {} is freed while an order is outstanding",
                        displayName(target), record.upstream.value()));
    std::erase_if(record.placements, [&](const Placement &each) { return each.target == target; });
}

Placement Ledger::placementFor(const InventoryEntry &entry, const UpstreamRecord &record,
                               Bytes remaining, InventoryFindings &findings) const
{
    const auto spec = this->poolView->targets.find(entry.target);
    const bool isKnown = spec != this->poolView->targets.end();
    const Placement *recorded = findPlacement(record, entry.target);
    findings.unknownTargets += isKnown ? 0 : 1;
    findings.unrecordedTargets += recorded == nullptr ? 1 : 0;
    Bytes memory = isKnown ? spec->second.memory : entry.memory;
    if (recorded != nullptr)
        memory = recorded->memory;
    if (memory > remaining) {
        findings.exceedsCapacity = true;
        memory = remaining;
    }
    return Placement{entry.target, memory, placementStateFrom(entry.state)};
}

} // namespace bamboochute::decision
