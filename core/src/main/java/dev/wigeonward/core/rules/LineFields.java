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
 * The key=value pairs of one line. A reader method records a problem and returns a placeholder when the value is
 * missing or wrong, so that all problems of a line are found in one pass.
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
    private final Map<String, RuleLine.Word> values = new LinkedHashMap<>();
    private final Set<String> known = new TreeSet<>();
    private final List<RuleProblem> problems = new ArrayList<>();

    private LineFields(String file, RuleLine line) {
        this.file = file;
        this.line = line;
    }

    static LineFields of(String file, RuleLine line) {
        LineFields fields = new LineFields(file, line);
        line.words().stream().skip(2).forEach(fields::addPair);
        return fields;
    }

    private void addPair(RuleLine.Word word) {
        int equals = word.text().indexOf('=');
        if (equals <= 0) {
            report(word.column(), shown(word.text()) + " is not a key=value pair", "key=value");
            return;
        }
        String key = word.text().substring(0, equals);
        RuleLine.Word value = new RuleLine.Word(word.text().substring(equals + 1), word.column() + equals + 1);
        if (values.putIfAbsent(key, value) != null) {
            report(word.column(), "key " + shown(key) + " is given twice", "each key once");
        }
    }

    String name() {
        if (line.words().size() < 2) {
            report(line.endColumn(), "the name is missing", NAME_EXPECTED);
            return PLACEHOLDER;
        }
        RuleLine.Word word = line.words().get(1);
        if (!NAME.matcher(word.text()).matches()) {
            report(word.column(), shown(word.text()) + " is not a name", NAME_EXPECTED);
        }
        return word.text();
    }

    String word(String key) {
        return required(key, NAME_EXPECTED, text -> matching(NAME, text)).orElse(PLACEHOLDER);
    }

    String sha256(String key) {
        // The value is left out of the message: an operator who pastes a key in clear must not find it in a log.
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

    Optional<String> optionalMethod(String key) {
        return has(key) ? Optional.of(method(key)) : Optional.empty();
    }

    PathPattern path(String key) {
        String expected = "a path that starts with '/' and has no query; a '*' at its end stands for any rest";
        return required(key, expected, text -> matching(PATH, text))
                .map(PathPattern::new)
                .orElseGet(() -> new PathPattern("/"));
    }

    Optional<PathPattern> optionalPath(String key) {
        return has(key) ? Optional.of(path(key)) : Optional.empty();
    }

    Tier tier(String key) {
        return required(key, "critical, standard or batch", Tier::fromName).orElse(Tier.BATCH);
    }

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

    long millis(String key, long min, long max, String range) {
        return number(key, "a duration from " + range, Units::millis, min, max);
    }

    long bytes(String key, long min, long max) {
        return number(key, "a size from " + min + "B to " + max + "B, such as 64KiB", Units::bytes, min, max);
    }

    long count(String key, long min, long max) {
        return number(key, "a number from " + min + " to " + max, Units::count, min, max);
    }

    OptionalInt optionalCount(String key, int min, int max) {
        return has(key) ? OptionalInt.of((int) count(key, min, max)) : OptionalInt.empty();
    }

    OptionalInt optionalPerSecond(String key, int max) {
        return has(key)
                ? OptionalInt.of((int) number(key, "a rate from 1/s to " + max + "/s", Units::perSecond, 1, max))
                : OptionalInt.empty();
    }

    int basisPoints(String key, int min, int max, String range) {
        return (int) number(key, "a percentage from " + range, Units::basisPoints, min, max);
    }

    long micros(String key) {
        String expected = "an amount above 0 with at most 6 decimals, such as 0.45";
        return number(key, expected, Units::micros, 1, Long.MAX_VALUE);
    }

    /** Records a value that cannot be used together with the rest of its line. */
    void reportValue(String key, String wrong, String expected) {
        int column = values.containsKey(key) ? values.get(key).column() : line.endColumn();
        report(column, wrong, expected);
    }

    void reportKeyword(String wrong, String expected) {
        report(line.words().get(0).column(), wrong, expected);
    }

    void reportName(String wrong, String expected) {
        report(line.words().size() > 1 ? line.words().get(1).column() : line.endColumn(), wrong, expected);
    }

    void reportComment(String wrong, String expected) {
        report(line.comment().map(RuleLine.Word::column).orElseGet(line::endColumn), wrong, expected);
    }

    /** Returns the problems recorded so far. */
    List<RuleProblem> problems() {
        return List.copyOf(problems);
    }

    /** Returns all problems recorded, with those of the keys that no reader method asked for. */
    List<RuleProblem> finish() {
        values.forEach((key, value) -> {
            if (!known.contains(key)) {
                String expected = known.isEmpty() ? "no keys" : "one of " + String.join(", ", known);
                report(value.column() - key.length() - 1, "unknown key " + shown(key), expected);
            }
        });
        return problems();
    }

    boolean has(String key) {
        known.add(key);
        return values.containsKey(key);
    }

    private long number(String key, String expected, Function<String, OptionalLong> reader, long min, long max) {
        return required(key, expected, text -> {
                    OptionalLong value = reader.apply(text);
                    return value.isPresent() && value.getAsLong() >= min && value.getAsLong() <= max
                            ? Optional.of(value.getAsLong())
                            : Optional.empty();
                })
                .orElse(min);
    }

    private <T> Optional<T> required(String key, String expected, Function<String, Optional<T>> reader) {
        Optional<RuleLine.Word> word = find(key, expected);
        Optional<T> value = word.flatMap(found -> reader.apply(found.text()));
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

    /** A workspace key in clear may stand anywhere on a key line by mistake and must not reach messages or logs. */
    private String shown(String text) {
        return line.words().get(0).text().equals("key") ? "the text here" : "'" + text + "'";
    }

    private void report(int column, String wrong, String expected) {
        problems.add(new RuleProblem(file, line.line(), column, wrong, expected));
    }
}
