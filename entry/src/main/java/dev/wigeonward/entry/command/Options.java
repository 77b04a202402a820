package dev.wigeonward.entry.command;

import java.nio.file.Path;

import com.google.common.net.HostAndPort;
import dev.wigeonward.core.revision.RevisionStore;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The options that all operator commands share. */
class Options {
    private static final int DEFAULT_HISTORY_ENTRIES = 20;

    @Argument(metaVar = "FILE", usage = "rules file; rollback and history work without one")
    Path file;

    @Option(name = "--store", metaVar = "HOST:PORT", usage = "address of the key-value service")
    String store;

    @Option(name = "--json", usage = "print one JSON object")
    boolean json;

    @Option(name = "--help", usage = "print this help")
    boolean help;

    /** Options of {@code check}. */
    static final class Check extends Options {}

    /** Options of {@code diff}. */
    static final class Diff extends Options {
        @Option(name = "--base", metaVar = "N", usage = "revision to compare with; the newest if not given")
        Long base;
    }

    /** Options of {@code apply}. */
    static class Apply extends Options {
        @Option(
                name = "--base",
                metaVar = "N",
                usage = "revision that you last saw; the newest if not given, 0 if there is none")
        Long base;

        @Option(name = "--by", metaVar = "WHO", required = true, usage = "who applies the change")
        String by;

        @Option(name = "--reason", metaVar = "WHY", required = true, usage = "why it is applied")
        String reason;
    }

    /** Options of {@code rollback}. */
    static final class Rollback extends Apply {
        @Option(name = "--to", metaVar = "N", required = true, usage = "revision whose text comes back into force")
        Long to;
    }

    /** Options of {@code history}. */
    static final class History extends Options {
        @Option(name = "--entries", metaVar = "N", usage = "entries to show")
        int entries = DEFAULT_HISTORY_ENTRIES;

        @Option(name = "--from", metaVar = "N", usage = "newest revision to show; the newest of all if not given")
        long from = Long.MAX_VALUE;
    }

    /** Returns the store at the address that the command line gives. */
    RevisionStore connect(Environment environment) {
        if (store == null) {
            throw new UsageException("--store is required, expected HOST:PORT");
        }
        try {
            HostAndPort address = HostAndPort.fromString(store);
            return environment.connector().connect(address.getHost(), address.getPort());
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw new UsageException("--store is '" + store + "', expected HOST:PORT", e);
        }
    }

    Path requireFile() {
        if (file == null) {
            throw new UsageException("the argument FILE is required, expected a rules file");
        }
        return file;
    }
}
