#include "pomeloport/protocol/callermessages.h"

#include "jsonfields.h"

#include "pomeloport/protocol/enginemessages.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>

namespace pomeloport
{

namespace
{

using detail::digestText;
using detail::JsonReader;

constexpr std::uint64_t BytesPerToken = 4;
constexpr std::uint64_t BlockBytes = PrefixBlockTokens * BytesPerToken;
constexpr unsigned char FirstPrintable = 0x20;

constexpr std::array<std::string_view, 11> KnownFields{"kind",
                                                       "model",
                                                       "labels",
                                                       "prompt",
                                                       "prompt_tokens",
                                                       "max_tokens",
                                                       "deadline_ms",
                                                       "stream",
                                                       "non_idempotent",
                                                       "idempotency_key",
                                                       "issued_at_ms"};

std::vector<std::uint64_t> chainedBlocks(std::string_view bytes)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t previous = 0;
    for (; bytes.size() >= BlockBytes; bytes.remove_prefix(BlockBytes)) {
        previous = XXH64(bytes.data(), BlockBytes, previous);
        blocks.push_back(previous);
    }
    return blocks;
}

void setDigests(CallerRequest &request, std::string_view bytes)
{
    request.promptTokens = (bytes.size() + BytesPerToken - 1) / BytesPerToken;
    request.promptDigest = XXH64(bytes.data(), bytes.size(), 0);
    request.prefixBlocks = chainedBlocks(bytes);
}

/// Writes token numbers as 32-bit little-endian words; nothing when one is no such number.
std::optional<std::string> tokenBytes(const boost::json::array &tokens)
{
    std::string bytes;
    bytes.reserve(tokens.size() * BytesPerToken);
    for (const auto &token : tokens) {
        boost::system::error_code error;
        const auto number = token.is_number() ? token.to_number<std::uint32_t>(error) : 0;
        if (error || !token.is_number()) {
            return std::nullopt;
        }
        for (unsigned shift = 0; shift < std::numeric_limits<std::uint32_t>::digits; shift += 8) {
            bytes += static_cast<char>(number >> shift & 0xFFU);
        }
    }
    return bytes;
}

void readTokens(JsonReader &reader, const boost::json::value &tokens, CallerRequest &request)
{
    if (!tokens.is_array()) {
        reader.fail("prompt_tokens must be an array");
        return;
    }
    const auto bytes = tokenBytes(tokens.get_array());
    if (!bytes) {
        reader.fail("prompt_tokens must hold numbers below 2^32");
        return;
    }
    setDigests(request, *bytes);
    request.prompt = serialize(tokens);
}

void readPrompt(JsonReader &reader, CallerRequest &request)
{
    const auto *tokens = reader.find("prompt_tokens");
    if (tokens && reader.find("prompt")) {
        reader.fail("prompt and prompt_tokens exclude each other");
        return;
    }
    if (tokens) {
        readTokens(reader, *tokens, request);
        return;
    }
    request.prompt = reader.text("prompt", true);
    setDigests(request, request.prompt);
}

Labels readLabels(JsonReader &reader)
{
    Labels labels;
    const auto *value = reader.find("labels");
    if (!value) {
        return labels;
    }
    if (!value->is_object()) {
        reader.fail("labels must be an object");
        return labels;
    }
    for (const auto &[name, text] : value->get_object()) {
        if (!text.is_string()) {
            reader.fail("labels must hold strings");
            return {};
        }
        labels.emplace(std::string(name), std::string(text.get_string()));
    }
    return labels;
}

std::optional<std::int64_t> readDeadline(JsonReader &reader)
{
    const auto *value = reader.find("deadline_ms");
    if (!value) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto number = value->is_number() ? value->to_number<std::int64_t>(error) : 0;
    if (error || !value->is_number()) {
        reader.fail("deadline_ms must be a whole number");
    }
    return number;
}

void refuseUnknownFields(JsonReader &reader, const boost::json::object &fields)
{
    for (const auto &field : fields) {
        const std::string_view key(field.key().data(), field.key().size());
        if (std::ranges::find(KnownFields, key) == KnownFields.end()) {
            reader.fail("unknown field " + std::string(key.substr(0, 40)));
        }
    }
}

bool isPlain(unsigned char letter)
{
    return letter >= FirstPrintable && letter != '"' && letter != '\\';
}

void appendEscaped(std::string &out, char letter)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    if (letter == '"' || letter == '\\') {
        out += '\\';
        out += letter;
        return;
    }
    if (letter == '\n') {
        out += "\\n";
        return;
    }
    out += "\\u00";
    out += Digits[static_cast<unsigned char>(letter) >> 4U];
    out += Digits[static_cast<unsigned char>(letter) & 0xFU];
}

} // namespace

std::optional<CallerRequest> decodeCallerRequest(std::string_view json)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(json, error);
    if (error || !document.is_object()) {
        setLastReason("the body is not a JSON object");
        return std::nullopt;
    }
    JsonReader reader(document);
    CallerRequest request;
    refuseUnknownFields(reader, document.get_object());
    request.kind = reader.text("kind", true);
    request.model = reader.text("model");
    request.labels = readLabels(reader);
    readPrompt(reader, request);
    if (reader.find("max_tokens")) {
        request.maxTokens = reader.number("max_tokens");
    }
    request.deadlineMs = readDeadline(reader);
    request.stream = reader.boolean("stream");
    request.nonIdempotent = reader.boolean("non_idempotent");
    request.idempotencyKey = reader.text("idempotency_key");
    request.issuedAtMs = reader.number("issued_at_ms");
    if (!reader.ok()) {
        return std::nullopt;
    }
    return request;
}

std::string encodeFailure(const Failure &failure, std::string_view request)
{
    boost::json::object body{
        {"verdict", nameOf(failure.verdict)}, {"reason", nameOf(failure.reason)}, {"detail", failure.detail}};
    if (failure.retryAfter) {
        body["retry_after_ms"] = failure.retryAfter->count();
    }
    if (!request.empty()) {
        body["request"] = request;
    }
    return serialize(body);
}

unsigned statusOf(ReasonCode reason)
{
    switch (reason) {
    case ReasonCode::BadRequest:
    case ReasonCode::MissingKey:
    case ReasonCode::DeadlinePassed:
        return 400;
    case ReasonCode::Unauthorised:
        return 401;
    case ReasonCode::UnknownOrganisation:
        return 403;
    case ReasonCode::NoMatchingIntent:
        return 404;
    case ReasonCode::KeyReused:
    case ReasonCode::KeyExpired:
    case ReasonCode::ActionInProgress:
    case ReasonCode::ActionUncertain:
    case ReasonCode::Cancelled:
        return 409;
    case ReasonCode::PromptTooLarge:
        return 413;
    case ReasonCode::ShareExceeded:
        return 429;
    case ReasonCode::BackendFailed:
    case ReasonCode::StreamBroken:
        return 502;
    case ReasonCode::NoBackend:
    case ReasonCode::DeadlineUnreachable:
    case ReasonCode::Overloaded:
    case ReasonCode::StoreUnavailable:
    case ReasonCode::BackendRefused:
    case ReasonCode::NotAdmitting:
    case ReasonCode::Stopping:
    case ReasonCode::GroupUnavailable:
    case ReasonCode::PromptQuarantined:
    case ReasonCode::Region:
        return 503;
    case ReasonCode::Internal:
        break;
    }
    return 500;
}

void appendJsonText(std::string &out, std::string_view text)
{
    out += '"';
    while (!text.empty()) {
        const auto plain = std::ranges::find_if_not(text, isPlain);
        const auto length = static_cast<std::size_t>(plain - text.begin());
        out += text.substr(0, length);
        text.remove_prefix(length);
        if (!text.empty()) {
            appendEscaped(out, text.front());
            text.remove_prefix(1);
        }
    }
    out += '"';
}

void appendChunkEvent(std::string &out, std::uint64_t index, std::string_view text)
{
    const auto number = std::to_string(index);
    out += "id: ";
    out += number;
    out += "\ndata: {\"index\":";
    out += number;
    out += ",\"text\":";
    appendJsonText(out, text);
    out += "}\n\n";
}

std::string endEvent(std::uint64_t count, std::uint64_t digest)
{
    return "event: end\ndata: {\"count\":" + std::to_string(count) + ",\"digest\":\"" + digestText(digest) + "\"}\n\n";
}

std::string failureEvent(const Failure &failure, std::string_view request)
{
    return "event: failure\ndata: " + encodeFailure(failure, request) + "\n\n";
}

std::string encodeAnswer(std::string_view request, std::uint64_t chunks, std::uint64_t digest, std::string_view text)
{
    std::string body = "{\"request\":";
    appendJsonText(body, request);
    body += R"(,"verdict":"ran","chunks":)" + std::to_string(chunks) + R"(,"digest":")" + digestText(digest);
    body += R"(","text":)";
    appendJsonText(body, text);
    return body + "}";
}

} // namespace pomeloport
