package dev.wigeonward.entry;

import java.io.PrintStream;
import java.util.Arrays;

import dev.wigeonward.common.command.CommandLines;
import dev.wigeonward.common.command.DumpCommand;
import dev.wigeonward.common.command.FollowCommand;
import dev.wigeonward.entry.command.Commands;
import dev.wigeonward.entry.command.StatusCommand;

/** Command line of the entry binary, which runs the entry process and the operator commands. */
public final class Main {
    private static final String USAGE =
            """
            wigeonward-entry COMMAND [options]; each command has --help

              serve             run the entry process
              check-settings    check a settings file
              example-settings  print a documented settings file
              check             check a rules file
              diff              compare a rules file with the revision in force
              apply             make a rules file the next revision
              history           list the revisions
              rollback          make the text of an old revision the next one
              status            print revisions, refusals, spend and version moves of all entries
              dump              print the state of one process
              follow            trace one request through the logs of several processes
              help              print this text
            """;

    private Main() {}

    /** Runs a command and exits with its code: 0 done, 1 failed, 2 wrong usage, 3 conflict. */
    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments, System.out, System.err));
    }

    static int run(String[] arguments, PrintStream out, PrintStream err) throws Exception {
        String command = arguments.length == 0 ? "help" : arguments[0];
        String[] rest = arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
        return switch (command) {
            case "serve", "check-settings" -> ServeCommand.run(command, rest, out, err);
            case "example-settings" -> {
                out.print(EntrySettings.declaration().exampleFile());
                yield CommandLines.EXIT_OK;
            }
            case "status" -> StatusCommand.run(rest, out, err);
            case "dump" -> DumpCommand.run(rest, out, err);
            case "follow" -> FollowCommand.run(rest, out, err);
            case "help", "--help" -> {
                out.print(USAGE);
                yield CommandLines.EXIT_OK;
            }
            default -> Commands.run(arguments, OperatorStore::connect, out, err);
        };
    }
}
