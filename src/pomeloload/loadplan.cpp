#include "loadplan.h"

#include "pomelofake/answer.h"
#include "pomelofake/program.h"

#include <algorithm>

namespace pomeloload
{

namespace
{

/// Longest prompt of a trace, in tokens.
std::uint64_t longestPrompt(const std::vector<pomelofake::TraceEntry> &trace)
{
    const auto longest = std::ranges::max_element(trace, {}, &pomelofake::TraceEntry::promptTokens);
    return longest == trace.end() ? 1 : longest->promptTokens;
}

bool namesOrAll(const std::vector<std::string> &names, const std::string &name)
{
    return names.empty() || std::ranges::find(names, name) != names.end();
}

const pomeloport::Intent *intentFor(const pomeloport::Declarations &declarations,
                                    const std::string &organisation,
                                    const std::string &kind)
{
    const auto found = std::ranges::find_if(declarations.intents, [&](const pomeloport::Intent &intent) {
        return namesOrAll(intent.organisations, organisation) && namesOrAll(intent.kinds, kind)
            && intent.work.matchLabels.empty();
    });
    return found == declarations.intents.end() ? nullptr : &*found;
}

pomelofake::TraceSettings withOrganisations(pomelofake::TraceSettings settings, std::size_t organisations)
{
    settings.organisations = organisations;
    return settings;
}

} // namespace

LoadPlan::LoadPlan(const LoadOptions &options, std::vector<pomeloport::Declarations> declarations)
    : m_declarations(std::move(declarations))
    , m_classes(pomelofake::traceClasses(options.trace))
    , m_trace(makeTrace(withOrganisations(options.trace, m_declarations.at(0).organisations.size())))
    , m_text(longestPrompt(m_trace))
    , m_runName("load-" + std::to_string(pomelofake::wallMilliseconds()) + '-')
{
}

const std::vector<pomelofake::TraceClass> &LoadPlan::classes() const
{
    return m_classes;
}

const std::vector<pomelofake::TraceEntry> &LoadPlan::trace() const
{
    return m_trace;
}

PlannedRequest LoadPlan::plan(const pomelofake::TraceEntry &entry, std::uint64_t nowMs) const
{
    const auto &organisation = m_declarations.at(0).organisations.at(entry.organisation);
    PlannedRequest request{entry, organisation.token, {}, {}, nowMs, {}};
    const auto family = entry.organisation * m_classes.size() + entry.classIndex;
    request.prompt = m_text.make(entry.promptTokens, family, entry.number);
    if (m_classes[entry.classIndex].action) {
        request.key = m_runName + std::to_string(entry.number);
    }
    request.check = checkOf(request, organisation.name);
    return request;
}

std::string LoadPlan::bodyOf(const PlannedRequest &request, std::chrono::milliseconds timeLeft) const
{
    const auto &traceClass = m_classes[request.entry.classIndex];
    std::string body = R"({"kind":")" + traceClass.kind + R"(","max_tokens":)"
        + std::to_string(request.entry.answerTokens) + R"(,"deadline_ms":)" + std::to_string(timeLeft.count())
        + R"(,"stream":)" + (traceClass.stream ? "true" : "false");
    if (traceClass.action) {
        body += R"(,"non_idempotent":true,"idempotency_key":")" + request.key + R"(","issued_at_ms":)"
            + std::to_string(request.issuedAtMs);
    }
    body += R"(,"prompt":")";
    body.reserve(body.size() + request.prompt.size() + 2);
    body += request.prompt;
    return body + "\"}";
}

pomelofake::AnswerCheck LoadPlan::checkOf(const PlannedRequest &request, const std::string &organisation) const
{
    const auto digest = pomelofake::digestOf(request.prompt);
    const auto &kind = m_classes[request.entry.classIndex].kind;
    std::vector<std::uint64_t> seeds;
    for (const auto &declarations : m_declarations) {
        const auto *intent = intentFor(declarations, organisation, kind);
        if (intent && intent->model.empty()) {
            return pomelofake::AnswerCheck::ofService(pomelofake::serviceResult(request.key, request.prompt));
        }
        if (intent) {
            seeds.push_back(pomelofake::answerSeed({digest, intent->model, intent->adapter, intent->version}));
        }
    }
    return pomelofake::AnswerCheck::ofEngine(std::move(seeds), request.entry.answerTokens);
}

} // namespace pomeloload
