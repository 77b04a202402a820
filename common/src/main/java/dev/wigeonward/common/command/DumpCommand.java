package dev.wigeonward.common.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;

import dev.wigeonward.common.http.AdminClient;
import dev.wigeonward.common.http.Json;
import org.kohsuke.args4j.Option;

/** Command of both binaries that prints an admin page of one process. */
public final class DumpCommand {

    @Option(name = "--address", metaVar = "HOST:PORT", required = true, usage = "admin address of the process")
    private String address;

    @Option(name = "--page", metaVar = "NAME", usage = "dump, status, metrics or health")
    private String page = "dump";

    private DumpCommand() {}

    /** Prints the page and returns the exit code: 0 on success, 1 if the page cannot be read, 2 for wrong usage. */
    public static int run(String[] arguments, PrintStream out, PrintStream err) {
        DumpCommand command = new DumpCommand();
        OptionalInt exitCode = CommandLines.read(command, arguments, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        AdminClient.Result result = AdminClient.get(command.address, "/admin/" + command.page);
        if (result instanceof AdminClient.Result.Page found) {
            out.print(new String(Json.writePretty(found.content()), StandardCharsets.UTF_8));
            return CommandLines.EXIT_OK;
        }
        err.println(((AdminClient.Result.Failed) result).reason());
        return CommandLines.EXIT_FAILED;
    }
}
