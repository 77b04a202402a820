package dev.wigeonward.entry.caller;

import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.base.Preconditions;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.EarlyConnectionAcceptor;

/** Refuses callers' connections above a number, so that those that are open keep working. */
public final class ConnectionLimit implements EarlyConnectionAcceptor {
    private final int maxConnections;
    private final AtomicInteger open = new AtomicInteger();

    /** Returns a limit that counts no connection yet. */
    public ConnectionLimit(int maxConnections) {
        Preconditions.checkArgument(maxConnections > 0, "maxConnections is %s", maxConnections);
        this.maxConnections = maxConnections;
    }

    /** The interface still declares this method; the server calls the other one. */
    @Override
    @SuppressWarnings("deprecation")
    public Completable accept(ConnectionInfo info) {
        return Completable.completed();
    }

    /** Counts the connection until it is closed, or refuses it. */
    @Override
    public Completable accept(ConnectionContext context) {
        if (open.incrementAndGet() > maxConnections) {
            open.decrementAndGet();
            return Completable.failed(new IllegalStateException("too many connections"));
        }
        context.onClose().afterFinally(open::decrementAndGet).subscribe();
        return Completable.completed();
    }
}
