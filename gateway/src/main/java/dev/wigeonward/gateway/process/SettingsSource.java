package dev.wigeonward.gateway.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import dev.wigeonward.common.settings.SettingsResult;

/** A settings file that is read again and again. Not thread-safe. */
public final class SettingsSource {
    private final Path file;
    private String lastText;

    private SettingsSource(Path file, String lastText) {
        this.file = file;
        this.lastText = lastText;
    }

    /**
     * Returns a source that takes what the file says now as known.
     *
     * @throws IOException if the file cannot be read
     */
    public static SettingsSource of(Path file) throws IOException {
        return new SettingsSource(file, Files.readString(file));
    }

    /** Returns what has become of the file since the last call. */
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
        SettingsResult result = GatewaySettings.declaration().check(file.toString(), text);
        if (result instanceof SettingsResult.Invalid invalid) {
            return new Reading.Invalid(invalid.problems().toString());
        }
        return new Reading.Changed(GatewaySettings.of(((SettingsResult.Valid) result).settings()));
    }

    /** What has become of the file. */
    sealed interface Reading {
        /** It says what it said. */
        record Unchanged() implements Reading {}

        /** It cannot be read, or not be used. */
        record Invalid(String reason) implements Reading {}

        /** It holds other settings. */
        record Changed(GatewaySettings settings) implements Reading {}
    }
}
