package dev.wigeonward.measure;

/** A measurement that the command line runs by its name. */
public interface Measurement {
    /** Returns the name of the measurement on the command line. */
    String name();

    /** Returns a line that describes what is measured and in which units. */
    String description();

    /** Runs the measurement and returns its report; all random choices depend only on the seed. */
    Report run(long seed);
}
