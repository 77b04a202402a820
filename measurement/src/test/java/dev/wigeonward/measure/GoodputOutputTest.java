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

    /** Guards against figures that depend on anything but the seed, and against a seed without effect. */
    @Test
    void sameSeedPrintsTheSameBytes() throws IOException {
        String first = print(7, "first");
        assertThat(print(7, "second")).isEqualTo(first);
        assertThat(print(8, "third")).isNotEqualTo(first);
        assertThat(directory.resolve("first/goodput.csv"))
                .hasSameBinaryContentAs(directory.resolve("second/goodput.csv"));
        assertThat(directory.resolve("first/goodput-by-tier.svg"))
                .hasSameBinaryContentAs(directory.resolve("second/goodput-by-tier.svg"));
    }

    private String print(long seed, String output) throws IOException {
        Measurement measurement = GoodputMeasurement.atLoads(List.of(1.0));
        Report report = measurement.run(seed);
        assertThat(report.valid()).isTrue();
        ReportWriter.writeFiles(report, measurement.name(), directory.resolve(output));
        return ReportWriter.markdown(report);
    }
}
