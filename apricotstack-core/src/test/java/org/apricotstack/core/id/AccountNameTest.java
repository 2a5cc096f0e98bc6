package org.apricotstack.core.id;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class AccountNameTest {

    private static boolean isHeaderCharacter(int character) {
        return character >= ' ' && character <= 0xff && character != 0x7f || character == '\t';
    }

    @Test
    void acceptsEachCharacterThatAHeaderCanCarryAndNoOther() {
        for (int character = 0; character <= Character.MAX_VALUE; character++) {
            assertThat(AccountName.isValid("a" + (char) character + "b"))
                    .as("character %d", character)
                    .isEqualTo(isHeaderCharacter(character));
        }
    }

    @Test
    void rejectsWhiteSpaceAtAnEnd() {
        for (char space : new char[] {' ', '\t'}) {
            assertThat(AccountName.isValid(space + "a")).isFalse();
            assertThat(AccountName.isValid("a" + space)).isFalse();
            assertThat(AccountName.isValid("" + space)).isFalse();
        }
    }

    @Test
    void acceptsALongName() {
        assertThat(AccountName.isValid("a b".repeat(100_000))).isTrue();
    }

    @Test
    void rejectsAnAbsentOrEmptyNameWithATypedError() {
        for (String name : new String[] {null, "", "\r\n"}) {
            assertThatExceptionOfType(ApricotException.class)
                    .isThrownBy(() -> new AccountName(name))
                    .satisfies(e -> assertThat(e.code()).isEqualTo(ErrorCode.INVALID_NAME));
        }
    }
}
