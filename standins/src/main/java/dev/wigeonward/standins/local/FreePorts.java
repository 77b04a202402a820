package dev.wigeonward.standins.local;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates loopback ports for processes about to start. The ports lie below the range that the system uses for
 * outgoing connections: a port from that range could be in use again before the process listens on it.
 */
public final class FreePorts {
    private static final int FIRST = 10_000;
    private static final int COUNT = 20_000;
    /** Distance between the first ports of processes with consecutive ids, so that concurrent ones rarely collide. */
    private static final int STRIDE = 137;

    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % COUNT));

    private FreePorts() {}

    /** Returns a port that is free now and that this process has not returned recently. */
    public static int next() {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use; the next one is tried.
                continue;
            }
        }
        throw new IllegalStateException("no port is free from " + FIRST + " to " + (FIRST + COUNT - 1));
    }
}
