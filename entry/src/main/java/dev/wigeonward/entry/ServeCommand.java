package dev.wigeonward.entry;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;

import dev.wigeonward.common.command.CommandLines;
import dev.wigeonward.common.settings.SettingsResult;
import org.kohsuke.args4j.Option;

/** The {@code serve} and {@code check-settings} commands of the entry binary. */
final class ServeCommand {

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings of this process")
    private Path settingsFile;

    private ServeCommand() {}

    /** Runs the named command and returns its exit code; {@code serve} returns only after the process is stopped. */
    static int run(String name, String[] arguments, PrintStream out, PrintStream err) throws Exception {
        ServeCommand command = new ServeCommand();
        OptionalInt exitCode = CommandLines.read(command, arguments, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        return command.run(name.equals("serve"), out, err);
    }

    private int run(boolean serve, PrintStream out, PrintStream err) throws Exception {
        SettingsResult result = readSettings(err);
        if (result == null) {
            return CommandLines.EXIT_FAILED;
        }
        if (result instanceof SettingsResult.Invalid invalid) {
            invalid.problems().forEach(err::println);
            return CommandLines.EXIT_FAILED;
        }
        EntrySettings settings = EntrySettings.of(((SettingsResult.Valid) result).settings());
        if (!serve) {
            out.println("valid");
            return CommandLines.EXIT_OK;
        }
        EntryProcess process;
        try {
            process = EntryProcess.start(settings);
        } catch (IOException e) {
            // For example, a port is in use. The exit code makes main exit; threads that were already started would
            // otherwise keep the process alive.
            err.println("cannot start: " + e.getMessage());
            return CommandLines.EXIT_FAILED;
        }
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            process.drainAndClose();
                            stopped.countDown();
                        },
                        "shutdown"));
        out.println("ready");
        stopped.await();
        return CommandLines.EXIT_OK;
    }

    private SettingsResult readSettings(PrintStream err) {
        try {
            return EntrySettings.declaration().readFile(settingsFile);
        } catch (IOException e) {
            err.println("cannot read settings file " + settingsFile + ": " + e.getMessage());
            return null;
        }
    }
}
