package dev.wigeonward.common.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import com.google.common.base.Preconditions;

/** Declaration of the sections and keys in the settings file of a process. Any other section or key is a problem. */
public final class SettingsDeclaration {
    private final Map<String, Map<String, SettingKey<?>>> sections = new LinkedHashMap<>();
    private final Map<String, String> sectionDescriptions;

    private SettingsDeclaration(Map<String, String> sectionDescriptions, Collection<SettingKey<?>> keys) {
        this.sectionDescriptions = Map.copyOf(sectionDescriptions);
        for (SettingKey<?> key : keys) {
            Preconditions.checkArgument(
                    sectionDescriptions.containsKey(key.section()), "section %s has no description", key.section());
            SettingKey<?> previous = sections.computeIfAbsent(key.section(), section -> new LinkedHashMap<>())
                    .put(key.name(), key);
            Preconditions.checkArgument(previous == null, "setting %s is declared twice, expected once", key.label());
        }
    }

    /**
     * Returns a declaration of the given keys.
     *
     * @param sectionDescriptions one-line description of each section that the keys use, by section
     */
    public static SettingsDeclaration of(Map<String, String> sectionDescriptions, Collection<SettingKey<?>> keys) {
        return new SettingsDeclaration(sectionDescriptions, keys);
    }

    /**
     * Reads a settings file and returns the checked settings or the problems.
     *
     * @throws IOException if the file cannot be read
     */
    public SettingsResult readFile(Path file) throws IOException {
        return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
    }

    /** Returns the checked settings in a text, or its problems, which contain the given file name. */
    public SettingsResult parse(String fileName, String text) {
        List<SettingsProblem> problems = new ArrayList<>();
        return parse(fileName, text, problems, problems);
    }

    /**
     * Returns the checked settings in a text like {@link #parse}, but treats an optional setting with an invalid value
     * as left out. A process that starts from a generated file uses this, so that one unreadable value does not prevent
     * its start.
     */
    public SettingsResult parseLeniently(String fileName, String text) {
        return parse(fileName, text, new ArrayList<>(), new ArrayList<>());
    }

    private SettingsResult parse(
            String fileName, String text, List<SettingsProblem> problems, List<SettingsProblem> optionalProblems) {
        IniText file = IniText.parse(text);
        file.unreadableLines()
                .forEach(line ->
                        problems.add(new SettingsProblem(fileName, "", "", "unreadable: " + line, "an INI file")));
        file.sections().forEach((section, content) -> checkNames(fileName, section, content.keySet(), problems));
        Map<String, Object> values = new LinkedHashMap<>();
        for (Map<String, SettingKey<?>> keys : sections.values()) {
            for (SettingKey<?> key : keys.values()) {
                List<SettingsProblem> keyProblems = key.required() ? problems : optionalProblems;
                readValue(fileName, file.values(key.section(), key.name()), key, values, keyProblems);
            }
        }
        return problems.isEmpty()
                ? new SettingsResult.Valid(new Settings(values), optionalProblems)
                : new SettingsResult.Invalid(problems);
    }

    private void checkNames(String fileName, String section, Set<String> names, List<SettingsProblem> problems) {
        Map<String, SettingKey<?>> keys = sections.get(section);
        if (keys == null) {
            String problem = section.isEmpty() ? "key outside of a section" : "unknown section";
            problems.add(new SettingsProblem(fileName, section, "", problem, oneOf(sections.keySet())));
            return;
        }
        for (String name : names) {
            if (!keys.containsKey(name)) {
                problems.add(new SettingsProblem(fileName, section, name, "unknown key", oneOf(keys.keySet())));
            }
        }
    }

    private static String oneOf(Set<String> names) {
        return "one of " + String.join(", ", new TreeSet<>(names));
    }

    private static <T> void readValue(
            String fileName,
            List<String> texts,
            SettingKey<T> key,
            Map<String, Object> values,
            List<SettingsProblem> problems) {
        Optional<String> problem = Optional.empty();
        if (texts.isEmpty()) {
            key.defaultValue().ifPresent(value -> values.put(key.label(), value));
            problem = key.required() ? Optional.of("missing") : Optional.empty();
        } else if (texts.size() > 1) {
            problem = Optional.of("given " + texts.size() + " times");
        } else {
            Optional<T> value = key.type().parse(texts.get(0));
            value.ifPresent(valid -> values.put(key.label(), valid));
            problem = value.isPresent() ? Optional.empty() : Optional.of("invalid value '" + texts.get(0) + "'");
        }
        problem.ifPresent(text -> problems.add(new SettingsProblem(
                fileName, key.section(), key.name(), text, key.type().expected())));
    }

    /** Returns a settings file that documents every key. Keys without a default are commented out. */
    public String exampleFile() {
        StringBuilder text = new StringBuilder();
        sections.forEach((section, keys) -> {
            text.append("; ").append(sectionDescriptions.get(section)).append('\n');
            text.append('[').append(section).append("]\n");
            text.append(keys.values().stream()
                    .map(SettingsDeclaration::documentedKey)
                    .collect(Collectors.joining()));
            text.append('\n');
        });
        return text.toString();
    }

    private static <T> String documentedKey(SettingKey<T> key) {
        String comment = "; " + key.description() + "; " + key.type().expected();
        if (key.required()) {
            return comment + "; required\n; " + key.name() + " =\n";
        }
        return key.defaultValue()
                .map(value -> comment + "\n" + key.name() + " = " + key.type().format(value) + "\n")
                .orElse(comment + "; may be left out\n; " + key.name() + " =\n");
    }
}
