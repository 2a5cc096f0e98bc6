package org.apricotstack.core.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseHeadSyntaxTest {

    private static final int OK = 200;

    private final ResponseHeadSyntax syntax = new ResponseHeadSyntax();

    private HeadViolation read(String head) {
        for (byte octet : head.getBytes(StandardCharsets.ISO_8859_1)) {
            HeadViolation violation = syntax.read(octet);
            if (violation != null) {
                return violation;
            }
        }
        return null;
    }

    private static List<String> framing(Random random) {
        return List.of(random.nextBoolean() ? "Content-Length: 5" : "Transfer-Encoding: chunked");
    }

    @Property(seed = "81", tries = 5_000)
    void acceptsEachValidHead(@ForAll long seed) {
        Random random = new Random(seed);
        String head = new DrawnResponseHead(random, null, OK).draw(framing(random));
        assertThat(read(head)).as(head).isNull();
        assertThat(syntax.isComplete()).isTrue();
        syntax.reset();
    }

    @Property(seed = "81", tries = 20_000)
    void rejectsAViolationInEachPart(@ForAll long seed, @ForAll DrawnResponseHead.Part violated) {
        Random random = new Random(seed);
        String head = new DrawnResponseHead(random, violated, OK).draw(framing(random));
        assertThat(read(head)).as(head).isNotNull();
        syntax.reset();
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/2.0 200 OK\\r\\n', VERSION",
        "'HTTP/1.1 000 OK\\r\\n', STATUS",
        "'HTTP/1.1 600 OK\\r\\n', STATUS",
        "'HTTP/1.1 20 OK\\r\\n', STATUS",
        "'HTTP/1.1 1000 OK\\r\\n', STATUS",
        "'HTTP/1.1 101 Switching Protocols\\r\\n', SWITCH",
        "'HTTP/1.1 200 O\\1K\\r\\n', REASON",
        "'HTTP/1.1 200 OK\\n', LINE_END",
        "'HTTP/1.1 200 OK\\r\\nX-One Two: b\\r\\n', NAME",
        "'HTTP/1.1 200 OK\\r\\n: b\\r\\n', NAME",
        "'HTTP/1.1 200 OK\\r\\nX-One\\r\\n', COLON",
        "'HTTP/1.1 200 OK\\r\\nX-One: a\\177b\\r\\n', VALUE",
        "'HTTP/1.1 200 OK\\r\\nX-One: a\\r\\n b\\r\\n', FOLD",
        "'HTTP/1.1 200 OK\\r\\nX-One: a\\rb\\r\\n', LINE_END",
        "'HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\ncontent-length: 5\\r\\n', LENGTH",
        "'HTTP/1.1 200 OK\\r\\nContent-Length: +5\\r\\n', LENGTH",
        "'HTTP/1.1 200 OK\\r\\nContent-Length:\\r\\n', LENGTH",
        "'HTTP/1.1 200 OK\\r\\nContent-Length: 99999999999999999999\\r\\n', LENGTH",
        "'HTTP/1.1 200 OK\\r\\nContent-Length : 5\\r\\nTransfer-Encoding : chunked\\r\\n', CODING",
        "'HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\nContent-Length: 5\\r\\n', CODING",
        "'HTTP/1.1 200 OK\\r\\nTransfer-Encoding: gzip\\r\\n', CODING",
        "'HTTP/1.0 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n', CODING"
    })
    void namesTheViolation(String escapedHead, HeadViolation violation) {
        assertThat(read(escapedHead.translateEscapes())).isEqualTo(violation);
    }

    @Test
    void removesNoRequirementAfterAReset() {
        assertThat(read("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n")).isNull();
        syntax.reset();
        assertThat(read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
                .isNull();
        assertThat(syntax.isComplete()).isTrue();
    }
}
