package org.apricotstack.adapters.json;

import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.RefusedException;

import static org.assertj.core.api.Assertions.assertThat;

/** Texts that no writer of the product stores and that readers have to reject or ignore without further effects. */
public enum OddDocument {
    NESTED_600("{\"x\":" + "[".repeat(600) + "]".repeat(600) + "}"),
    NESTED_950("{\"x\":" + "{\"x\":".repeat(950) + "1" + "}".repeat(950) + "}"),
    OPENING_BRACKETS("{\"x\":" + "[".repeat(20_000)),
    WIDE("{\"x\":[0" + ",0".repeat(100_000) + "]}"),
    NUMBER_OF_900_DIGITS("{\"x\":" + "9".repeat(900) + "}"),
    NUMBER_OF_5000_DIGITS("{\"x\":" + "9".repeat(5_000) + "}"),
    LARGE_EXPONENT("{\"x\":1e99999,\"y\":-1e99999,\"z\":1e-99999}"),
    DUPLICATE_MEMBERS("{\"x\":1,\"x\":2}"),
    NOT_UTF_8("{\"x\":\"\uFFFD\u0000\"}"),
    LONE_SURROGATE("{\"x\":\"\\ud800\",\"\\udc00\":1}"),
    EMPTY(""),
    BLANK(" \n"),
    LONG_TEXT("{\"x\":\"" + "y".repeat(1_000_000) + "\"}"),
    NULL("null"),
    NUMBER("7"),
    TEXT("\"x\""),
    LIST("[{},[]]"),
    TRUNCATED("{\"x\":{\"y\":\"z"),
    TRAILING("{} {}");

    /** Stack of the threads of a deployed process, in bytes. */
    private static final int STACK_BYTES = 256 * 1024;

    /** Errors that callers of the readers handle. */
    private static final Set<Class<?>> TYPED = Set.of(ApricotException.class, RefusedException.class);

    private final String text;

    OddDocument(String text) {
        this.text = text;
    }

    /** Returns the document. */
    public String text() {
        return text;
    }

    /** Reads the document in a thread with a small stack and expects a result or an error with a type. */
    public void readBy(Consumer<String> reader) throws InterruptedException {
        AtomicReference<Throwable> thrown = new AtomicReference<>();
        Thread thread = new Thread(null, () -> reader.accept(text), "reader", STACK_BYTES);
        thread.setUncaughtExceptionHandler((ended, error) -> thrown.set(error));
        thread.start();
        thread.join();
        assertThat(thrown.get() == null || TYPED.contains(thrown.get().getClass()))
                .describedAs("%s: %s", this, thrown.get())
                .isTrue();
    }
}
