package dev.wigeonward.common.store;

import java.util.Locale;

/** Kinds of calls to the key-value service, with their paths. */
enum CallType {
    RANGE("/v3/kv/range", false),
    TXN("/v3/kv/txn", true),
    LEASE_GRANT("/v3/lease/grant", true),
    LEASE_KEEP_ALIVE("/v3/lease/keepalive", true),
    LEASE_REVOKE("/v3/lease/revoke", true),
    WATCH("/v3/watch", false);

    private final String path;
    private final boolean write;

    CallType(String path, boolean write) {
        this.path = path;
        this.write = write;
    }

    String path() {
        return path;
    }

    /** Returns whether the call counts against the budget of writes. */
    boolean isWrite() {
        return write;
    }

    /** Returns the name of the counter of calls of this type. */
    String counterName() {
        return "store.calls." + name().toLowerCase(Locale.ROOT);
    }
}
