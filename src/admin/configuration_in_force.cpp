#include "admin/configuration_in_force.hpp"

#include "admin/configuration_join.hpp"
#include "core/invariant.hpp"
#include "core/log.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

/// Bytes of new parts that an announcement carries.
constexpr std::size_t maxAnnouncedBytes = 16 << 10;

/// Instances whose revisions are kept although they are not believed alive.
constexpr std::size_t maxPeerRevisions = 4096;

std::vector<PartHash> partsOnlyIn(const std::unordered_set<PartHash> &these,
                                  const std::unordered_set<PartHash> &others)
{
    std::vector<PartHash> only;
    std::copy_if(these.begin(), these.end(), std::back_inserter(only),
                 [&](const PartHash &hash) { return !others.contains(hash); });
    return only;
}

} // namespace

ConfigurationUpdate ConfigurationInForce::onRootAnnounced(const InstanceId &peer,
                                                          const RootAnnouncement &message)
{
    this->notePeer(peer, message.root.revision);
    ConfigurationUpdate step = this->consider(message.root, message.parts);
    this->noteReadiness();
    return step;
}

ConfigurationUpdate ConfigurationInForce::onRootRead(const std::optional<ConfigurationRoot> &read)
{
    this->hasKeyValueAnswer = true;
    this->isKeyValueUnavailable = false;
    ConfigurationUpdate step = this->consider(read.value_or(ConfigurationRoot()), {});
    this->noteReadiness();
    return step;
}

void ConfigurationInForce::onPeerRevision(const InstanceId &peer, Revision revision)
{
    this->notePeer(peer, revision);
    this->noteReadiness();
}

void ConfigurationInForce::notePeer(const InstanceId &peer, Revision revision)
{
    Revision &told = this->peerRevisions[peer];
    told = std::max(told, revision);
}

void ConfigurationInForce::onKeyValueUnavailable()
{
    this->isKeyValueUnavailable = true;
}

void ConfigurationInForce::onPeers(std::set<InstanceId> alive)
{
    this->peers = std::move(alive);
    if (this->peerRevisions.size() > maxPeerRevisions)
        std::erase_if(this->peerRevisions,
                      [this](const auto &each) { return !this->peers.contains(each.first); });
    this->noteReadiness();
}

ConfigurationUpdate ConfigurationInForce::onPartsResponse(const PartsResponse &message)
{
    if (!this->target)
        return {};
    this->addParts(message.parts);
    ConfigurationUpdate step = this->proceed(false);
    this->noteReadiness();
    return step;
}

PartsRequest ConfigurationInForce::wanted() const
{
    PartsRequest wanted;
    for (const PartHash &hash : this->walk.missing()) {
        if (wanted.hashes.size() == maxPartsInMessage)
            break;
        wanted.hashes.push_back(hash);
    }
    return wanted;
}

PartsResponse ConfigurationInForce::answer(const PartsRequest &message) const
{
    PartsResponse given;
    std::size_t bytes = 0;
    const std::size_t count = std::min(message.hashes.size(), maxPartsInMessage);
    for (std::size_t i = 0; i < count; ++i) {
        const std::string *text = this->findPart(message.hashes[i]);
        if (text == nullptr)
            continue;
        bytes += text->size();
        if (bytes > maxPartBytesInMessage)
            break;
        given.parts.push_back(*text);
    }
    return given;
}

RootAnnouncement ConfigurationInForce::announcement() const
{
    RootAnnouncement message{this->root, {}};
    std::size_t bytes = 0;
    for (const PartHash &hash : this->newParts) {
        const std::string *text = this->findPart(hash);
        bytes += text == nullptr ? 0 : text->size();
        if (bytes > maxAnnouncedBytes)
            return {this->root, {}};
        if (text != nullptr)
            message.parts.push_back(*text);
    }
    return message;
}

const std::string *ConfigurationInForce::findPart(const PartHash &hash) const
{
    const auto found = this->parts.find(hash);
    return found == this->parts.end() ? nullptr : &found->second;
}

Readiness ConfigurationInForce::readiness() const
{
    if (this->hasBeenReady)
        return {true,
                fmt::format("configuration revision {} is in force", this->root.revision.value())};
    return this->startReadiness();
}

Readiness ConfigurationInForce::startReadiness() const
{
    if (!this->problem.empty())
        return {false, this->problem};
    if (this->target)
        return {false, fmt::format("configuration revision {} is known, but {} of its parts are "
                                   "still missing",
                                   this->target->revision.value(), this->walk.missing().size())};
    if (this->hasKeyValueAnswer) {
        if (this->root.revision == Revision())
            return {false, "no configuration has been submitted yet"};
        return {true, "configuration is the newest that the key-value service held"};
    }
    return this->readinessByPeers();
}

Readiness ConfigurationInForce::readinessByPeers() const
{
    const char *service = this->isKeyValueUnavailable
                                  ? "the key-value service does not answer"
                                  : "the key-value service has not answered yet";
    if (this->peers.empty())
        return {false, fmt::format("{} and no other instance is known", service)};
    std::size_t answered = 0;
    for (const auto &[peer, revision] : this->peerRevisions) {
        if (!this->peers.contains(peer))
            continue;
        if (revision > this->root.revision)
            return {false,
                    fmt::format("instance \"{}\" has configuration revision {}; here it is {}",
                                peer.value(), revision.value(), this->root.revision.value())};
        ++answered;
    }
    if (2 * answered <= this->peers.size())
        return {false,
                fmt::format("{} and {} of {} other instances have told their configuration; more "
                            "than half are needed",
                            service, answered, this->peers.size())};
    if (this->root.revision == Revision())
        return {false, fmt::format("{} and the other instances know no configuration", service)};
    return {true, "configuration is the newest that more than half of the other instances know"};
}

std::size_t ConfigurationInForce::partBytes() const noexcept
{
    std::size_t bytes = 0;
    for (const auto &[hash, text] : this->parts)
        bytes += hash.value().size() + text.size();
    return bytes;
}

ConfigurationUpdate ConfigurationInForce::consider(const ConfigurationRoot &candidate,
                                                   const std::vector<std::string> &texts)
{
    const ConfigurationRoot &newestKnown = this->target ? *this->target : this->root;
    if (candidate.revision < newestKnown.revision) {
        ++this->counted.olderRootsIgnored;
        return {};
    }
    if (candidate.revision == newestKnown.revision) {
        if (candidate.top != newestKnown.top) {
            ++this->counted.conflictingRootsIgnored;
            logEvent(LogLevel::Error, "two roots of one revision differ",
                     {{"revision", std::to_string(candidate.revision.value())}});
            return {};
        }
        if (!this->target)
            return {};
        this->addParts(texts);
        return this->proceed(false);
    }
    this->target = candidate;
    this->problem.clear();
    this->walk = TreeWalk(candidate.top, this->lookup());
    this->dropUnreferenced();
    this->addParts(texts);
    return this->proceed(true);
}

bool ConfigurationInForce::addParts(const std::vector<std::string> &texts)
{
    // A part may become wanted only by a later one of the same message.
    std::vector<const std::string *> left;
    left.reserve(texts.size());
    for (const std::string &text : texts)
        left.push_back(&text);
    bool isProgress = true;
    while (isProgress) {
        const auto isTaken = [this](const std::string *text) {
            const PartHash hash = hashOf(*text);
            if (!this->walk.add(*text, this->lookup()))
                return false;
            this->parts.emplace(hash, *text);
            ++this->counted.partsTaken;
            this->counted.bytesTaken += text->size();
            return true;
        };
        isProgress = std::erase_if(left, isTaken) > 0;
    }
    this->counted.partsIgnored += left.size();
    return left.empty();
}

ConfigurationUpdate ConfigurationInForce::proceed(bool isNewRoot)
{
    ConfigurationUpdate step;
    step.isNewRoot = isNewRoot;
    if (!this->walk.isComplete()) {
        step.wanted = this->wanted();
        return step;
    }
    auto configuration = this->joinTarget();
    if (!configuration) {
        this->problem
                = fmt::format("configuration revision {} can't be read: {}",
                              this->target->revision.value(), configuration.error().message());
        logEvent(LogLevel::Error, "a recorded configuration can't be read",
                 {{"error", this->problem}});
        return step;
    }
    this->apply(std::move(configuration.value()));
    step.applied = this->current;
    return step;
}

Result<Configuration> ConfigurationInForce::joinTarget() const
{
    const std::vector<PartHash> added = partsOnlyIn(this->walk.reached(), this->partsInForce);
    const bool isSmallChange
            = this->current != nullptr && 2 * added.size() < this->walk.reached().size();
    if (!isSmallChange)
        return joinParts(this->walk.reached(), this->lookup());
    return joinChanges(*this->current, partsOnlyIn(this->partsInForce, this->walk.reached()), added,
                       this->lookup());
}

void ConfigurationInForce::apply(Configuration configuration)
{
    BC_INVARIANT(this->target->revision > this->root.revision,
                 "the revision of the configuration in force never falls");
    configuration.revision = this->target->revision;
    this->root = *this->target;
    this->target.reset();
    this->current = std::make_shared<const Configuration>(std::move(configuration));
    this->newParts = partsOnlyIn(this->walk.reached(), this->partsInForce);
    this->partsInForce = this->walk.reached();
    this->dropUnreferenced();
    ++this->counted.applied;
}

void ConfigurationInForce::dropUnreferenced()
{
    std::erase_if(this->parts, [this](const auto &entry) {
        return !this->walk.reached().contains(entry.first)
               && !this->partsInForce.contains(entry.first);
    });
}

void ConfigurationInForce::noteReadiness()
{
    this->hasBeenReady = this->hasBeenReady || this->startReadiness().isReady;
}

PartLookup ConfigurationInForce::lookup() const
{
    return [this](const PartHash &hash) { return this->findPart(hash); };
}

} // namespace bamboochute::admin
