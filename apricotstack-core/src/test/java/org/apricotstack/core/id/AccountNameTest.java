package org.apricotstack.core.id;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class AccountNameTest {

    private static boolean isHeaderCharacter(int character) {
        boolean halfOfCharacter = character >= Character.MIN_SURROGATE && character <= Character.MAX_SURROGATE;
        return character >= ' ' && character != 0x7f && !halfOfCharacter || character == '\t';
    }

    /** Names with halves of characters would differ here and be the same in UTF-8. */
    @Test
    void acceptsEachCharacterWhoseBytesAHeaderCanCarryAndNoOther() {
        for (int character = 0; character <= Character.MAX_CODE_POINT; character++) {
            assertThat(AccountName.isValid("a" + Character.toString(character) + "b"))
                    .as("character %d", character)
                    .isEqualTo(isHeaderCharacter(character));
        }
    }

    @Test
    void acceptsEachCharacterOnItsOwnUnlessItIsWhiteSpace() {
        for (String name : new String[] {"\u2013", "\u682a", "\ud83d\ude00", "\u00a0", "\u3000", "\u0085"}) {
            assertThat(AccountName.isValid(name)).isTrue();
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
