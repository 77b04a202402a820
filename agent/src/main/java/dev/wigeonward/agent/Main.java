package dev.wigeonward.agent;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;

import dev.wigeonward.common.command.CommandLines;
import dev.wigeonward.common.command.DumpCommand;
import dev.wigeonward.common.settings.Settings;
import dev.wigeonward.common.settings.SettingsResult;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Command line of the agent binary. */
public final class Main {

    @Argument(metaVar = "COMMAND", required = true, usage = "serve, check-settings, example-settings or dump")
    private String command;

    @Option(name = "--settings", metaVar = "FILE", usage = "settings of this process")
    private Path settingsFile;

    private Main() {}

    /** Runs a command and exits with its code. */
    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments, System.out, System.err));
    }

    static int run(String[] arguments, PrintStream out, PrintStream err) throws Exception {
        if (arguments.length > 0 && arguments[0].equals("dump")) {
            return DumpCommand.run(Arrays.copyOfRange(arguments, 1, arguments.length), out, err);
        }
        Main main = new Main();
        OptionalInt exitCode = CommandLines.read(main, arguments, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        return switch (main.command) {
            case "serve" -> main.withSettings(err, settings -> serve(settings, out, err));
            case "check-settings" ->
                main.withSettings(err, settings -> {
                    out.println("valid");
                    return CommandLines.EXIT_OK;
                });
            case "example-settings" -> {
                out.print(AgentSettings.declaration().exampleFile());
                yield CommandLines.EXIT_OK;
            }
            default -> {
                err.println("unknown command: " + main.command);
                yield CommandLines.EXIT_USAGE;
            }
        };
    }

    private int withSettings(PrintStream err, SettingsAction action) throws Exception {
        if (settingsFile == null) {
            err.println("--settings is required, expected a settings file");
            return CommandLines.EXIT_USAGE;
        }
        SettingsResult result;
        try {
            result = AgentSettings.declaration().readFile(settingsFile);
        } catch (IOException e) {
            err.println("cannot read settings file " + settingsFile + ": " + e.getMessage());
            return CommandLines.EXIT_FAILED;
        }
        if (result instanceof SettingsResult.Invalid invalid) {
            invalid.problems().forEach(err::println);
            return CommandLines.EXIT_FAILED;
        }
        Settings settings = ((SettingsResult.Valid) result).settings();
        return action.run(AgentSettings.of(settings));
    }

    private static int serve(AgentSettings settings, PrintStream out, PrintStream err) throws Exception {
        AgentProcess process;
        try {
            process = AgentProcess.start(settings);
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

    /** An action that needs valid settings. */
    private interface SettingsAction {
        int run(AgentSettings settings) throws Exception;
    }
}
