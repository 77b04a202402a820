package dev.wigeonward.measure;

import java.util.List;
import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * Report of a measurement: a table with notes and charts.
 *
 * @param columns names of the columns, with units
 * @param rows cells of each row, one for each column
 * @param notes conditions of the measurement, comparisons, and targets met or missed
 * @param valid false if the measurement failed or is incomplete; a missed target leaves it true
 * @param charts line charts of the results, possibly none
 */
public record Report(
        List<String> columns, List<List<String>> rows, List<String> notes, boolean valid, List<LineChart> charts) {
    public Report {
        columns = List.copyOf(columns);
        rows = List.copyOf(rows);
        notes = List.copyOf(notes);
        charts = List.copyOf(charts);
        for (List<String> row : rows) {
            Preconditions.checkArgument(
                    row.size() == columns.size(), "row %s must have one cell for each column of %s", row, columns);
        }
    }

    /** A line chart that is written as an SVG file. */
    public record LineChart(String name, String xAxisTitle, String yAxisTitle, List<Series> series) {
        public LineChart {
            Objects.requireNonNull(name, "name");
            series = List.copyOf(series);
        }
    }

    /** A line of a chart, given by the coordinates of its points. */
    public record Series(String name, List<Double> xValues, List<Double> yValues) {
        public Series {
            xValues = List.copyOf(xValues);
            yValues = List.copyOf(yValues);
            Preconditions.checkArgument(
                    xValues.size() == yValues.size(),
                    "series %s must have as many x values as y values but has %s and %s",
                    name,
                    xValues.size(),
                    yValues.size());
        }
    }
}
