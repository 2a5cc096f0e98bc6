package org.apricotstack.core.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.apricotstack.core.id.AccountName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestDigestTest {

    private static final RequestDigest KNOWN = digest("POST", "a.example", "/prompts/1", "account-1", "prompt");

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static RequestDigest digest(String method, String host, String target, String account, String body) {
        AccountName id = account == null ? null : new AccountName(account);
        return new RequestDigest(
                RequestDigest.hashHead(method, host, target, id, body.length()),
                RequestDigest.hashBody(new ByteBuffer[] {bytes(body)}, id));
    }

    @Test
    void isEqualForARepeatSplitIntoOtherBuffers() {
        AccountName account = new AccountName("account-1");
        ByteBuffer[] pieces = {bytes("pro"), bytes(""), bytes("mpt")};
        assertThat(RequestDigest.hashBody(pieces, account)).isEqualTo(KNOWN.body());
        assertThat(digest("POST", "a.example", "/prompts/1", "account-1", "prompt"))
                .isEqualTo(KNOWN);
    }

    @ParameterizedTest
    @CsvSource({
        "GET, a.example, /prompts/1, account-1, prompt",
        "POST, b.example, /prompts/1, account-1, prompt",
        "POST, a.example, /prompts/2, account-1, prompt",
        "POST, a.exampl, e/prompts/1, account-1, prompt",
        "POST, a.example, /prompts/1, account-2, prompt",
        "POST, a.example, /prompts/1, , prompt",
        "POST, a.example, /prompts/1, account-1, prompts"
    })
    void differsInHeadIfAnythingButTheBodyBytesDiffers(
            String method, String host, String target, String account, String body) {
        assertThat(digest(method, host, target, account, body).head()).isNotEqualTo(KNOWN.head());
    }

    @Test
    void differsInBodyIfOnlyTheBodyDiffers() {
        RequestDigest other = digest("POST", "a.example", "/prompts/1", "account-1", "tpmorp");
        assertThat(other.head()).isEqualTo(KNOWN.head());
        assertThat(other.body()).isNotEqualTo(KNOWN.body());
    }

    @Test
    void containsNeitherAccountNorBody() {
        assertThat(KNOWN.toString()).matches("[0-9a-f]{32}").doesNotContain("account", "prompt");
    }

    @Test
    void isFormattedWithLeadingZeros() {
        assertThat(new RequestDigest(1, 0xab)).hasToString("0".repeat(15) + "1" + "0".repeat(14) + "ab");
    }
}
