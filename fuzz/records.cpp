// Fuzzes the decoders of bamboochuted: records in the store, messages between instances, engines'
// reports, and answers to orders and of the key-value service. The first byte chooses the decoder,
// the rest is its input. What was read is written and read again where this build writes it too.
#include "decision/records.hpp"
#include "admission/operation_record.hpp"
#include "call_headers.hpp"
#include "node/load_summary.hpp"
#include "node/placement_stream.hpp"
#include "peer/call_messages.hpp"
#include "peer/datagram_fields.hpp"
#include "platform/etcd_codec.hpp"
#include "platform/instance_list.hpp"
#include "upstream/araucaria.hpp"
#include "upstream/bromelia.hpp"
#include "upstream/cinchona.hpp"

#include "core/invariant.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

using namespace bamboochute;

namespace {

void readLedger(std::string_view bytes)
{
    if (const auto record = decision::parseUpstreamRecord(bytes))
        BC_INVARIANT(decision::parseUpstreamRecord(decision::encode(record.value())),
                     "a record that was read can be written and read again");
    if (const auto owner = decision::parseOwnerRecord(bytes))
        BC_INVARIANT(decision::parseOwnerRecord(decision::encode(owner.value())),
                     "a record that was read can be written and read again");
}

void readOperation(std::string_view bytes)
{
    if (const auto record = admission::decodeOperationRecord(bytes))
        BC_INVARIANT(admission::decodeOperationRecord(admission::encode(record.value())),
                     "a record that was read can be written and read again");
}

template<typename Message>
void readCall(std::string_view bytes)
{
    if (const auto message = peer::decodeMessage<Message>(bytes)) {
        const auto reread = peer::decodeMessage<Message>(peer::encodeMessage(message.value()));
        BC_INVARIANT(reread && reread.value() == message.value(),
                     "a message that was read is the same when it is written and read again");
    }
}

template<typename Dialect>
void readEngine(std::string_view bytes)
{
    if (const auto report = Dialect::parseReport(bytes))
        static_cast<void>(upstream::checkReport(report.value(), {}));
    upstream::Order order;
    order.kind = upstream::OrderKind::RaiseFence;
    for (const int status : {200, 409, 412})
        static_cast<void>(Dialect::parseOrderAnswer(order, status, bytes));
}

void readKeyValue(std::string_view bytes)
{
    const platform::Transaction transaction{{}, {platform::Get{"a", true}}, {}};
    if (const auto response = platform::parseTransactionResponse(bytes, transaction))
        BC_INVARIANT(response.value().found.size() == (response.value().succeeded ? 1 : 0),
                     "a response has one entry for each operation");
    if (const auto parsed = platform::parseTransaction(bytes))
        BC_INVARIANT(platform::parseTransaction(platform::printTransaction(parsed.value())),
                     "a transaction that was read can be written and read again");
    static_cast<void>(platform::parseLeaseGrantRequest(bytes));
    static_cast<void>(platform::parseLeaseGrantResponse(bytes));
    static_cast<void>(platform::parseInstanceList(bytes));
}

/// A line of the input is the value of all headers that hold a number.
void readHeaders(std::string_view bytes)
{
    static const gateway::CallCodec codec = adapter::makeCallCodec();
    const std::string value(bytes.substr(0, bytes.find('\n')));
    upstream::HeaderList headers;
    for (const char *name : {"X-Deadline-Ms", "X-Token-Usage", "X-Prompt-Prefix", "Server-Limit",
                             "Server-Brittle", "Retry-After", "Last-Event-Id", "Kv-From"})
        headers.add(name, value);
    codec.readRequest(headers);
    for (const int status : {200, 429, 503})
        codec.readAnswer(status, headers);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    switch (data[0] % 9) {
    case 0:
        readLedger(bytes);
        break;
    case 1:
        readOperation(bytes);
        break;
    case 2:
        readCall<peer::DemandReport>(bytes);
        readCall<peer::UsageReport>(bytes);
        readCall<peer::OwnershipGivenUpReport>(bytes);
        readCall<peer::ConfigurationPartsRequest>(bytes);
        static_cast<void>(peer::decodeResult<peer::DemandAnswer>(bytes));
        static_cast<void>(peer::decodeResult<peer::ConfigurationPartsAnswer>(bytes));
        break;
    case 3:
        static_cast<void>(node::parseLoads(bytes));
        static_cast<void>(node::parseOwnerAnnouncement(bytes));
        static_cast<void>(peer::readFields(bytes));
        break;
    case 4:
        readEngine<upstream::Araucaria>(bytes);
        break;
    case 5:
        readEngine<upstream::Bromelia>(bytes);
        break;
    case 6:
        readEngine<upstream::Cinchona>(bytes);
        break;
    case 7:
        readKeyValue(bytes);
        break;
    default:
        readHeaders(bytes);
    }
    return 0;
}
