package dev.wigeonward.gateway.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import dev.wigeonward.common.settings.SettingsResult;

/** Settings file that is polled for changes. Not thread-safe. */
public final class WatchedSettingsFile {
    private final Path file;
    private String lastText;

    private WatchedSettingsFile(Path file, String lastText) {
        this.file = file;
        this.lastText = lastText;
    }

    /**
     * Returns a settings file whose first {@link #read} reports whether the file differs from its present content.
     *
     * @throws IOException if the file cannot be read
     */
    public static WatchedSettingsFile of(Path file) throws IOException {
        return new WatchedSettingsFile(file, Files.readString(file));
    }

    /** Returns whether the file has changed since the last call, and its new settings. */
    Reading read() {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            return new Reading.Invalid(e.toString());
        }
        if (text.equals(lastText)) {
            return new Reading.Unchanged();
        }
        lastText = text;
        SettingsResult result = GatewaySettings.declaration().parse(file.toString(), text);
        if (result instanceof SettingsResult.Invalid invalid) {
            return new Reading.Invalid(invalid.problems().toString());
        }
        return new Reading.Changed(GatewaySettings.of(((SettingsResult.Valid) result).settings()));
    }

    /** Result of a read of the file. */
    sealed interface Reading {
        /** The content is the same as at the last read. */
        record Unchanged() implements Reading {}

        /** The file cannot be read, or its settings are invalid. */
        record Invalid(String reason) implements Reading {}

        /** The file has new, valid settings. */
        record Changed(GatewaySettings settings) implements Reading {}
    }
}
