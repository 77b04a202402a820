package dev.wigeonward.verification.process;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

import com.google.common.net.HostAndPort;

/** TCP proxy that can drop all further bytes of its open connections while new connections work. */
final class SilencingProxy implements Closeable {
    private static final int BUFFER_BYTES = 8_192;

    private final HostAndPort target;
    private final ServerSocket server;
    private final List<Connection> connections = new ArrayList<>();

    SilencingProxy(String target) throws IOException {
        this.target = HostAndPort.fromString(target);
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        thread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Drops all further bytes of the connections that are open now, without closing them. */
    synchronized void silenceOpenConnections() {
        connections.forEach(connection -> connection.silent = true);
    }

    synchronized int connections() {
        return connections.size();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Connection connection = new Connection(server.accept(), new Socket(target.getHost(), target.getPort()));
                synchronized (this) {
                    connections.add(connection);
                }
                thread(() -> connection.pump(connection.entrySide, connection.agentSide));
                thread(() -> connection.pump(connection.agentSide, connection.entrySide));
            } catch (IOException e) {
                // The agent is down or the proxy is closed; the entry reconnects.
                continue;
            }
        }
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private static final class Connection {
        private final Socket entrySide;
        private final Socket agentSide;
        private volatile boolean silent;

        private Connection(Socket entrySide, Socket agentSide) {
            this.entrySide = entrySide;
            this.agentSide = agentSide;
        }

        private void pump(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    if (!silent) {
                        out.write(buffer, 0, read);
                    }
                }
                if (!silent) {
                    to.close();
                }
            } catch (IOException e) {
                closeQuietly(to);
            }
        }

        private void closeQuietly(Socket socket) {
            if (silent) {
                return;
            }
            try {
                socket.close();
            } catch (IOException e) {
                // The socket needs no further cleanup.
                return;
            }
        }
    }
}
