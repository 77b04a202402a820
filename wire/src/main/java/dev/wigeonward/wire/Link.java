package dev.wigeonward.wire;

import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Hello;

/** Open connection to a peer that carries frames. Thread-safe. */
public interface Link {
    /** Returns the id of this link, which is unique among all links that this process has opened or accepted. */
    long id();

    /** Returns the address that this process connected to, or the remote address of an accepted link. */
    String remoteAddress();

    /** Returns the greeting of the peer, which is the first frame on a link. */
    Hello peerHello();

    /** Sends a frame. Frames are delivered in order, or the link goes down. */
    void send(Frame frame);

    /** Returns whether the unsent output is below the limit, that is, whether the peer keeps up with the frames. */
    boolean isWritable();

    /** Closes the link. */
    void close();
}
