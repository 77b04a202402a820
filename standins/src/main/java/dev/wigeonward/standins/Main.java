package dev.wigeonward.standins;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;

import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.standins.demo.DemoCommand;
import dev.wigeonward.standins.engine.EngineEmulator;
import dev.wigeonward.standins.engine.EngineProfile;
import dev.wigeonward.standins.kv.KvStandin;
import dev.wigeonward.standins.service.PlainService;
import dev.wigeonward.standins.vms.RegisterCommand;
import dev.wigeonward.standins.vms.VmsStandin;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Command line that starts a stand-in, the demo or the registration of VMs. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    @Argument(
            metaVar = "KIND",
            required = true,
            usage = "engine, service, kv or vms; demo sends requests, register adds a VM")
    private String kind;

    @Option(name = "--port", required = true, usage = "port on 127.0.0.1")
    private int port;

    @Option(name = "--model", usage = "engine: model served")
    private String model = "advisory";

    @Option(name = "--version", usage = "engine: version served")
    private String version = "v1";

    @Option(name = "--slots", usage = "engine: streams that run at once")
    private int slots = 8;

    @Option(name = "--prefill", usage = "engine: prompt tokens per second of one stream")
    private int prefillTokensPerSecond = 20_000;

    @Option(name = "--decode", usage = "engine: generated tokens per second of one stream")
    private int decodeTokensPerSecond = 200;

    @Option(name = "--report-lag-millis", usage = "engine: age of load reports and cache events")
    private long reportLagMillis = 500;

    @Option(name = "--cached-prefixes", usage = "engine: prompt prefixes kept")
    private int cachedPrefixes = 256;

    @Option(name = "--crash-marker", usage = "engine: text in a prompt that ends the process")
    private String crashMarker = "";

    @Option(name = "--checks-fencing", usage = "engine: refuse orders with an old fencing number")
    private boolean checksFencing;

    @Option(name = "--load-millis", usage = "engine: time to load a version")
    private long loadMillis;

    @Option(name = "--lag-millis", usage = "vms: time until a change becomes visible")
    private long lagMillis;

    @Option(name = "--delay-millis", usage = "service: time before each answer")
    private long delayMillis;

    private Main() {}

    /** Runs a command; a stand-in runs until its process is ended. */
    public static void main(String[] arguments) throws Exception {
        String first = arguments.length == 0 ? "" : arguments[0];
        String[] rest = arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
        if (first.equals("demo")) {
            DemoCommand demo = parse(new DemoCommand(), rest);
            System.exit(demo.run(System.out));
        }
        if (first.equals("register")) {
            System.exit(parse(new RegisterCommand(), rest).run());
        }
        Main main = parse(new Main(), arguments);
        main.start();
        System.out.println("ready");
        new CountDownLatch(1).await();
    }

    private static <T> T parse(T command, String[] arguments) {
        CmdLineParser parser = new CmdLineParser(command);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE);
        }
        return command;
    }

    private void start() throws Exception {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        switch (kind) {
            case "engine" -> EngineEmulator.start(profile(), address, MonotonicClock.start());
            case "service" -> PlainService.start(address, Duration.ofMillis(delayMillis));
            case "kv" -> KvStandin.start(address, MonotonicClock.start());
            case "vms" -> VmsStandin.start(address, MonotonicClock.start()).setLag(lagMillis);
            default -> {
                System.err.println("KIND is " + kind + "; expected engine, service, kv, vms, demo or register");
                System.exit(EXIT_USAGE);
            }
        }
    }

    private EngineProfile profile() {
        return new EngineProfile(
                model,
                version,
                slots,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                cachedPrefixes,
                reportLagMillis,
                crashMarker,
                checksFencing,
                loadMillis);
    }
}
