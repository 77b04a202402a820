package dev.wigeonward.common.command;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.OptionalInt;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Reads command lines the same way for all commands. */
public final class CommandLines {
    /** Exit code of a command that did what it was asked for. */
    public static final int EXIT_OK = 0;

    /** Exit code of a command that failed. */
    public static final int EXIT_FAILED = 1;

    /** Exit code of a command that was used wrongly. */
    public static final int EXIT_USAGE = 2;

    private static final String HELP = "--help";

    private CommandLines() {}

    /**
     * Returns empty if the options were read and the command may run, otherwise the exit code: the usage was printed,
     * on request or because the arguments are wrong.
     *
     * @param command object with the annotated options
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
