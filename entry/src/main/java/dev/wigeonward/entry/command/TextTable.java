package dev.wigeonward.entry.command;

import java.util.ArrayList;
import java.util.List;

import com.google.common.base.Preconditions;
import com.google.common.base.Strings;

/** A text table with left-aligned columns. */
final class TextTable {
    private final int columns;
    private final List<List<String>> rows = new ArrayList<>();

    private TextTable(int columns) {
        this.columns = columns;
    }

    static TextTable withColumns(String... titles) {
        TextTable table = new TextTable(titles.length);
        table.addRow(titles);
        return table;
    }

    void addRow(String... cells) {
        Preconditions.checkArgument(cells.length == columns, "row has %s cells, expected %s", cells.length, columns);
        rows.add(List.of(cells));
    }

    List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < columns; column++) {
                line.append(Strings.padEnd(row.get(column), width(column), ' ')).append("  ");
            }
            lines.add(line.toString().stripTrailing());
        }
        return lines;
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
