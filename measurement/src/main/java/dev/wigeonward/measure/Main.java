package dev.wigeonward.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Command-line tool that runs a measurement and prints its report. */
public final class Main {
    private static final int EXIT_OK = 0;
    private static final int EXIT_INVALID_RUN = 1;
    private static final int EXIT_USAGE = 2;
    private static final long DEFAULT_SEED = 1;

    @Argument(metaVar = "NAME", usage = "measurement to run")
    private String name;

    @Option(name = "--seed", metaVar = "N", usage = "seed of all random choices")
    private long seed = DEFAULT_SEED;

    @Option(name = "--list", usage = "list the measurements")
    private boolean list;

    @Option(name = "--out", metaVar = "DIR", usage = "also write CSV and SVG files to this directory")
    private Path outputDirectory;

    private Main() {}

    /** Runs the measurement given by the arguments and exits with 0, 1 (invalid run) or 2 (wrong usage). */
    public static void main(String[] arguments) throws IOException {
        System.exit(run(arguments, System.out, System.err));
    }

    static int run(String[] arguments, PrintStream out, PrintStream err) throws IOException {
        Main options = new Main();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            err.println(e.getMessage());
            parser.printUsage(err);
            return EXIT_USAGE;
        }
        if (options.list) {
            Measurements.all().forEach(each -> out.printf("%-20s %s%n", each.name(), each.description()));
            return EXIT_OK;
        }
        Optional<Measurement> measurement = Optional.ofNullable(options.name).flatMap(Measurements::find);
        if (measurement.isEmpty()) {
            err.println("unknown measurement: " + options.name + "; see --list");
            return EXIT_USAGE;
        }
        return options.measure(measurement.get(), out);
    }

    private int measure(Measurement measurement, PrintStream out) throws IOException {
        Report report = measurement.run(seed);
        out.printf("%s, seed %d: %s%n%n", measurement.name(), seed, measurement.description());
        out.print(ReportWriter.markdown(report));
        if (outputDirectory != null) {
            ReportWriter.writeFiles(report, measurement.name(), outputDirectory);
        }
        return report.valid() ? EXIT_OK : EXIT_INVALID_RUN;
    }
}
