package dev.wigeonward.standins.local;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wigeonward.common.http.AdminClient;
import dev.wigeonward.common.http.Json;
import dev.wigeonward.standins.local.LocalUpstream.Kind;

/** Deployment on loopback: stand-ins, upstreams with their agents, and entries, each as a separate process. */
public final class LocalDeployment implements AutoCloseable {
    private static final String HOST = "127.0.0.1:";
    private static final long READY_LIMIT_MILLIS = 60_000;
    private static final long POLL_MILLIS = 50;

    private final Path root;
    private final Path directory;
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final List<String> registrations = new ArrayList<>();

    private LocalDeployment(Path root, Path directory) {
        this.root = root;
        this.directory = directory;
    }

    /**
     * Starts a deployment and waits until all entries have rules and links.
     *
     * @param root root of the source tree with the built jars
     * @param directory for settings and logs
     * @param rules rules file to apply first
     * @param entries number of entries
     */
    public static LocalDeployment start(
            Path root, Path directory, Path rules, List<LocalUpstream> upstreams, int entries) throws IOException {
        LocalDeployment deployment = new LocalDeployment(root, directory);
        try {
            deployment.startAll(rules, upstreams, entries);
            return deployment;
        } catch (IOException | RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    private void startAll(Path rules, List<LocalUpstream> upstreams, int entries) throws IOException {
        startStandin("kv", List.of("kv"));
        startStandin("vms", List.of("vms"));
        for (LocalUpstream upstream : upstreams) {
            add(upstream);
        }
        for (int number = 1; number <= entries; number++) {
            startEntry("entry-" + number, "domain-" + number);
        }
        register();
        run(
                "apply",
                jar("entry"),
                List.of(
                        "apply",
                        rules.toString(),
                        "--store",
                        addresses.get("kv"),
                        "--by",
                        "test",
                        "--reason",
                        "first rules"));
        for (int number = 1; number <= entries; number++) {
            String admin = addresses.get("entry-" + number + "-admin");
            awaitCondition("entry " + number + " has all links", () -> linkCount(admin) >= upstreams.size());
            awaitCondition(
                    "entry " + number + " has rules",
                    () -> page(admin, "/admin/health").path("ready").asBoolean());
        }
    }

    /** Starts an upstream and its agent; entries find it after a call to {@link #register}. */
    public void add(LocalUpstream upstream) throws IOException {
        List<String> arguments = new ArrayList<>(List.of(upstream.kind() == Kind.ENGINE ? "engine" : "service"));
        arguments.addAll(upstream.arguments());
        startStandin(upstream.name(), arguments);
        startAgent(upstream);
    }

    private void startStandin(String name, List<String> arguments) throws IOException {
        int port = FreePorts.next();
        List<String> all = new ArrayList<>(arguments);
        all.addAll(List.of("--port", Integer.toString(port)));
        addresses.put(name, HOST + port);
        processes.put(name, ManagedProcess.start(name, jar("standins"), all, directory));
    }

    private void startAgent(LocalUpstream upstream) throws IOException {
        String name = upstream.agentName();
        addresses.put(name, HOST + FreePorts.next());
        addresses.put(name + "-admin", HOST + FreePorts.next());
        String settings =
                """
                [agent]
                id = %s
                failure_domain = %s
                link_address = %s
                admin_address = %s
                drain_limit_seconds = 15
                [upstream]
                kind = %s
                address = %s
                target = %s
                version = %s
                slots_count = %d
                prefill_tokens_per_second = 20000
                decode_tokens_per_second = %d
                [store]
                address = %s
                """
                        .formatted(
                                name,
                                upstream.failureDomain(),
                                addresses.get(name),
                                addresses.get(name + "-admin"),
                                upstream.kind() == Kind.ENGINE ? "engine" : "service",
                                addresses.get(upstream.name()),
                                upstream.target(),
                                upstream.version(),
                                upstream.slots(),
                                upstream.decodeTokensPerSecond(),
                                addresses.get("kv"));
        Path file = Files.writeString(directory.resolve(name + ".ini"), settings);
        processes.put(
                name,
                ManagedProcess.start(name, jar("agent"), List.of("serve", "--settings", file.toString()), directory));
        registrations.add(
                "%s,%s,%s,%s".formatted(name, upstream.target(), addresses.get(name), upstream.failureDomain()));
    }

    private void startEntry(String name, String failureDomain) throws IOException {
        addresses.put(name, HOST + FreePorts.next());
        addresses.put(name + "-admin", HOST + FreePorts.next());
        String settings =
                """
                [entry]
                id = %s
                failure_domain = %s
                callers_address = %s
                admin_address = %s
                drain_limit_seconds = 15
                [store]
                address = %s
                [vms]
                address = %s
                poll_millis = 300
                """
                        .formatted(
                                name,
                                failureDomain,
                                addresses.get(name),
                                addresses.get(name + "-admin"),
                                addresses.get("kv"),
                                addresses.get("vms"));
        Path file = Files.writeString(directory.resolve(name + ".ini"), settings);
        processes.put(
                name,
                ManagedProcess.start(name, jar("entry"), List.of("serve", "--settings", file.toString()), directory));
        registrations.add("%s,entry,%s,%s".formatted(name, addresses.get(name), failureDomain));
    }

    /** Replaces the address under which an agent is registered, for example by that of a proxy. */
    public void replaceRegisteredAddress(LocalUpstream upstream, String address) {
        String prefix = upstream.agentName() + ",";
        registrations.removeIf(vm -> vm.startsWith(prefix));
        registrations.add("%s%s,%s,%s".formatted(prefix, upstream.target(), address, upstream.failureDomain()));
    }

    /** Registers all agents and entries in the VM list. */
    public void register() throws IOException {
        List<String> arguments = new ArrayList<>(List.of("register", "--vms", addresses.get("vms")));
        registrations.forEach(vm -> arguments.addAll(List.of("--vm", vm)));
        run("register", jar("standins"), arguments);
    }

    /** Runs a command and returns its output; fails unless it exits with 0. */
    public String run(String name, Path jar, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-jar", jar.toString()));
        command.addAll(arguments);
        Path log = directory.resolve(name + ".log");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        try {
            if (!process.waitFor(READY_LIMIT_MILLIS, TimeUnit.MILLISECONDS) || process.exitValue() != 0) {
                throw new IOException(name + " failed:\n" + Files.readString(log));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            process.destroyForcibly();
        }
        return Files.readString(log);
    }

    /** Returns the path of the jar of a module. */
    public Path jar(String module) {
        return root.resolve(module).resolve("target").resolve("wigeonward-" + module + ".jar");
    }

    /** Returns a process by name. */
    public ManagedProcess process(String name) {
        return processes.get(name);
    }

    /** Returns the address of a process; admin addresses are named {@code NAME-admin}. */
    public String address(String name) {
        return addresses.get(name);
    }

    /** Returns the number of links of the entry behind an admin address. */
    public int linkCount(String admin) {
        return page(admin, "/admin/dump").path("upstreams").size();
    }

    /** Returns an admin page, or an empty object if the process does not answer. */
    public JsonNode page(String admin, String path) {
        return AdminClient.get(admin, path) instanceof AdminClient.Result.Page page
                ? page.content()
                : Json.mapper().createObjectNode();
    }

    /** Waits until a condition holds; fails after a bounded time. */
    public void awaitCondition(String description, BooleanSupplier condition) {
        for (long polls = READY_LIMIT_MILLIS / POLL_MILLIS; polls > 0; polls--) {
            if (condition.getAsBoolean()) {
                return;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
        throw new IllegalStateException(
                "condition was not met after waiting for " + READY_LIMIT_MILLIS + " ms: " + description);
    }

    @Override
    public void close() {
        processes.values().forEach(ManagedProcess::close);
    }
}
