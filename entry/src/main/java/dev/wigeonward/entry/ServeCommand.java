package dev.wigeonward.entry;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;

import dev.wigeonward.common.command.CommandLines;
import dev.wigeonward.common.settings.SettingsResult;
import org.kohsuke.args4j.Option;

/** Runs the entry process until it is asked to stop. */
final class ServeCommand {

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings of this process")
    private Path settingsFile;

    private ServeCommand() {}

    /** Runs {@code serve} or {@code check-settings}. */
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
            // For example a port in use; threads that were started already would keep the process alive.
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
            return EntrySettings.declaration().read(settingsFile);
        } catch (IOException e) {
            err.println(settingsFile + ": cannot be read: " + e.getMessage());
            return null;
        }
    }
}
