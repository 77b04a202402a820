package dev.wigeonward.core.revision;

/** The decisions that keep a wrong revision out; a seam for tests that check what happens without one of them. */
interface AdoptionRules {
    AdoptionRules STANDARD = new AdoptionRules() {
        @Override
        public boolean isHigher(long numberInForce, long candidate) {
            return candidate > numberInForce;
        }

        @Override
        public boolean verifies(Revision revision) {
            return revision.verifies();
        }

        @Override
        public boolean isDisputed(int hashesOfOneNumber) {
            return hashesOfOneNumber > 1;
        }
    };

    boolean isHigher(long numberInForce, long candidate);

    boolean verifies(Revision revision);

    boolean isDisputed(int hashesOfOneNumber);
}
