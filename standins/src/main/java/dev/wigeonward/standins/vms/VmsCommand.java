package dev.wigeonward.standins.vms;

import java.net.InetSocketAddress;

import dev.wigeonward.platform.clock.MonotonicClock;
import dev.wigeonward.standins.http.HttpStandin;
import org.kohsuke.args4j.Option;

/** Command line of the list of VMs. */
public final class VmsCommand {
    @Option(name = "--host", metaVar = "IP", usage = "numeric address to listen on")
    private String host = "127.0.0.1";

    @Option(name = "--port", metaVar = "N", usage = "port to listen on, 0 for a free one")
    private int port = 2380;

    @Option(name = "--lag-millis", metaVar = "N", usage = "time until a change becomes visible")
    private long lagMillis;

    /** Serves until the process ends; prints the port once it listens. */
    public void run() throws InterruptedException {
        try (VmsStandin standin = VmsStandin.start(new InetSocketAddress(host, port), MonotonicClock.start())) {
            standin.setLag(lagMillis);
            System.out.println("vms listens on port " + standin.port());
            HttpStandin.runUntilInterrupted();
        }
    }
}
