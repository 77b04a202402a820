package dev.wigeonward.common.command;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.OptionalInt;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Parser of command lines that all commands share. */
public final class CommandLines {
    /** Exit code of a command that succeeded. */
    public static final int EXIT_OK = 0;

    /** Exit code of a command that failed. */
    public static final int EXIT_FAILED = 1;

    /** Exit code of a command with invalid arguments. */
    public static final int EXIT_USAGE = 2;

    private static final String HELP = "--help";

    private CommandLines() {}

    /**
     * Parses the arguments into the options of a command. Returns empty if the command can run; otherwise prints the
     * usage, on request or because the arguments are invalid, and returns the exit code.
     *
     * @param command object whose annotated fields receive the options
     */
    public static OptionalInt read(Object command, String[] arguments, PrintStream out, PrintStream err) {
        CmdLineParser parser = new CmdLineParser(command);
        if (Arrays.asList(arguments).contains(HELP)) {
            parser.printUsage(out);
            return OptionalInt.of(EXIT_OK);
        }
        try {
            parser.parseArgument(arguments);
            return OptionalInt.empty();
        } catch (CmdLineException e) {
            err.println(e.getMessage());
            parser.printUsage(err);
            return OptionalInt.of(EXIT_USAGE);
        }
    }
}
