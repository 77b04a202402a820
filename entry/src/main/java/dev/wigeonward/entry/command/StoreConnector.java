package dev.wigeonward.entry.command;

import dev.wigeonward.core.revision.RevisionStore;

/** Opens the store that an operator names. */
@FunctionalInterface
public interface StoreConnector {
    /** Returns the store at the address; does not wait for a connection and fails only on an address of wrong form. */
    RevisionStore connect(String host, int port);
}
