package dev.wigeonward.common.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sections, keys and values of an INI text. Read by own code because the libraries that were tried, Commons
 * Configuration and ini4j, each cost a start as much processor time as the rest of the process together.
 */
final class IniText {
    private static final char BYTE_ORDER_MARK = '\uFEFF';

    private final Map<String, Map<String, List<String>>> sections = new LinkedHashMap<>();
    private final List<String> unreadableLines = new ArrayList<>();

    private IniText() {}

    /** Returns the parsed text; keys before the first section belong to the section with the empty name. */
    static IniText parse(String text) {
        IniText parsed = new IniText();
        String section = "";
        int number = 0;
        String content = text.isEmpty() || text.charAt(0) != BYTE_ORDER_MARK ? text : text.substring(1);
        for (String rawLine : content.split("\n", -1)) {
            number++;
            String line = rawLine.strip();
            if (line.isEmpty() || line.startsWith(";") || line.startsWith("#")) {
                continue;
            }
            int equals = line.indexOf('=');
            if (line.startsWith("[") && line.endsWith("]")) {
                section = line.substring(1, line.length() - 1).strip();
                parsed.sections.computeIfAbsent(section, name -> new LinkedHashMap<>());
            } else if (equals > 0) {
                parsed.sections
                        .computeIfAbsent(section, name -> new LinkedHashMap<>())
                        .computeIfAbsent(line.substring(0, equals).strip(), name -> new ArrayList<>())
                        .add(line.substring(equals + 1).strip());
            } else {
                parsed.unreadableLines.add("line " + number + " is neither a section nor a key with a value");
            }
        }
        return parsed;
    }

    /** Returns the values by key of each section, in the order of the text; a key given twice has two values. */
    Map<String, Map<String, List<String>>> sections() {
        return sections;
    }

    /** Returns the values of a key, empty if it is not given. */
    List<String> values(String section, String key) {
        return sections.getOrDefault(section, Map.of()).getOrDefault(key, List.of());
    }

    /** Returns what is wrong with each line that cannot be read. */
    List<String> unreadableLines() {
        return unreadableLines;
    }
}
