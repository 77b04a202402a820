package dev.wigeonward.agent.control;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** Reads the fencing number of the controller lease from the store. */
@FunctionalInterface
public interface FencingNumberReader {
    /**
     * Reads the number and calls back on any thread, with empty if the store did not answer and 0 without a controller.
     */
    void read(Consumer<OptionalLong> answer);
}
