package dev.wigeonward.entry.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import dev.wigeonward.common.command.CommandLines;
import dev.wigeonward.common.http.AdminClient;
import dev.wigeonward.common.http.Json;
import org.kohsuke.args4j.Option;

/** The {@code status} command, which prints revisions in force, refusals, spend and rollouts of entries. */
public final class StatusCommand {
    @Option(
            name = "--entries",
            metaVar = "HOST:PORT[,HOST:PORT...]",
            required = true,
            usage = "admin addresses of the entries")
    private String entries;

    @Option(name = "--json", usage = "print one JSON object")
    private boolean json;

    private StatusCommand() {}

    /** Runs the command and returns the exit code: 0 if all entries answered, 1 if not, 2 for wrong usage. */
    public static int run(String[] arguments, PrintStream out, PrintStream err) {
        StatusCommand command = new StatusCommand();
        OptionalInt exitCode = CommandLines.read(command, arguments, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        return command.report(out, err);
    }

    private int report(PrintStream out, PrintStream err) {
        Map<String, JsonNode> pages = new TreeMap<>();
        boolean complete = true;
        for (String address : Splitter.on(',').trimResults().omitEmptyStrings().split(entries)) {
            AdminClient.Result result = AdminClient.get(address, "/admin/status");
            if (result instanceof AdminClient.Result.Page page) {
                pages.put(page.content().path("id").asText(address), page.content());
            } else {
                complete = false;
                err.println(((AdminClient.Result.Failed) result).reason());
            }
        }
        if (json) {
            ObjectNode all = JsonNodeFactory.instance.objectNode();
            pages.forEach(all::set);
            out.print(new String(Json.writePretty(all), StandardCharsets.UTF_8));
        } else {
            text(pages).forEach(out::println);
        }
        return complete ? ExitCode.OK.value() : ExitCode.FAILED.value();
    }

    private static List<String> text(Map<String, JsonNode> pages) {
        List<String> lines = new ArrayList<>();
        lines.add("revision in force:");
        TextTable revisions = TextTable.withColumns("process", "revision", "reported by");
        pages.forEach((id, page) -> {
            revisions.addRow(id, page.path("revision").asText(), id);
            page.path("revision_by_agent")
                    .fields()
                    .forEachRemaining(agent ->
                            revisions.addRow(agent.getKey(), agent.getValue().asText(), id));
        });
        lines.addAll(revisions.lines());
        lines.add("refusals and failures:");
        TextTable refusals = TextTable.withColumns("entry", "kind", "count");
        pages.forEach((id, page) -> page.path("refusals")
                .fields()
                .forEachRemaining(kind ->
                        refusals.addRow(id, kind.getKey(), kind.getValue().asText())));
        lines.addAll(refusals.lines());
        lines.add("spend in this period, in millionths:");
        lines.addAll(spend(pages).lines());
        lines.add("version moves:");
        lines.addAll(rollouts(pages).lines());
        return lines;
    }

    /** Returns the spend table of the first entry, whose totals include those of all entries. */
    private static TextTable spend(Map<String, JsonNode> pages) {
        TextTable table = TextTable.withColumns("workspace", "tokens", "cost", "committed", "behind pace");
        pages.values().stream().findFirst().ifPresent(page -> page.path("spend")
                .fields()
                .forEachRemaining(workspace -> table.addRow(
                        workspace.getKey(),
                        workspace.getValue().path("tokens").asText(),
                        workspace.getValue().path("cost_micros").asText(),
                        workspace.getValue().path("committed_micros").asText(),
                        workspace.getValue().path("behind_pace").asText())));
        return table;
    }

    private static TextTable rollouts(Map<String, JsonNode> pages) {
        TextTable table =
                TextTable.withColumns("model", "from", "to", "phase", "share", "on time", "reason", "reported by");
        pages.forEach((id, page) -> {
            boolean controller = page.path("controller_fencing_number").asLong() > 0;
            Iterator<JsonNode> rollouts = page.path("moves").elements();
            while (controller && rollouts.hasNext()) {
                JsonNode rollout = rollouts.next();
                table.addRow(
                        rollout.path("model").asText(),
                        rollout.path("oldVersion").asText(),
                        rollout.path("newVersion").asText(),
                        rollout.path("phase").asText(),
                        rollout.path("shareBasisPoints").asInt() / 100.0 + "%",
                        rollout.path("onTime").asText(),
                        rollout.path("reason").asText(),
                        id);
            }
        });
        return table;
    }
}
