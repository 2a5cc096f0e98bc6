package org.apricotstack.serving.http;

import java.io.IOException;

import org.apricotstack.core.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnreadBodyTest {

    private static final String CHUNKED = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final CallerServerFixture fixture = new CallerServerFixture();
    private RawConnection caller;

    @BeforeEach
    void connect() throws IOException {
        fixture.limits(new CallerLimits(4_096, 8, 3_000, 10_000));
        caller = new RawConnection(fixture.address());
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        fixture.close();
    }

    @Test
    void refusesABodyThatIsNotProperHttp() throws IOException {
        fixture.handler((request, exchange) -> new AnsweringListener(exchange));
        caller.send(CHUNKED + "no length\r\n");
        assertThat(caller.readToEnd()).startsWith("HTTP/1.1 400");
    }

    /** An immediate close could reset the connection before the caller has read the response. */
    @Test
    void abortsNoResponseThatWasSentBeforeItsBodyTurnedOutToBeTooLong() throws IOException {
        caller.send(CHUNKED);
        assertThat(caller.read()).startsWith("HTTP/1.1 200");
        caller.send("9\r\n123456789\r\n");
        assertThat(caller.readToEnd()).isEmpty();
        assertThat(fixture.causes()).isEmpty();
    }
}
