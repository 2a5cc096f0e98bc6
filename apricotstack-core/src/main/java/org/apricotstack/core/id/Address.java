package org.apricotstack.core.id;

import com.google.common.net.InetAddresses;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/**
 * An IP address and a port.
 *
 * @param ip the IP address in its usual text form
 * @param port the TCP port, 0 to 65,535; 0 chooses a free port when listening
 */
public record Address(String ip, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code IP:PORT}, with square brackets around an IPv6 address.
     *
     * @param text the text
     * @return the address
     * @throws ApricotException with {@link ErrorCode#INVALID_NAME} if the text is malformed
     */
    public static Address parse(String text) {
        int at = text == null ? -1 : text.lastIndexOf(':');
        if (at < 1) {
            throw invalid(text);
        }
        String ip = text.substring(0, at);
        if (ip.startsWith("[") && ip.endsWith("]")) {
            ip = ip.substring(1, ip.length() - 1);
        }
        try {
            int port = Integer.parseInt(text.substring(at + 1));
            if (port < 0 || port > MAX_PORT || !InetAddresses.isInetAddress(ip)) {
                throw invalid(text);
            }
            return new Address(ip, port);
        } catch (NumberFormatException e) {
            throw invalid(text);
        }
    }

    /** Creates the error for a text that is not an address. */
    private static ApricotException invalid(String text) {
        return new ApricotException(
                ErrorCode.INVALID_NAME, "\"" + text + "\" is no address; write IP:PORT, such as 127.0.0.1:8080.");
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Address that && port == that.port && ip.equals(that.ip);
    }

    @Override
    public int hashCode() {
        return ip.hashCode() ^ port;
    }

    @Override
    public String toString() {
        return (ip.indexOf(':') >= 0 ? "[" + ip + "]" : ip) + ":" + port;
    }
}
