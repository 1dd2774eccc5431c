#include "fakes/engine_state.hpp"

#include <algorithm>

namespace bamboochute::fakes {

namespace {

using upstream::Order;
using upstream::OrderDone;
using upstream::OrderKind;
using upstream::OrderOutcome;
using upstream::OrderRefused;
using upstream::OrderStale;
using upstream::PlacementState;

constexpr std::size_t maxReportHistory = 4096;

} // namespace

EngineState::EngineState(EngineSettings settings)
    : engineSettings(std::move(settings))
{}

std::optional<OrderOutcome> EngineState::beginOrder(const Order &order)
{
    const bool isStale = order.fence < this->fence;
    if (isStale && this->engineSettings.fencing == Fencing::Refuses) {
        ++this->stats.staleOrders;
        return OrderStale{this->fence};
    }
    this->fence = std::max(this->fence, order.fence);
    switch (order.kind) {
    case OrderKind::RaiseFence:
        return this->makeDone();
    case OrderKind::ChangeRole:
        this->role = order.role;
        return this->makeDone();
    case OrderKind::LoadModel:
    case OrderKind::LoadAdapter:
        return this->beginLoad(order);
    case OrderKind::Unload:
        break;
    }
    const auto found = this->placements.find(order.target);
    if (found == this->placements.end())
        return OrderOutcome(OrderDone());
    found->second.state = PlacementState::Unloading;
    return std::nullopt;
}

std::optional<OrderOutcome> EngineState::beginLoad(const Order &order)
{
    if (this->placements.contains(order.target)) {
        ++this->stats.duplicateLoads;
        return OrderOutcome(OrderDone());
    }
    const Target base{order.target.model, AdapterId()};
    const auto found = this->placements.find(base);
    const bool isBaseLoaded
            = found != this->placements.end() && found->second.state == PlacementState::Loaded;
    if (order.kind == OrderKind::LoadAdapter && !isBaseLoaded)
        return OrderOutcome(OrderRefused{"base model is not loaded"});
    if (this->usedMemory().count + order.memory.count > this->engineSettings.memory.count) {
        ++this->stats.overcommitted;
        return OrderOutcome(OrderRefused{"out of memory"});
    }
    this->placements[order.target] = {order.memory, PlacementState::Loading};
    return std::nullopt;
}

bool EngineState::isAlreadyLoading(const Order &order) const
{
    const bool isLoad = order.kind == OrderKind::LoadModel || order.kind == OrderKind::LoadAdapter;
    const bool isStale
            = order.fence < this->fence && this->engineSettings.fencing == Fencing::Refuses;
    const auto found = this->placements.find(order.target);
    return isLoad && !isStale && found != this->placements.end()
           && found->second.state == upstream::PlacementState::Loading;
}

OrderOutcome EngineState::finishOrder(const Order &order)
{
    if (order.kind == OrderKind::Unload) {
        ++this->stats.unloads;
        this->placements.erase(order.target);
        const auto isOnUnloadedModel = [&order](const auto &entry) {
            return order.target.adapter.isEmpty() && entry.first.model == order.target.model;
        };
        std::erase_if(this->placements, isOnUnloadedModel);
        return OrderDone();
    }
    const auto found = this->placements.find(order.target);
    if (found == this->placements.end())
        return OrderRefused{"unloaded meanwhile"};
    found->second.state = PlacementState::Loaded;
    ++this->stats.loads;
    return OrderDone();
}

OrderOutcome EngineState::makeDone() const
{
    return OrderDone{this->inventory()};
}

Bytes EngineState::usedMemory() const
{
    Bytes total;
    for (const auto &[target, placement] : this->placements)
        total = total + placement.memory;
    return total;
}

std::vector<upstream::PlacementReport> EngineState::inventory() const
{
    std::vector<upstream::PlacementReport> all;
    all.reserve(this->placements.size());
    for (const auto &[target, placement] : this->placements)
        all.push_back({target, placement.memory, placement.state});
    return all;
}

upstream::EngineReport EngineState::currentReport() const
{
    upstream::EngineReport report;
    const std::uint32_t limit = this->engineSettings.maxConcurrent;
    report.running = std::min(this->running, limit);
    report.waiting = this->running - report.running;
    report.memoryTotal = this->engineSettings.memory;
    report.memoryUsed = this->usedMemory();
    report.role = this->role;
    report.fence = this->fence;
    report.placements = this->inventory();
    return report;
}

upstream::EngineReport EngineState::report(TimePoint now)
{
    this->reportHistory.push_back({now, this->currentReport()});
    while (this->reportHistory.size() > 1
           && this->reportHistory[1].time + this->engineSettings.reportLag <= now)
        this->reportHistory.pop_front();
    if (this->reportHistory.size() > maxReportHistory)
        this->reportHistory.pop_front();
    return this->reportHistory.front().report;
}

bool EngineState::serves(const std::string &model) const
{
    return std::any_of(this->placements.begin(), this->placements.end(),
                       [&model](const auto &entry) {
                           const auto &[target, placement] = entry;
                           if (placement.state != PlacementState::Loaded)
                               return false;
                           const std::string &adapter = target.adapter.value();
                           if (adapter.empty())
                               return target.model.value() == model;
                           return adapter == model || target.model.value() + ":" + adapter == model;
                       });
}

void EngineState::preload(const Target &target, Bytes memory)
{
    this->placements[target] = {memory, PlacementState::Loaded};
}

} // namespace bamboochute::fakes
