package dev.wigeonward.core.rules;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;

import dev.wigeonward.core.request.Tier;

/**
 * Reader of the name and the key=value pairs of one line. If a value is missing or invalid, a reader method records a
 * problem and returns a placeholder, so that all problems of a line are found in one pass.
 */
final class LineFields {
    static final String NAME_EXPECTED =
            "a name of 1 to 63 letters, digits, '.', '_' or '-' that starts with a letter or digit";
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-fA-F]{64}");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");
    private static final Pattern PATH = Pattern.compile("/[^\\s#?*]{0,254}\\*?");
    private static final String PLACEHOLDER = "-";

    private final String file;
    private final RuleLine line;
    /** Values by key, with the column where the value starts. */
    private final Map<String, RuleLine.Word> values = new LinkedHashMap<>();
    /** Keys that a reader method asked for; all others are unknown keys. */
    private final Set<String> knownKeys = new TreeSet<>();

    private final List<RuleProblem> problems = new ArrayList<>();

    private LineFields(String file, RuleLine line) {
        this.file = file;
        this.line = line;
    }

    /** Returns the fields of a line, with problems for words that are no pair and for repeated keys. */
    static LineFields of(String file, RuleLine line) {
        LineFields fields = new LineFields(file, line);
        line.words().stream().skip(2).forEach(fields::addPair);
        return fields;
    }

    private void addPair(RuleLine.Word word) {
        int equals = word.text().indexOf('=');
        if (equals <= 0) {
            report(word.column(), quoted(word.text()) + " is not a key=value pair", "key=value");
            return;
        }
        String key = word.text().substring(0, equals);
        RuleLine.Word value = new RuleLine.Word(word.text().substring(equals + 1), word.column() + equals + 1);
        if (values.putIfAbsent(key, value) != null) {
            report(word.column(), "key " + quoted(key) + " is given twice", "each key once");
        }
    }

    /** Returns the second word of the line, which names the rule. */
    String name() {
        if (line.words().size() < 2) {
            report(line.endColumn(), "the name is missing", NAME_EXPECTED);
            return PLACEHOLDER;
        }
        RuleLine.Word word = line.words().get(1);
        if (!NAME.matcher(word.text()).matches()) {
            report(word.column(), quoted(word.text()) + " is not a name", NAME_EXPECTED);
        }
        return word.text();
    }

    String word(String key) {
        return required(key, NAME_EXPECTED, text -> matching(NAME, text)).orElse(PLACEHOLDER);
    }

    String sha256(String key) {
        // The message omits the value: it may be a key pasted in clear text, which must not appear in a log.
        String expected = "the SHA-256 hash of the key in 64 hex digits, never the key itself";
        Optional<RuleLine.Word> word = find(key, expected);
        if (word.isPresent() && !SHA256.matcher(word.get().text()).matches()) {
            report(word.get().column(), "the value of '" + key + "' is not a SHA-256 hash", expected);
            return PLACEHOLDER;
        }
        return word.map(found -> found.text().toLowerCase(Locale.ROOT)).orElse(PLACEHOLDER);
    }

    String method(String key) {
        return required(key, "an upper-case method such as POST", text -> matching(METHOD, text))
                .orElse(PLACEHOLDER);
    }

    /** Returns the method, or empty if the key is absent. */
    Optional<String> optionalMethod(String key) {
        return has(key) ? Optional.of(method(key)) : Optional.empty();
    }

    PathPattern path(String key) {
        String expected = "a path that starts with '/' and has no query; a '*' at its end stands for any rest";
        return required(key, expected, text -> matching(PATH, text))
                .map(PathPattern::new)
                .orElseGet(() -> new PathPattern("/"));
    }

    /** Returns the path pattern, or empty if the key is absent. */
    Optional<PathPattern> optionalPath(String key) {
        return has(key) ? Optional.of(path(key)) : Optional.empty();
    }

    Tier tier(String key) {
        return required(key, "critical, standard or batch", Tier::fromName).orElse(Tier.BATCH);
    }

    /** Returns a comma-separated list of distinct tiers. */
    Set<Tier> tiers(String key) {
        Set<Tier> tiers = EnumSet.noneOf(Tier.class);
        required(key, "some of critical, standard and batch, separated by commas", text -> {
            for (String name : text.split(",", -1)) {
                Optional<Tier> tier = Tier.fromName(name);
                if (tier.isEmpty() || !tiers.add(tier.get())) {
                    return Optional.empty();
                }
            }
            return Optional.of(text);
        });
        return tiers;
    }

    /** Returns whether the value is {@code checked}; false if the key is absent. */
    boolean checksFencing(String key) {
        return has(key)
                && required(key, "checked or ignored", text -> switch (text) {
                            case "checked" -> Optional.of(true);
                            case "ignored" -> Optional.of(false);
                            default -> Optional.<Boolean>empty();
                        })
                        .orElse(false);
    }

    Instant instant(String key) {
        return required(key, "an instant such as 2027-01-31T18:00:00Z", text -> {
                    try {
                        return Optional.of(Instant.parse(text));
                    } catch (DateTimeException e) {
                        return Optional.empty();
                    }
                })
                .orElse(Instant.EPOCH);
    }

    /** Returns a duration in milliseconds; the range is the text of the expected values in a problem. */
    long millis(String key, long min, long max, String range) {
        return number(key, "a duration from " + range, Units::millis, min, max);
    }

    long bytes(String key, long min, long max) {
        return number(key, "a size from " + min + "B to " + max + "B, such as 64KiB", Units::bytes, min, max);
    }

    long count(String key, long min, long max) {
        return number(key, "a number from " + min + " to " + max, Units::count, min, max);
    }

    /** Returns a count, or empty if the key is absent. */
    OptionalInt optionalCount(String key, int min, int max) {
        return has(key) ? OptionalInt.of((int) count(key, min, max)) : OptionalInt.empty();
    }

    /** Returns a rate per second, or empty if the key is absent. */
    OptionalInt optionalPerSecond(String key, int max) {
        return has(key)
                ? OptionalInt.of((int) number(key, "a rate from 1/s to " + max + "/s", Units::perSecond, 1, max))
                : OptionalInt.empty();
    }

    /** Returns a percentage in hundredths of a percent; the range is the text of the expected values in a problem. */
    int basisPoints(String key, int min, int max, String range) {
        return (int) number(key, "a percentage from " + range, Units::basisPoints, min, max);
    }

    /** Returns an amount of money in millionths of the currency unit. */
    long micros(String key) {
        String expected = "an amount above 0 with at most 6 decimals, such as 0.45";
        return number(key, expected, Units::micros, 1, Long.MAX_VALUE);
    }

    /** Records a problem at the value of a key, or at the end of the line if the key is absent. */
    void reportValue(String key, String description, String expected) {
        int column = values.containsKey(key) ? values.get(key).column() : line.endColumn();
        report(column, description, expected);
    }

    /** Records a problem at the first word of the line. */
    void reportKeyword(String description, String expected) {
        report(line.words().get(0).column(), description, expected);
    }

    /** Records a problem at the name, or at the end of the line if the name is missing. */
    void reportName(String description, String expected) {
        report(line.words().size() > 1 ? line.words().get(1).column() : line.endColumn(), description, expected);
    }

    /** Records a problem at the closing comment, or at the end of the line if there is none. */
    void reportComment(String description, String expected) {
        report(line.comment().map(RuleLine.Word::column).orElseGet(line::endColumn), description, expected);
    }

    /** Returns the problems recorded so far. */
    List<RuleProblem> problems() {
        return List.copyOf(problems);
    }

    /** Returns all problems, including one for each key that no reader method asked for. Call it after all readers. */
    List<RuleProblem> finish() {
        values.forEach((key, value) -> {
            if (!knownKeys.contains(key)) {
                String expected = knownKeys.isEmpty() ? "no keys" : "one of " + String.join(", ", knownKeys);
                report(value.column() - key.length() - 1, "unknown key " + quoted(key), expected);
            }
        });
        return problems();
    }

    /** Returns whether the key is present, and marks it as known. */
    boolean has(String key) {
        knownKeys.add(key);
        return values.containsKey(key);
    }

    /** Returns a number within the bounds, or the lower bound with a recorded problem. */
    private long number(String key, String expected, Function<String, OptionalLong> parser, long min, long max) {
        return required(key, expected, text -> {
                    OptionalLong value = parser.apply(text);
                    return value.isPresent() && value.getAsLong() >= min && value.getAsLong() <= max
                            ? Optional.of(value.getAsLong())
                            : Optional.empty();
                })
                .orElse(min);
    }

    /** Returns the parsed value, or empty with a recorded problem if it is missing or the parser returns empty. */
    private <T> Optional<T> required(String key, String expected, Function<String, Optional<T>> parser) {
        Optional<RuleLine.Word> word = find(key, expected);
        Optional<T> value = word.flatMap(found -> parser.apply(found.text()));
        if (word.isPresent() && value.isEmpty()) {
            report(word.get().column(), "'" + word.get().text() + "' does not fit '" + key + "'", expected);
        }
        return value;
    }

    private Optional<RuleLine.Word> find(String key, String expected) {
        if (!has(key)) {
            report(line.endColumn(), "'" + key + "' is missing", key + "= " + expected);
        }
        return Optional.ofNullable(values.get(key));
    }

    private static Optional<String> matching(Pattern pattern, String text) {
        return pattern.matcher(text).matches() ? Optional.of(text) : Optional.empty();
    }

    /**
     * Returns the quoted text for a message, or a placeholder on a key line: a workspace key in clear text may be
     * anywhere on such a line by mistake and must not appear in messages or logs.
     */
    private String quoted(String text) {
        return line.words().get(0).text().equals("key") ? "the text here" : "'" + text + "'";
    }

    private void report(int column, String description, String expected) {
        problems.add(new RuleProblem(file, line.line(), column, description, expected));
    }
}
