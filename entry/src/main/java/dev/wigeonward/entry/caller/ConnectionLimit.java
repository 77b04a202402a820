package dev.wigeonward.entry.caller;

import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.base.Preconditions;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.EarlyConnectionAcceptor;

/** Refuses connections of callers above a maximum, so that open connections keep working under a flood. */
public final class ConnectionLimit implements EarlyConnectionAcceptor {
    private final int maxConnections;
    private final AtomicInteger open = new AtomicInteger();

    /** Creates a limit without open connections. */
    public ConnectionLimit(int maxConnections) {
        Preconditions.checkArgument(maxConnections > 0, "maxConnections is %s, expected more than 0", maxConnections);
        this.maxConnections = maxConnections;
    }

    /** Accepts every connection. The interface requires this deprecated method; the server calls the other overload. */
    @Override
    @SuppressWarnings("deprecation")
    public Completable accept(ConnectionInfo info) {
        return Completable.completed();
    }

    /** Counts the connection until it is closed, or refuses it if the maximum is reached. */
    @Override
    public Completable accept(ConnectionContext context) {
        if (open.incrementAndGet() > maxConnections) {
            open.decrementAndGet();
            return Completable.failed(
                    new IllegalStateException("connection refused: " + maxConnections + " connections are open"));
        }
        context.onClose().afterFinally(open::decrementAndGet).subscribe();
        return Completable.completed();
    }
}
