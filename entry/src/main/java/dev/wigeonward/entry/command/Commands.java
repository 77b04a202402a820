package dev.wigeonward.entry.command;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Supplier;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Parses and runs the operator commands on rules. */
public final class Commands {
    private static final int USAGE_WIDTH = 100;
    private static final Map<String, Command<?>> COMMANDS = new TreeMap<>(Map.of(
            "check", new Command<>("FILE", Options.Check::new, ReadCommands::check),
            "diff", new Command<>("FILE", Options.Diff::new, ReadCommands::diff),
            "history", new Command<>("[FILE]", Options.History::new, ReadCommands::history),
            "apply",
                    new Command<>("FILE", Options.Apply::new, (options, environment) -> new ApplyCommand(
                                    options.connect(environment), environment)
                            .apply(options)),
            "rollback",
                    new Command<>("[FILE]", Options.Rollback::new, (options, environment) -> new RollbackCommand(
                                    options.connect(environment), environment)
                            .rollback(options))));

    /** A command: its positional arguments as shown in the usage text, its options and its action. */
    private record Command<O extends Options>(
            String arguments, Supplier<O> options, BiFunction<O, Environment, CommandReport> action) {}

    private Commands() {}

    /** Returns the names of all commands in alphabetical order. */
    public static List<String> names() {
        return List.copyOf(COMMANDS.keySet());
    }

    /**
     * Runs the command that the first argument names and returns the exit code: 0 for success, 1 for failure, 2 for
     * wrong usage, 3 for a conflict with another operator.
     */
    public static int run(String[] arguments, StoreConnector connector, PrintStream out, PrintStream err) {
        return run(arguments, Environment.real(connector), out, err);
    }

    static int run(String[] arguments, Environment environment, PrintStream out, PrintStream err) {
        Command<?> command = arguments.length == 0 ? null : COMMANDS.get(arguments[0]);
        if (command == null) {
            err.println("expected a command, one of " + String.join(", ", names()) + "; each has --help");
            return ExitCode.USAGE.value();
        }
        String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
        return run(arguments[0], command, rest, environment, out, err);
    }

    private static <O extends Options> int run(
            String name,
            Command<O> command,
            String[] arguments,
            Environment environment,
            PrintStream out,
            PrintStream err) {
        O options = command.options().get();
        CmdLineParser parser =
                new CmdLineParser(options, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
        if (Arrays.asList(arguments).contains("--help")) {
            printUsage(name, command, parser, out);
            return ExitCode.OK.value();
        }
        try {
            parser.parseArgument(arguments);
            CommandReport report = command.action().apply(options, environment);
            print(report, name, options.json, report.exitCode() == ExitCode.OK || options.json ? out : err);
            return report.exitCode().value();
        } catch (CmdLineException | UsageException e) {
            err.println(e.getMessage());
            printUsage(name, command, parser, err);
            return ExitCode.USAGE.value();
        }
    }

    private static void printUsage(String name, Command<?> command, CmdLineParser parser, PrintStream to) {
        to.println("wigeonward-entry " + name + " " + command.arguments() + " [options]");
        parser.printUsage(to);
    }

    private static void print(CommandReport report, String name, boolean json, PrintStream to) {
        if (json) {
            to.println(report.json().put("command", name).toPrettyString());
        } else {
            report.lines().forEach(to::println);
        }
    }
}
