package dev.wigeonward.core.rules;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.wigeonward.core.request.Tier;

/** Checks across the lines of a file: duplicates, references, unreachable kinds and repeated service paths. */
final class RuleChecks {
    private final List<Located> rules;
    private final List<RuleProblem> problems = new ArrayList<>();
    private final Set<String> workspaces = new HashSet<>();
    private final Set<Tier> usableTiers = new HashSet<>();
    private final Map<String, Rule.Target> targets = new HashMap<>();

    /**
     * A rule with the line that it was read from.
     *
     * @param complete whether the line itself has no problems; otherwise its values may be placeholders
     */
    record Located(Rule rule, String file, RuleLine line, boolean complete) {
        /** Returns a problem at the name, or at the end of the line if the name is missing. */
        RuleProblem problemAtName(String description, String expected) {
            int column = line.words().size() > 1 ? line.words().get(1).column() : line.endColumn();
            return new RuleProblem(file, line.line(), column, description, expected);
        }

        /** Returns a problem at the value of a key, or at the end of the line if the key is absent. */
        RuleProblem problemAtKey(String key, String description, String expected) {
            int column = line.words().stream()
                    .filter(word -> word.text().startsWith(key + "="))
                    .mapToInt(word -> word.column() + key.length() + 1)
                    .findFirst()
                    .orElseGet(line::endColumn);
            return new RuleProblem(file, line.line(), column, description, expected);
        }
    }

    private RuleChecks(List<Located> rules) {
        this.rules = rules;
    }

    /** Returns the problems between the given rules, in no particular order. */
    static List<RuleProblem> check(List<Located> rules) {
        RuleChecks checks = new RuleChecks(rules);
        checks.collectNames();
        checks.checkDuplicates();
        rules.stream().filter(Located::complete).forEach(checks::checkReferences);
        checks.checkUnreachableKinds();
        checks.checkServicePaths();
        return checks.problems;
    }

    /**
     * Collects the defined names, also from lines with problems, so that one mistake is not reported again at every
     * reference to the name.
     */
    private void collectNames() {
        for (Located located : rules) {
            if (located.rule() instanceof Rule.Workspace workspace) {
                workspaces.add(workspace.name());
                // The tiers of a line with problems are unknown until it is corrected, so any tier is assumed usable.
                usableTiers.addAll(located.complete() ? workspace.tiers() : Set.of(Tier.values()));
            } else if (located.rule() instanceof Rule.Target target) {
                targets.putIfAbsent(target.name(), target);
            }
        }
    }

    private void checkDuplicates() {
        Map<String, Integer> firstLines = new HashMap<>();
        for (Located located : rules) {
            String identity = identity(located);
            Integer firstLine = firstLines.putIfAbsent(identity, located.line().line());
            if (firstLine != null) {
                problems.add(located.problemAtName(
                        "duplicate of line " + firstLine + " (" + identity + ")", "one rule for each"));
            }
        }
    }

    /** Returns a text that is equal for two rules of which only one is allowed. */
    private static String identity(Located located) {
        Rule rule = located.rule();
        if (rule instanceof Rule.Target target) {
            return "target " + target.name();
        }
        // A key hash may belong to one workspace only; otherwise it is undefined which workspace pays for a request.
        if (rule instanceof Rule.Key key) {
            return "key sha256="
                    + (located.complete()
                            ? key.sha256()
                            : "line " + located.line().line());
        }
        if (rule instanceof Rule.NoRepeat call) {
            return "no-repeat " + call.target() + " " + call.method() + " "
                    + call.path().text();
        }
        return located.line().words().get(0).text() + " "
                + (located.line().words().size() > 1
                        ? located.line().words().get(1).text()
                        : "");
    }

    private void checkReferences(Located located) {
        Rule rule = located.rule();
        if (rule instanceof Rule.Key key) {
            requireWorkspace(located, key.workspace());
        } else if (rule instanceof Rule.Rate rate) {
            requireWorkspace(located, rate.workspace());
        } else if (rule instanceof Rule.Commitment commitment) {
            requireWorkspace(located, commitment.workspace());
        } else if (rule instanceof Rule.Price price) {
            requireModel(located, price.model());
        } else if (rule instanceof Rule.NoRepeat call) {
            checkNoRepeat(located, call);
        } else if (rule instanceof Rule.Move move) {
            checkMove(located, move);
        } else if (rule instanceof Rule.Kind kind) {
            checkKind(located, kind);
        }
    }

    private void requireWorkspace(Located located, String name) {
        if (!workspaces.contains(name)) {
            // The message omits the name on a key line: it may be a key in clear text in the wrong place.
            String shown = located.rule() instanceof Rule.Key ? "" : " '" + name + "'";
            problems.add(located.problemAtName("unknown workspace" + shown, oneOf("workspace", workspaces)));
        }
    }

    private void requireModel(Located located, String name) {
        if (!(targets.get(name) instanceof Rule.Model)) {
            problems.add(located.problemAtName("unknown model '" + name + "'", oneOf("model", modelNames())));
        }
    }

    private void checkNoRepeat(Located located, Rule.NoRepeat call) {
        if (!targets.containsKey(call.target())) {
            problems.add(located.problemAtName(
                    "unknown model or service '" + call.target() + "'", oneOf("model or service", targets.keySet())));
        }
    }

    private void checkMove(Located located, Rule.Move move) {
        requireModel(located, move.model());
        boolean modelComplete = rules.stream()
                .anyMatch(other -> other.complete()
                        && other.rule() instanceof Rule.Model model
                        && model.name().equals(move.model()));
        if (modelComplete
                && targets.get(move.model()) instanceof Rule.Model model
                && !model.version().equals(move.from())) {
            problems.add(located.problemAtKey(
                    "from",
                    "the move starts from '" + move.from() + "' but line "
                            + model.source().line() + " has version '" + model.version() + "'",
                    "from=" + model.version()));
        }
    }

    private void checkKind(Located located, Rule.Kind kind) {
        if (!targets.containsKey(kind.target())) {
            problems.add(located.problemAtKey(
                    "target", "unknown target '" + kind.target() + "'", oneOf("model or service", targets.keySet())));
        }
        if (!workspaces.isEmpty() && !usableTiers.contains(kind.tier())) {
            problems.add(located.problemAtKey(
                    "tier",
                    "no workspace may use tier '" + kind.tier().lowerCaseName() + "'",
                    "a tier in the tiers of a workspace"));
        }
    }

    /**
     * Reports each kind whose requests are all matched by an earlier kind of the target, since it would never apply.
     */
    private void checkUnreachableKinds() {
        Map<String, List<Rule.Kind>> earlierByTarget = new HashMap<>();
        for (Located located : rules) {
            if (!located.complete() || !(located.rule() instanceof Rule.Kind kind)) {
                continue;
            }
            List<Rule.Kind> earlier = earlierByTarget.computeIfAbsent(kind.target(), target -> new ArrayList<>());
            earlier.stream()
                    .filter(other -> other.covers(kind))
                    .findFirst()
                    .ifPresent(other -> problems.add(located.problemAtName(
                            "kind '" + kind.name() + "' never applies: kind '" + other.name() + "' on line "
                                    + other.source().line() + " matches all its requests",
                            "the narrower kind first")));
            earlier.add(kind);
        }
    }

    /** Reports services with equal paths, between which a request path could not decide. */
    private void checkServicePaths() {
        Map<PathPattern, Rule.Service> byPath = new HashMap<>();
        for (Located located : rules) {
            if (located.complete() && located.rule() instanceof Rule.Service service) {
                Rule.Service other = byPath.putIfAbsent(service.path(), service);
                if (other != null) {
                    problems.add(located.problemAtKey(
                            "path",
                            "service '" + other.name() + "' on line "
                                    + other.source().line() + " has the same path",
                            "another path"));
                }
            }
        }
    }

    private List<String> modelNames() {
        return targets.values().stream()
                .filter(Rule.Model.class::isInstance)
                .map(Rule.Target::name)
                .toList();
    }

    /** Returns the expectation text for a reference, with the first defined names in alphabetical order. */
    private static String oneOf(String what, Collection<String> names) {
        int maxNames = 5;
        if (names.isEmpty()) {
            return "a " + what + " that the file defines";
        }
        String list = String.join(", ", names.stream().sorted().limit(maxNames).toList());
        return "a " + what + " that the file defines: " + list + (names.size() > maxNames ? ", …" : "");
    }
}
