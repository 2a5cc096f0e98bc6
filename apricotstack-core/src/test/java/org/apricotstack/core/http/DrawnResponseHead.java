package org.apricotstack.core.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Heads of responses that are drawn from the grammar, each with at most one violation, for every place at which
 * responses are read.
 */
public final class DrawnResponseHead {

    private static final String TOKEN = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

    private static final String LINE_END = "\r\n";
    private static final int MAX_NAME = 12;
    private static final int MAX_VALUE = 20;
    private static final int BYTES = 256;
    private static final int FIRST_VISIBLE = 0x20;
    private static final int DELETE = 0x7f;

    /** Parts of a head. */
    public enum Part {
        /** The name and version of the protocol. */
        VERSION,
        /** The separator between version and status. */
        VERSION_BLANK,
        /** The status code. */
        STATUS,
        /** The separator between status and reason phrase. */
        STATUS_BLANK,
        /** The reason phrase. */
        REASON,
        /** A header's name. */
        NAME,
        /** The colon behind a name. */
        COLON,
        /** A header's value. */
        VALUE,
        /** A line that continues the one before it. */
        FOLD,
        /** The end of a line. */
        LINE_END,
        /** The headers that frame the body. */
        FRAMING,
        /** The bytes before the status line. */
        BEFORE_HEAD
    }

    private final Random random;
    private final Part violated;
    private final String status;

    /**
     * Creates a head.
     *
     * @param random draws all its parts
     * @param violated the part that violates the grammar, or {@code null} for a valid head
     * @param status the status of a valid status line
     */
    public DrawnResponseHead(Random random, Part violated, int status) {
        this.random = random;
        this.violated = violated;
        this.status = Integer.toString(status);
    }

    /**
     * Draws a head with some headers of its own around the given ones.
     *
     * @param required headers without their line ends, to be kept as they are; one of them frames the body
     * @return the head, with the empty line that ends it
     */
    public String draw(List<String> required) {
        List<String> lines = new ArrayList<>();
        int others = 1 + random.nextInt(4);
        for (int i = 0; i < others; i++) {
            lines.add(header());
        }
        lines.addAll(required);
        if (violated == Part.NAME || violated == Part.COLON || violated == Part.VALUE) {
            lines.add(random.nextInt(lines.size() + 1), violatingHeader(required));
        } else if (violated == Part.FOLD) {
            lines.add(random.nextInt(lines.size() + 1), one(" ", "\t", "  ") + token());
        } else if (violated == Part.FRAMING) {
            lines.addAll(violatingFraming(required));
        }
        int odd = violated == Part.LINE_END ? random.nextInt(lines.size() + 2) : -1;
        StringBuilder head =
                new StringBuilder(violated == Part.BEFORE_HEAD ? one(LINE_END, "\n", " ", "\0", "\t") : "");
        head.append(statusLine()).append(lineEnd(odd == 0));
        for (int i = 0; i < lines.size(); i++) {
            head.append(lines.get(i)).append(lineEnd(odd == i + 1));
        }
        return head.append(odd == lines.size() + 1 ? one("\n", "\r\r\n") : LINE_END)
                .toString();
    }

    private String statusLine() {
        String version = violated == Part.VERSION
                ? one(
                        "HTTP/2.0",
                        "HTTP/0.9",
                        "http/1.1",
                        "HTTP/1.",
                        "HTTP/11",
                        "HTTPS/1.1",
                        "HTTP/1.x",
                        "ICY",
                        "HTTP /1.1")
                : one("HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.2");
        String blank = violated == Part.VERSION_BLANK ? one("  ", "\t", "", " \t", "\0") : " ";
        String code = violated == Part.STATUS
                ? one(
                        "000", "099", "600", "999", "1000", "20", "+20", "2OO", "-200", "2", "", "0x1", "20\0", "101",
                        " 200")
                : status;
        String behind = violated == Part.STATUS_BLANK ? one("\t", "\0", "\u00a0", "OK", "-") : " ";
        String reason = violated == Part.REASON ? value(4) + control() + value(4) : value(MAX_VALUE);
        boolean bare = violated == null && random.nextInt(8) == 0;
        return version + blank + code + (bare ? "" : behind + reason);
    }

    private String header() {
        String beforeColon = random.nextInt(6) == 0 ? one(" ", "\t") : "";
        return "X-" + token() + beforeColon + ":" + one("", " ", "\t", "  ") + value(MAX_VALUE) + one("", "", " ");
    }

    private String violatingHeader(List<String> required) {
        String name = required.isEmpty() || random.nextBoolean()
                ? "X-" + token()
                : required.get(random.nextInt(required.size())).split(":")[0];
        return switch (violated) {
            case NAME -> violatingName(name) + ": " + value(MAX_VALUE);
            case COLON -> name + one("", " ");
            default -> name + "-X: " + value(4) + control() + value(4);
        };
    }

    private String violatingName(String name) {
        int at = 1 + random.nextInt(name.length() - 1);
        return switch (random.nextInt(4)) {
            case 0 -> name + " " + token();
            case 1 -> name + "\t" + token();
            case 2 -> "";
            default -> name.substring(0, at) + notOfToken() + name.substring(at);
        };
    }

    private List<String> violatingFraming(List<String> required) {
        boolean chunked = required.stream().anyMatch(line -> line.startsWith("Transfer-Encoding"));
        if (chunked) {
            return List.of(one(
                    "Content-Length: 5",
                    "Content-Length : 5",
                    "Transfer-Encoding: chunked",
                    "Transfer-Encoding : chunked",
                    "transfer-encoding: gzip"));
        }
        return List.of(one(
                "Transfer-Encoding: chunked",
                "Transfer-Encoding : chunked",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding:",
                "Content-Length: +5",
                "Content-Length: 5, 6",
                "Content-Length: 5 5",
                "Content-Length: -1",
                "Content-Length: 0x5",
                "Content-Length:",
                "content-length: 99999999999999999999",
                "Content-Length: 5\r\nContent-Length: 6"));
    }

    private String lineEnd(boolean odd) {
        return odd ? one("\n", "\r", "\r\r\n", "\n\r") : LINE_END;
    }

    /** Returns a character that no reason phrase and no value may have. */
    private String control() {
        int octet = random.nextInt(FIRST_VISIBLE + 1);
        while (octet == '\t' || octet == '\n' || octet == FIRST_VISIBLE) {
            octet = random.nextBoolean() ? DELETE : random.nextInt(FIRST_VISIBLE);
        }
        return Character.toString(octet);
    }

    /** Returns a character that no token has and that ends neither a name nor a line. */
    private String notOfToken() {
        int octet = random.nextInt(BYTES);
        while (TOKEN.indexOf(octet) >= 0 || octet == ':' || octet == '\n' || octet == '\r' || octet == ' ') {
            octet = random.nextInt(BYTES);
        }
        return Character.toString(octet);
    }

    private String token() {
        StringBuilder token = new StringBuilder();
        for (int left = 1 + random.nextInt(MAX_NAME); left > 0; left--) {
            token.append(TOKEN.charAt(random.nextInt(TOKEN.length())));
        }
        return token.toString();
    }

    /** Returns a text of visible characters, blanks and bytes above ASCII. */
    private String value(int max) {
        StringBuilder value = new StringBuilder();
        for (int left = random.nextInt(max); left > 0; left--) {
            int octet = FIRST_VISIBLE + random.nextInt(BYTES - FIRST_VISIBLE);
            value.append((char) (octet == DELETE ? '\t' : octet));
        }
        return value.toString();
    }

    private String one(String... choices) {
        return choices[random.nextInt(choices.length)];
    }
}
