package dev.wigeonward.standins.local;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports on loopback for processes that are started soon. They lie below the range from which the system takes the ports
 * of outgoing connections: a port from that range may be in use again before its process listens.
 */
public final class FreePorts {
    private static final int FIRST = 10_000;
    private static final int COUNT = 20_000;
    /** Processes that choose at the same time start at different places. */
    private static final int STRIDE = 137;

    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % COUNT));

    private FreePorts() {}

    /** Returns a port on which nobody listens now, and which this process has not returned for a long time. */
    public static int next() {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Somebody listens there; the next one is tried.
                continue;
            }
        }
        throw new IllegalStateException("no port is free from " + FIRST + " to " + (FIRST + COUNT - 1));
    }
}
