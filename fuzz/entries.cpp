// Fuzzes the decoders of what others write: the first byte chooses the decoder, the rest is its
// input. What was read is written and read again where this build writes it too.
#include "call_headers.hpp"
#include "decoding.hpp"
#include "forwarding/forwarded_request.hpp"
#include "owner_store.hpp"
#include "quarantine_store.hpp"
#include "residency/peer_messages.hpp"
#include "settings_file.hpp"

#include "core/invariant.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

using namespace bamboochute;
using namespace bamboochute::adapter;

namespace {

void readPeerMessage(std::string_view bytes)
{
    const auto message = residency::decodePeerMessage(bytes);
    if (!message)
        return;
    const auto reread = residency::decodePeerMessage(residency::encodePeerMessage(message.value()));
    BC_INVARIANT(reread, "a message that was read can be written and read again");
}

void readForwardedRequest(std::string_view bytes)
{
    const auto request = forwarding::decodeForwardedRequest(bytes);
    if (!request)
        return;
    const auto reread = forwarding::decodeForwardedRequest(
            forwarding::encodeForwardedRequest(request.value()));
    BC_INVARIANT(reread, "a header that was read can be written and read again");
}

void readQuarantine(std::string_view bytes)
{
    const auto entries = decodeQuarantine(bytes);
    if (entries)
        BC_INVARIANT(decodeQuarantine(encodeQuarantine(entries.value())),
                     "a quarantine that was read can be written and read again");
}

void readHeaders(std::string_view bytes)
{
    static const gateway::CallCodec codec = makeCallCodec();
    const std::string value(bytes);
    upstream::HeaderList headers;
    for (const char *name :
         {"X-Attempt-Id", "X-Deadline-Ms", "X-Model", "X-Token-Usage", "X-Prompt-Prefix",
          "Server-Limit", "Server-Brittle", "Server-Leaving", "Retry-After", "X-Instance-Id"})
        headers.add(name, value);
    codec.readRequest(headers);
    codec.readAnswer(503, headers);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    switch (data[0] % 8) {
    case 0:
        static_cast<void>(decodeRegistration("w1", bytes));
        break;
    case 1:
        static_cast<void>(decodeEngineReport(bytes));
        break;
    case 2:
        static_cast<void>(decodeConfiguration(bytes));
        break;
    case 3:
        static_cast<void>(decodeOwnerRecord(bytes));
        break;
    case 4:
        readQuarantine(bytes);
        break;
    case 5:
        readPeerMessage(bytes);
        break;
    case 6:
        readForwardedRequest(bytes);
        break;
    default:
        readHeaders(bytes);
        static_cast<void>(parseSettings(bytes));
    }
    return 0;
}
