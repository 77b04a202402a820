package dev.wigeonward.wire;

import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Hello;

/** An open link to a peer. Thread-safe. */
public interface Link {
    /** Returns a number that no other link of this process has or had. */
    long number();

    /** Returns the address that was connected to, or the peer's address for an accepted link. */
    String remoteName();

    /** Returns what the peer said of itself. */
    Hello peer();

    /** Sends a frame; frames are delivered in order or the link goes down. */
    void send(Frame frame);

    /** Returns whether the peer takes frames as fast as they are sent. */
    boolean writable();

    /** Closes the link. */
    void close();
}
