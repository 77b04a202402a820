package dev.wigeonward.common.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parsed INI text: sections with their keys and values. The parser is written by hand because Commons Configuration and
 * ini4j each take as much processor time at start as the rest of the process together.
 */
final class IniText {
    private static final char BYTE_ORDER_MARK = '\uFEFF';

    private final Map<String, Map<String, List<String>>> sections = new LinkedHashMap<>();
    private final List<String> unreadableLines = new ArrayList<>();

    private IniText() {}

    /** Returns the parsed text. Keys before the first section belong to the section with the empty name. */
    static IniText parse(String text) {
        IniText parsed = new IniText();
        String section = "";
        int lineNumber = 0;
        String content = text.isEmpty() || text.charAt(0) != BYTE_ORDER_MARK ? text : text.substring(1);
        for (String untrimmed : content.split("\n", -1)) {
            lineNumber++;
            String line = untrimmed.strip();
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
                parsed.unreadableLines.add("line " + lineNumber + " is neither a section nor a key with a value");
            }
        }
        return parsed;
    }

    /** Returns the values by section and key, in the order of the text. A key that is given twice has two values. */
    Map<String, Map<String, List<String>>> sections() {
        return sections;
    }

    /** Returns the values of a key, or an empty list if the key is not given. */
    List<String> values(String section, String key) {
        return sections.getOrDefault(section, Map.of()).getOrDefault(key, List.of());
    }

    /** Returns a description of each line that cannot be parsed. */
    List<String> unreadableLines() {
        return unreadableLines;
    }
}
