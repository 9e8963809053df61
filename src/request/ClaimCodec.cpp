#include "request/ClaimCodec.h"

namespace yuccahook::request {

namespace {

std::string text(capnp::Text::Reader reader) { return { reader.begin(), reader.size() }; }

void writeAnswer(const RecordedAnswer& answer, schema::RecordedAnswer::Builder out)
{
    out.setStatus(answer.status);
    out.setStatusText(answer.statusText);
    out.setBody({ reinterpret_cast<const capnp::byte*>(answer.body.data()), answer.body.size() });
    auto headers = out.initHeaders(answer.headers.size());
    for (std::size_t index = 0; index < answer.headers.size(); ++index) {
        headers[index].setName(answer.headers[index].first);
        headers[index].setValue(answer.headers[index].second);
    }
}

AnswerPointer readAnswer(schema::RecordedAnswer::Reader in)
{
    auto answer = std::make_shared<RecordedAnswer>();
    answer->status = in.getStatus();
    answer->statusText = text(in.getStatusText());
    const auto body = in.getBody();
    answer->body.assign(reinterpret_cast<const char*>(body.begin()), body.size());
    for (const auto header : in.getHeaders())
        answer->headers.emplace_back(text(header.getName()), text(header.getValue()));
    return answer;
}

void writeClaim(const Claim& claim, Time age, schema::Claim::Builder out)
{
    out.setKey(claim.key);
    out.setDigestLow(claim.digest[0]);
    out.setDigestHigh(claim.digest[1]);
    out.setRunner(claim.runner);
    out.setAttempt(claim.attempt);
    out.setGeneration(claim.generation);
    out.setState(static_cast<std::uint8_t>(claim.state));
    out.setAgeNanos(age.count());
    if (claim.answer)
        writeAnswer(*claim.answer, out.initAnswer());
}

Claim readClaim(schema::Claim::Reader in)
{
    Claim claim;
    claim.key = text(in.getKey());
    claim.digest = { in.getDigestLow(), in.getDigestHigh() };
    claim.runner = in.getRunner();
    claim.attempt = in.getAttempt();
    claim.generation = in.getGeneration();
    claim.state = static_cast<ClaimState>(in.getState());
    if (in.hasAnswer())
        claim.answer = readAnswer(in.getAnswer());
    return claim;
}

} // namespace

void writeClaimMessage(const ClaimMessage& message, schema::ClaimMessage::Builder out)
{
    out.setKind(static_cast<std::uint8_t>(message.kind));
    out.setFrom(message.from);
    out.setView(message.view);
    out.setRevision(message.revision);
    writeClaim(message.claim, message.age, out.initClaim());
    out.setReason(static_cast<std::uint8_t>(message.reason));
    out.setRepair(message.repair);
    auto holders = out.initHolders(message.holders.size());
    for (std::size_t index = 0; index < message.holders.size(); ++index)
        holders.set(index, message.holders[index]);
    out.setCursor(message.cursor);
    out.setMore(message.more);
    auto claims = out.initClaims(message.claims.size());
    for (std::size_t index = 0; index < message.claims.size(); ++index)
        writeClaim(message.claims[index].first, message.claims[index].second, claims[index]);
}

ClaimMessage readClaimMessage(schema::ClaimMessage::Reader in)
{
    ClaimMessage message;
    message.kind = static_cast<ClaimMessageKind>(in.getKind());
    message.from = in.getFrom();
    message.view = in.getView();
    message.revision = in.getRevision();
    message.claim = readClaim(in.getClaim());
    message.age = Time(in.getClaim().getAgeNanos());
    message.reason = static_cast<RequestReason>(in.getReason());
    message.repair = in.getRepair();
    for (const auto holder : in.getHolders())
        message.holders.push_back(holder);
    message.cursor = text(in.getCursor());
    message.more = in.getMore();
    for (const auto claim : in.getClaims())
        message.claims.emplace_back(readClaim(claim), Time(claim.getAgeNanos()));
    return message;
}

} // namespace yuccahook::request
