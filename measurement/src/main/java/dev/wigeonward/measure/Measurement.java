package dev.wigeonward.measure;

/** One named measurement. */
public interface Measurement {
    /** Returns the name given on the command line. */
    String name();

    /** Returns one line that says what is measured and in which units. */
    String description();

    /** Returns the result of a run whose random choices all come from the seed. */
    Report run(long seed);
}
