package org.apricotstack.core.id;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class UpstreamIdTest {

    private static final int MAX_LENGTH = 200;

    @Test
    void acceptsNamesAsLongAsAKeyOfThePlatform() {
        String longest = "i".repeat(MAX_LENGTH);
        assertThat(new UpstreamId(longest).value()).isEqualTo(longest);
        assertThat(UpstreamId.isValid(longest)).isTrue();
        assertThat(UpstreamId.isValid(longest + "i")).isFalse();
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "a b", "a/b", "\u00e9", "a\r\nb"})
    void rejectsNamesOfOtherCharactersWithATypedError(String name) {
        assertThat(UpstreamId.isValid(name)).isFalse();
        assertThatExceptionOfType(ApricotException.class)
                .isThrownBy(() -> new UpstreamId(name))
                .satisfies(e -> assertThat(e.code()).isEqualTo(ErrorCode.INVALID_NAME));
    }
}
