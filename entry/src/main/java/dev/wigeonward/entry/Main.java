package dev.wigeonward.entry;

import java.util.Arrays;

/** Command line of the entry binary. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs a command and exits with its code. */
    public static void main(String[] arguments) throws Exception {
        if (arguments.length > 0 && arguments[0].equals("serve")) {
            int code = ServeCommand.run(Arrays.copyOfRange(arguments, 1, arguments.length), System.out, System.err);
            System.exit(code);
        }
        System.err.println("usage: wigeonward-entry serve --settings FILE");
        System.exit(EXIT_USAGE);
    }
}
