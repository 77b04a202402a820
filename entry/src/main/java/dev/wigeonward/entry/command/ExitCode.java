package dev.wigeonward.entry.command;

/** Exit codes of the operators' commands. */
public enum ExitCode {
    OK(0),
    FAILED(1),
    USAGE(2),
    CONFLICT(3);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** Returns the code that the process exits with. */
    public int value() {
        return value;
    }
}
