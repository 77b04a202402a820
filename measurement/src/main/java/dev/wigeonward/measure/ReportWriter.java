package dev.wigeonward.measure;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;

import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Formats reports as Markdown and writes them as CSV files and SVG charts. */
final class ReportWriter {
    private static final int CHART_WIDTH_PIXELS = 800;
    private static final int CHART_HEIGHT_PIXELS = 500;

    private ReportWriter() {}

    /** Returns the table and the notes of the report as Markdown. */
    static String markdown(Report report) {
        StringBuilder text = new StringBuilder();
        appendRow(text, report.columns());
        appendRow(text, Collections.nCopies(report.columns().size(), "---"));
        report.rows().forEach(row -> appendRow(text, row));
        text.append('\n');
        report.notes().forEach(note -> text.append("- ").append(note).append('\n'));
        return text.toString();
    }

    /** Writes the table as {@code name.csv} and each chart as {@code name-chart.svg}. */
    static void writeFiles(Report report, String name, Path directory) throws IOException {
        Files.createDirectories(directory);
        try (Writer writer = Files.newBufferedWriter(directory.resolve(name + ".csv"));
                CSVPrinter printer = new CSVPrinter(writer, CSVFormat.DEFAULT)) {
            printer.printRecord(report.columns());
            printer.printRecords(report.rows());
        }
        for (Report.LineChart chart : report.charts()) {
            writeChart(chart, directory.resolve(name + "-" + chart.name()));
        }
    }

    private static void writeChart(Report.LineChart lineChart, Path path) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(CHART_WIDTH_PIXELS)
                .height(CHART_HEIGHT_PIXELS)
                .title(lineChart.name())
                .xAxisTitle(lineChart.xAxisTitle())
                .yAxisTitle(lineChart.yAxisTitle())
                .build();
        lineChart.series().forEach(series -> chart.addSeries(series.name(), series.xValues(), series.yValues()));
        VectorGraphicsEncoder.saveVectorGraphic(chart, path.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    private static void appendRow(StringBuilder text, List<String> cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }
}
