package dev.wigeonward.standins.kv;

import java.net.InetSocketAddress;

import dev.wigeonward.platform.clock.MonotonicClock;
import dev.wigeonward.standins.http.HttpStandin;
import org.kohsuke.args4j.Option;

/** Command line of the key-value service. */
public final class KvCommand {
    @Option(name = "--host", metaVar = "IP", usage = "numeric address to listen on")
    private String host = "127.0.0.1";

    @Option(name = "--port", metaVar = "N", usage = "port to listen on, 0 for a free one")
    private int port = 2379;

    /** Serves until the process ends; prints the port once it listens. */
    public void run() throws InterruptedException {
        try (KvStandin standin = KvStandin.start(new InetSocketAddress(host, port), MonotonicClock.start())) {
            System.out.println("kv listens on port " + standin.port());
            HttpStandin.runUntilInterrupted();
        }
    }
}
