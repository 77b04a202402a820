package dev.wigeonward.measure;

import java.util.List;
import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * Result of a measurement.
 *
 * @param columns names of the columns, with units
 * @param rows one list of cells for each row
 * @param notes what was compared, and targets met or missed
 * @param valid false if the run itself went wrong; a missed target is a valid result
 * @param charts line charts over the rows, may be empty
 */
public record Report(
        List<String> columns, List<List<String>> rows, List<String> notes, boolean valid, List<LineChart> charts) {
    public Report {
        columns = List.copyOf(columns);
        rows = List.copyOf(rows);
        notes = List.copyOf(notes);
        charts = List.copyOf(charts);
        for (List<String> row : rows) {
            Preconditions.checkArgument(row.size() == columns.size(), "row %s does not fit columns %s", row, columns);
        }
    }

    /** A chart written as SVG. */
    public record LineChart(String name, String xTitle, String yTitle, List<Series> series) {
        public LineChart {
            Objects.requireNonNull(name, "name");
            series = List.copyOf(series);
        }
    }

    /** A line of a chart. */
    public record Series(String name, List<Double> x, List<Double> y) {
        public Series {
            x = List.copyOf(x);
            y = List.copyOf(y);
            Preconditions.checkArgument(x.size() == y.size(), "series %s has %s x and %s y", name, x.size(), y.size());
        }
    }
}
