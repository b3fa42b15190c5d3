#pragma once

#include "pomelofake/answercheck.h"
#include "pomelofake/prompttext.h"
#include "pomelofake/trace.h"
#include "pomeloport/state/declarations.h"

#include <string>
#include <vector>

/// What a load test sends, and what it expects back.
namespace pomeloload
{

/// What the command line asks for.
struct LoadOptions
{
    std::vector<std::string> entries;
    std::vector<std::string> services;
    pomelofake::TraceSettings trace;
    std::string reportFile;
    bool progress = false;
};

/// One request ready to be sent.
struct PlannedRequest
{
    pomelofake::TraceEntry entry;
    std::string token;
    std::string prompt;
    /// Key and issue time of an action.
    std::string key;
    std::uint64_t issuedAtMs = 0;
    pomelofake::AnswerCheck check;
};

/// Makes requests from trace entries, and the right answers from the declarations that may be in force.
class LoadPlan
{
public:
    /// The organisations of the first declarations send the requests; an answer is right when any of the declarations
    /// leads to it.
    LoadPlan(const LoadOptions &options, std::vector<pomeloport::Declarations> declarations);

    const std::vector<pomelofake::TraceClass> &classes() const;
    const std::vector<pomelofake::TraceEntry> &trace() const;

    /// Makes the request of a trace entry; the key's issue time is the present.
    PlannedRequest plan(const pomelofake::TraceEntry &entry, std::uint64_t nowMs) const;

    /// Formats the request's body with the time left.
    std::string bodyOf(const PlannedRequest &request, std::chrono::milliseconds timeLeft) const;

private:
    pomelofake::AnswerCheck checkOf(const PlannedRequest &request, const std::string &organisation) const;

    std::vector<pomeloport::Declarations> m_declarations;
    std::vector<pomelofake::TraceClass> m_classes;
    std::vector<pomelofake::TraceEntry> m_trace;
    pomelofake::PromptText m_text;
    std::string m_runName;
};

} // namespace pomeloload
