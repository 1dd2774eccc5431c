#include "admin/configuration_in_force.hpp"

#include "admin/configuration_join.hpp"
#include "core/invariant.hpp"
#include "core/log.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

/// Most bytes of new parts in an announcement.
constexpr std::size_t maxAnnouncedBytes = 16 << 10;

/// Number of recorded peer revisions above which those of peers that are not alive are dropped.
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
    this->recordPeerRevision(peer, message.root.revision);
    ConfigurationUpdate step = this->processRoot(message.root, message.parts);
    this->updateReadiness();
    return step;
}

ConfigurationUpdate ConfigurationInForce::onRootRead(const std::optional<ConfigurationRoot> &read)
{
    this->hasKeyValueAnswer = true;
    this->isKeyValueUnavailable = false;
    ConfigurationUpdate step = this->processRoot(read.value_or(ConfigurationRoot()), {});
    this->updateReadiness();
    return step;
}

void ConfigurationInForce::onPeerRevision(const InstanceId &peer, Revision revision)
{
    this->recordPeerRevision(peer, revision);
    this->updateReadiness();
}

void ConfigurationInForce::recordPeerRevision(const InstanceId &peer, Revision revision)
{
    Revision &reported = this->peerRevisions[peer];
    reported = std::max(reported, revision);
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
    this->updateReadiness();
}

ConfigurationUpdate ConfigurationInForce::onPartsResponse(const PartsResponse &message)
{
    if (!this->pendingRoot)
        return {};
    this->addParts(message.parts);
    ConfigurationUpdate step = this->applyIfComplete(false);
    this->updateReadiness();
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
    PartsResponse response;
    std::size_t bytes = 0;
    const std::size_t count = std::min(message.hashes.size(), maxPartsInMessage);
    for (std::size_t i = 0; i < count; ++i) {
        const std::string *text = this->findPart(message.hashes[i]);
        if (text == nullptr)
            continue;
        bytes += text->size();
        if (bytes > maxPartBytesInMessage)
            break;
        response.parts.push_back(*text);
    }
    return response;
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
    if (!this->applyError.empty())
        return {false, this->applyError};
    if (this->pendingRoot)
        return {false,
                fmt::format("configuration revision {} is known, but {} of its parts are "
                            "still missing",
                            this->pendingRoot->revision.value(), this->walk.missing().size())};
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
                fmt::format("{} and {} of {} other instances have reported their configuration; "
                            "more than half are needed",
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

ConfigurationUpdate ConfigurationInForce::processRoot(const ConfigurationRoot &candidate,
                                                      const std::vector<std::string> &texts)
{
    const ConfigurationRoot &newestKnown = this->pendingRoot ? *this->pendingRoot : this->root;
    if (candidate.revision < newestKnown.revision) {
        ++this->counterValues.olderRootsIgnored;
        return {};
    }
    if (candidate.revision == newestKnown.revision) {
        if (candidate.top != newestKnown.top) {
            ++this->counterValues.conflictingRootsIgnored;
            logEvent(LogLevel::Error, "ignored a different configuration root of a known revision",
                     {{"revision", std::to_string(candidate.revision.value())}});
            return {};
        }
        if (!this->pendingRoot)
            return {};
        this->addParts(texts);
        return this->applyIfComplete(false);
    }
    this->pendingRoot = candidate;
    this->applyError.clear();
    this->walk = TreeWalk(candidate.top, this->lookup());
    this->dropUnreferenced();
    this->addParts(texts);
    return this->applyIfComplete(true);
}

bool ConfigurationInForce::addParts(const std::vector<std::string> &texts)
{
    // A child may stand before its parent in the message and is missing only once the parent has
    // been added, so the remaining parts are tried again until none is accepted.
    std::vector<const std::string *> remaining;
    remaining.reserve(texts.size());
    for (const std::string &text : texts)
        remaining.push_back(&text);
    bool isProgress = true;
    while (isProgress) {
        const auto isAccepted = [this](const std::string *text) {
            const PartHash hash = hashPart(*text);
            if (!this->walk.add(*text, this->lookup()))
                return false;
            this->parts.emplace(hash, *text);
            ++this->counterValues.partsAccepted;
            this->counterValues.bytesAccepted += text->size();
            return true;
        };
        isProgress = std::erase_if(remaining, isAccepted) > 0;
    }
    this->counterValues.partsIgnored += remaining.size();
    return remaining.empty();
}

ConfigurationUpdate ConfigurationInForce::applyIfComplete(bool isNewRoot)
{
    ConfigurationUpdate step;
    step.isNewRoot = isNewRoot;
    if (!this->walk.isComplete()) {
        step.wanted = this->wanted();
        return step;
    }
    auto configuration = this->joinPendingRoot();
    if (!configuration) {
        this->applyError
                = fmt::format("configuration revision {} can't be read: {}",
                              this->pendingRoot->revision.value(), configuration.error().message());
        logEvent(LogLevel::Error,
                 "can't parse a recorded configuration; it does not come into force",
                 {{"error", this->applyError}});
        return step;
    }
    this->apply(std::move(configuration.value()));
    step.applied = this->current;
    return step;
}

Result<Configuration> ConfigurationInForce::joinPendingRoot() const
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
    BC_INVARIANT(this->pendingRoot->revision > this->root.revision,
                 "the revision of the configuration in force never falls");
    configuration.revision = this->pendingRoot->revision;
    this->root = *this->pendingRoot;
    this->pendingRoot.reset();
    this->current = std::make_shared<const Configuration>(std::move(configuration));
    this->newParts = partsOnlyIn(this->walk.reached(), this->partsInForce);
    this->partsInForce = this->walk.reached();
    this->dropUnreferenced();
    ++this->counterValues.applied;
}

void ConfigurationInForce::dropUnreferenced()
{
    std::erase_if(this->parts, [this](const auto &entry) {
        return !this->walk.reached().contains(entry.first)
               && !this->partsInForce.contains(entry.first);
    });
}

void ConfigurationInForce::updateReadiness()
{
    this->hasBeenReady = this->hasBeenReady || this->startReadiness().isReady;
}

PartLookup ConfigurationInForce::lookup() const
{
    return [this](const PartHash &hash) { return this->findPart(hash); };
}

} // namespace bamboochute::admin
