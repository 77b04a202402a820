package dev.wigeonward.entry.command;

import dev.wigeonward.core.revision.RevisionStore;

/** Connects to the store at an address that an operator gives. */
@FunctionalInterface
public interface StoreConnector {
    /** Returns the store at the address. Does not wait for a connection, and fails only for a malformed address. */
    RevisionStore connect(String host, int port);
}
