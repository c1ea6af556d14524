#include "cases.h"
#include "recorder.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

namespace {

using Case = Review::Verdict (*)(const Review::CaseOptions &, Review::Recorder &);

const std::map<std::string, Case> cases{
    {"lost-commit", Review::runLostCommit}, {"late-transaction", Review::runLateTransaction},
    {"old-primary", Review::runOldPrimary}, {"stale-primary", Review::runStalePrimary},
    {"no-primary", Review::runNoPrimary},
};

constexpr int argumentsNeeded = 5;

} // namespace

/// Usage: review-case CASE PROGRAM FOLDER RECORD. Without the disruption if TROUBLE is 0.
int main(int argumentCount, char **arguments)
{
    if (argumentCount != argumentsNeeded || !cases.contains(arguments[1])) {
        std::cerr << "usage: review-case CASE PROGRAM FOLDER RECORD\n";
        return static_cast<int>(Review::Verdict::CouldNotRun);
    }
    try {
        const char *trouble = std::getenv("TROUBLE");
        const Review::CaseOptions options{.program = arguments[2],
                                          .folder = arguments[3],
                                          .trouble = trouble == nullptr || std::string(trouble) != "0"};
        Review::Recorder recorder(arguments[4]);
        recorder.write("case", std::string(arguments[1]) + (options.trouble ? "" : ", without the disruption"));
        const Review::Verdict verdict = cases.at(arguments[1])(options, recorder);
        const char *text = verdict == Review::Verdict::Broken ? "the rule was broken"
                           : verdict == Review::Verdict::Held ? "the rule held"
                                                              : "the case could not run";
        recorder.write("verdict", text);
        std::cout << arguments[1] << ": " << text << '\n';
        return static_cast<int>(verdict);
    } catch (const std::exception &error) {
        std::cerr << "review-case: " << error.what() << '\n';
        return static_cast<int>(Review::Verdict::CouldNotRun);
    }
}
