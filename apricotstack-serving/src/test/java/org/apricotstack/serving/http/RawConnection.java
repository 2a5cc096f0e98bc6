package org.apricotstack.serving.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.apricotstack.core.id.Address;

/** A caller that sends and reads text. */
final class RawConnection implements AutoCloseable {

    private static final int WAIT_TIMEOUT_MILLIS = 15_000;
    private static final int LINGER_SECONDS = 10;
    private static final String LENGTH = "content-length: ";

    private final Socket socket;

    RawConnection(Address address) throws IOException {
        socket = new Socket(address.ip(), address.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(WAIT_TIMEOUT_MILLIS);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the next response with its body, or what precedes the end of the connection. */
    String read() throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        int end = Integer.MAX_VALUE;
        while (text.length() < end) {
            int next = in.read();
            if (next < 0) {
                return text.toString();
            }
            text.append((char) next);
            if (end == Integer.MAX_VALUE && text.indexOf("\r\n\r\n") >= 0) {
                end = text.length() + bodyBytes(text);
            }
        }
        return text.toString();
    }

    private static int bodyBytes(StringBuilder head) {
        int at = head.indexOf(LENGTH);
        return at < 0 ? 0 : Integer.parseInt(head.substring(at + LENGTH.length(), head.indexOf("\r\n", at)));
    }

    /** Returns all that arrives until the connection ends. */
    String readToEnd() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    /** Closes the connection, and returns once the other side's system has received the close. */
    void closeAndAwaitReceipt() throws IOException {
        socket.setSoLinger(true, LINGER_SECONDS);
        socket.close();
    }

    /** Resets the connection. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
