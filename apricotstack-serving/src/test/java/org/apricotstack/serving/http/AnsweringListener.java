package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;

/**
 * Answers a request once its body has arrived.
 *
 * @param exchange sends the response
 */
record AnsweringListener(CallerExchange exchange) implements CallerRequestListener {

    @Override
    public void body(ByteBuf body) {
        body.release();
        CallerServerFixture.answer(null, exchange);
    }

    @Override
    public void disconnected() {
        // There is no run to end.
    }

    @Override
    public void writable() {
        // There is no response to resume.
    }
}
