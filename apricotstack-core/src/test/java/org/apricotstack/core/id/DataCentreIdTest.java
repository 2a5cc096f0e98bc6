package org.apricotstack.core.id;

import java.nio.charset.StandardCharsets;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class DataCentreIdTest {

    private static final int MAX_BYTES = 200;

    private static boolean endsOrBreaksALine(int character) {
        return Character.isISOControl(character) || character == 0x2028 || character == 0x2029;
    }

    @Test
    void acceptsEachCharacterButControlCharactersLineSeparatorsAndHalvesOfCharacters() {
        for (int character = 0; character <= Character.MAX_VALUE; character++) {
            boolean half = Character.isSurrogate((char) character);
            assertThat(DataCentreId.isValid("a" + (char) character + "b"))
                    .as("character %d", character)
                    .isEqualTo(!half && !endsOrBreaksALine(character));
        }
    }

    /** Guards against names that messages between routers do not carry unchanged. */
    @ParameterizedTest
    @ValueSource(strings = {"Austin Hall", " ", "Derby\u00e9", "\u4e1c\u4eac", "\ud83c\udf51"})
    void isTheSameAfterUtf8(String name) {
        byte[] bytes = new DataCentreId(name).value().getBytes(StandardCharsets.UTF_8);
        assertThat(new String(bytes, StandardCharsets.UTF_8)).isEqualTo(name);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "\u00e9", "\u4e1c"})
    void acceptsNamesAsLongAsAKeyOfThePlatform(String character) {
        int most = MAX_BYTES / character.getBytes(StandardCharsets.UTF_8).length;
        assertThat(DataCentreId.isValid(character.repeat(most))).isTrue();
        assertThat(DataCentreId.isValid(character.repeat(most + 1))).isFalse();
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "a\nb"})
    void rejectsOtherNamesWithATypedError(String name) {
        assertThatExceptionOfType(ApricotException.class)
                .isThrownBy(() -> new DataCentreId(name))
                .satisfies(e -> assertThat(e.code()).isEqualTo(ErrorCode.INVALID_NAME));
    }
}
