package org.apricotstack.core.http;

import java.util.Locale;

/**
 * Checks the head of a response byte by byte (RFC 9112, sections 2 to 6).
 *
 * <p>Decoders repair what they can: they take a name up to a blank, a line without a colon as a header without a value,
 * and any number as a status. What they return then is not what the upstream sent. Of all that, only white space before
 * a colon is accepted, which a proxy has to remove (RFC 9112, section 5.1).
 */
public final class ResponseHeadSyntax {

    private static final String VERSION = "HTTP/1.";
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";

    /** Characters of a token that are neither letters nor digits (RFC 9110, section 5.6.2). */
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private static final int STATUS_DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int DECIMAL = 10;

    /** Length of a name or value beyond which it is none of those that frame the body, in characters. */
    private static final int MAX_FRAMING_CHARS = 64;

    private static final int FIRST_VISIBLE = 0x20;
    private static final int DELETE = 0x7f;

    /** What the next byte belongs to. */
    private enum Part {
        /** Name and major version of the protocol. */
        VERSION,
        /** Minor version. */
        MINOR_VERSION,
        /** Space before the status. */
        BEFORE_STATUS,
        /** Status code. */
        STATUS,
        /** Space before the reason phrase, or the end of the line. */
        AFTER_STATUS,
        /** Reason phrase. */
        REASON,
        /** Line feed of the status line. */
        STATUS_LINE_FEED,
        /** First byte of a header, or the end of the head. */
        LINE_START,
        /** Name of a header. */
        NAME,
        /** White space between a name and its colon. */
        BEFORE_COLON,
        /** Value of a header. */
        VALUE,
        /** Line feed of a header. */
        LINE_FEED,
        /** Line feed of the empty line. */
        LAST_LINE_FEED,
        /** Nothing, as the head has ended. */
        COMPLETE
    }

    private final StringBuilder name = new StringBuilder();
    private final StringBuilder value = new StringBuilder();
    private Part part = Part.VERSION;
    private int read;
    private int status;
    private boolean oldVersion;
    private boolean hasLength;
    private boolean hasCoding;

    /** Whether the length of the name allows that the header frames the body. */
    private boolean frames;

    /** Expects the first byte of another head. */
    public void reset() {
        part = Part.VERSION;
        read = 0;
        status = 0;
        oldVersion = false;
        hasLength = false;
        hasCoding = false;
    }

    /**
     * Returns whether the empty line that ends the head was read.
     *
     * @return whether the head is complete
     */
    public boolean isComplete() {
        return part == Part.COMPLETE;
    }

    /**
     * Reads the next byte of a head that is valid so far and not complete.
     *
     * @param octet the byte
     * @return how the head violates HTTP, or {@code null} if it is still valid
     */
    public HeadViolation read(byte octet) {
        int next = Byte.toUnsignedInt(octet);
        return switch (part) {
            case VERSION -> version(next);
            case MINOR_VERSION -> minorVersion(next);
            case BEFORE_STATUS -> next == ' ' ? expect(Part.STATUS) : HeadViolation.STATUS;
            case STATUS -> status(next);
            case AFTER_STATUS -> afterStatus(next);
            case REASON -> reason(next);
            case STATUS_LINE_FEED, LINE_FEED -> next == '\n' ? expect(Part.LINE_START) : HeadViolation.LINE_END;
            case LINE_START -> lineStart(next);
            case NAME -> name(next);
            case BEFORE_COLON -> beforeColon(next);
            case VALUE -> value(next);
            case LAST_LINE_FEED -> next == '\n' ? expect(Part.COMPLETE) : HeadViolation.LINE_END;
            case COMPLETE -> throw new IllegalStateException("The head is complete; reset it before the next one.");
        };
    }

    /** Continues with another part. */
    private HeadViolation expect(Part next) {
        part = next;
        read = 0;
        return null;
    }

    /** Reads a byte of the protocol's name and major version. */
    private HeadViolation version(int next) {
        if (next != VERSION.charAt(read)) {
            return HeadViolation.VERSION;
        }
        read++;
        return read == VERSION.length() ? expect(Part.MINOR_VERSION) : null;
    }

    /** Reads the minor version. */
    private HeadViolation minorVersion(int next) {
        oldVersion = next == '0';
        return isDigit(next) ? expect(Part.BEFORE_STATUS) : HeadViolation.VERSION;
    }

    /** Reads a digit of the status. */
    private HeadViolation status(int next) {
        if (!isDigit(next)) {
            return HeadViolation.STATUS;
        }
        status = status * DECIMAL + next - '0';
        read++;
        if (read < STATUS_DIGITS) {
            return null;
        }
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return HeadViolation.STATUS;
        }
        return status == SWITCHING_PROTOCOLS ? HeadViolation.SWITCH : expect(Part.AFTER_STATUS);
    }

    /** Reads the byte behind the status; without a reason phrase some servers omit the space too. */
    private HeadViolation afterStatus(int next) {
        if (next == ' ') {
            return expect(Part.REASON);
        }
        return switch (next) {
            case '\r' -> expect(Part.STATUS_LINE_FEED);
            case '\n' -> HeadViolation.LINE_END;
            default -> HeadViolation.STATUS;
        };
    }

    /** Reads a byte of the reason phrase. */
    private HeadViolation reason(int next) {
        return text(next, Part.STATUS_LINE_FEED, HeadViolation.REASON);
    }

    /** Reads a byte of a text that ends with its line. */
    private HeadViolation text(int next, Part lineFeed, HeadViolation violation) {
        return switch (next) {
            case '\r' -> expect(lineFeed);
            case '\n' -> HeadViolation.LINE_END;
            case '\t' -> null;
            default -> next < FIRST_VISIBLE || next == DELETE ? violation : null;
        };
    }

    /** Reads the first byte of a line. */
    private HeadViolation lineStart(int next) {
        name.setLength(0);
        value.setLength(0);
        return switch (next) {
            case '\r' -> expect(Part.LAST_LINE_FEED);
            case '\n' -> HeadViolation.LINE_END;
            case ' ', '\t' -> HeadViolation.FOLD;
            case ':' -> HeadViolation.NAME;
            default -> {
                part = Part.NAME;
                yield name(next);
            }
        };
    }

    /** Reads a byte of a name, or what follows it. */
    private HeadViolation name(int next) {
        if (isTokenCharacter(next)) {
            append(name, next);
            return null;
        }
        return next == ' ' || next == '\t' ? expect(Part.BEFORE_COLON) : colon(next);
    }

    /** Reads a byte behind a name and white space. */
    private HeadViolation beforeColon(int next) {
        return next == ' ' || next == '\t' ? null : colon(next);
    }

    /** Reads the colon behind a name. */
    private HeadViolation colon(int next) {
        return switch (next) {
            case ':' -> {
                frames = name.length() == CONTENT_LENGTH.length() || name.length() == TRANSFER_ENCODING.length();
                yield expect(Part.VALUE);
            }
            case '\r', '\n' -> HeadViolation.COLON;
            default -> HeadViolation.NAME;
        };
    }

    /** Reads a byte of a value, or the end of its line. */
    private HeadViolation value(int next) {
        HeadViolation violation = text(next, Part.LINE_FEED, HeadViolation.VALUE);
        if (!frames || violation != null) {
            return violation;
        }
        if (part == Part.LINE_FEED) {
            return framing();
        }
        append(value, next);
        return null;
    }

    /** Checks a header that frames the body. */
    private HeadViolation framing() {
        return switch (name.toString().toLowerCase(Locale.ROOT)) {
            case CONTENT_LENGTH -> length(value.toString().strip());
            case TRANSFER_ENCODING -> coding(value.toString().strip());
            default -> null;
        };
    }

    /** Checks a length. */
    private HeadViolation length(String text) {
        if (hasLength || !isLength(text)) {
            return HeadViolation.LENGTH;
        }
        hasLength = true;
        return hasCoding ? HeadViolation.CODING : null;
    }

    /** Checks a transfer coding. */
    private HeadViolation coding(String text) {
        boolean sound = !hasCoding && !hasLength && !oldVersion && text.equalsIgnoreCase(CHUNKED);
        hasCoding = true;
        return sound ? null : HeadViolation.CODING;
    }

    /** Returns whether a text is a number of bytes that can be counted. */
    private static boolean isLength(String text) {
        if (text.isEmpty() || !text.chars().allMatch(ResponseHeadSyntax::isDigit)) {
            return false;
        }
        try {
            return Long.parseLong(text) >= 0;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /** Returns whether a byte is a decimal digit. */
    private static boolean isDigit(int next) {
        return next >= '0' && next <= '9';
    }

    /** Returns whether a byte may stand in a token. */
    private static boolean isTokenCharacter(int next) {
        boolean isLetter = next >= 'a' && next <= 'z' || next >= 'A' && next <= 'Z';
        return isLetter || isDigit(next) || TOKEN_SYMBOLS.indexOf(next) >= 0;
    }

    /** Appends a byte, unless the text is too long to matter. */
    private static void append(StringBuilder text, int next) {
        if (text.length() <= MAX_FRAMING_CHARS) {
            text.append((char) next);
        }
    }
}
