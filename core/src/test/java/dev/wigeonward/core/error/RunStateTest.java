package dev.wigeonward.core.error;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RunStateTest {
    @Test
    void listsThreeStates() {
        assertThat(RunState.values()).hasSize(3);
    }
}
