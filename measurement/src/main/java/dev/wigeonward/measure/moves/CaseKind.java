package dev.wigeonward.measure.moves;

/** Kind of a case, by how the new version is bad. */
enum CaseKind {
    GOOD("good, with noise"),
    FAILS_AT_ONCE("fails at once"),
    FAILS_LATER("fails later"),
    SLOW_AT_ONCE("slow at once"),
    SLOW_LATER("slow later"),
    BAD_UNDER_LOAD("bad only under load"),
    BAD_ON_ONE_ROUTE("bad only on one route");

    private final String label;

    CaseKind(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    boolean isBad() {
        return this != GOOD;
    }
}
