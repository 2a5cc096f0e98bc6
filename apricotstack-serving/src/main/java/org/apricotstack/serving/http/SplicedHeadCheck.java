package org.apricotstack.serving.http;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Detects heads that begin with a part of an earlier response whose rest never came: the status line of the later
 * response then follows in the middle of the reason phrase or of a header. The status and some headers belong to the
 * earlier response, the id to the later one.
 */
final class SplicedHeadCheck {

    private static final String VERSION = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]");

    private SplicedHeadCheck() {}

    /** Returns whether another status line stands within a head. */
    static boolean isSpliced(HttpResponse head) {
        if (holdsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (holdsStatusLine(header.getValue()) || holdsStatusLine(header.getKey())) {
                return true;
            }
        }
        return false;
    }

    private static boolean holdsStatusLine(String text) {
        return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
    }
}
