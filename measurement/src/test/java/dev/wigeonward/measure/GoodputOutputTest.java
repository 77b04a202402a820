package dev.wigeonward.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import dev.wigeonward.measure.goodput.GoodputMeasurement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class GoodputOutputTest {
    @TempDir
    private Path directory;

    /**
     * Guards against reports that depend on more than the seed, such as the order of a hash map or the time of day, and
     * against a seed that has no effect.
     */
    @Test
    void sameSeedPrintsTheSameBytes() throws IOException {
        String first = writeReport(7, "first");
        assertThat(writeReport(7, "second")).isEqualTo(first);
        assertThat(writeReport(8, "third")).isNotEqualTo(first);
        assertThat(directory.resolve("first/goodput.csv"))
                .hasSameBinaryContentAs(directory.resolve("second/goodput.csv"));
        assertThat(directory.resolve("first/goodput-by-tier.svg"))
                .hasSameBinaryContentAs(directory.resolve("second/goodput-by-tier.svg"));
    }

    /** Writes the files of a report to a subdirectory and returns its Markdown. */
    private String writeReport(long seed, String subdirectory) throws IOException {
        Measurement measurement = GoodputMeasurement.atLoads(List.of(1.0));
        Report report = measurement.run(seed);
        assertThat(report.valid()).isTrue();
        ReportWriter.writeFiles(report, measurement.name(), directory.resolve(subdirectory));
        return ReportWriter.markdown(report);
    }
}
