package org.apricotstack.core.id;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PromptPartIdTest {

    @ParameterizedTest
    @ValueSource(strings = {"0", "5c1e07a2", "ffffffffffffffff"})
    void keepsAnIdOfUpTo64Bits(String text) {
        assertThat(PromptPartId.of(text)).hasToString(text);
    }

    @Test
    void distinguishesIdsOfAnyForm() {
        assertThat(PromptPartId.of("1ffffffffffffffff"))
                .isNotEqualTo(PromptPartId.of("2ffffffffffffffff"))
                .isNotEqualTo(PromptPartId.of("ffffffffffffffff"));
        assertThat(PromptPartId.of("chapter-1")).isNotEqualTo(PromptPartId.of("chapter-2"));
    }
}
