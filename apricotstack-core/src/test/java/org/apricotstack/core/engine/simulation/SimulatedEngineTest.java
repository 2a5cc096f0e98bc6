package org.apricotstack.core.engine.simulation;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SimulatedEngineTest {

    /** Passes of 50 ms. */
    private static final EngineProfile PROFILE = new EngineProfile(2, 300_000, 50, 1, 0, 0, 200, 0, 2_048, 800);

    private final List<String> seen = new ArrayList<>();
    private double nowMillis;
    private final SimulatedEngine engine =
            new SimulatedEngine(new UpstreamId("engine"), PROFILE, 1, new SimulatedEngine.Listener() {
                @Override
                public void read(UpstreamId engine, long request) {
                    seen.add("read " + request + " at " + Math.round(nowMillis));
                }

                @Override
                public void event(long request) {
                    seen.add("event " + request + " at " + Math.round(nowMillis));
                }
            });

    private void advanceTo(double millis) {
        while (engine.nextMillis() <= millis) {
            nowMillis = engine.nextMillis();
            engine.advance(nowMillis);
            engine.act();
        }
        nowMillis = millis;
        engine.advance(millis);
    }

    @Test
    void readsTheNewestSharedPartFirstAndWholePromptsInTurn() {
        engine.take(1, false, true, 100);
        engine.take(2, true, false, 100);
        advanceTo(50);
        engine.take(3, true, false, 100);
        advanceTo(1_000);

        assertThat(seen).containsExactly("read 3 at 150", "read 2 at 200", "read 1 at 300");
    }

    @Test
    void readsAllThatWaitsInOnePassWhileItWrites() {
        engine.take(1, false, true, 100);
        advanceTo(100);
        engine.write(1, 1_000);
        advanceTo(120);
        engine.take(2, true, false, 300);
        engine.take(3, true, false, 200);
        advanceTo(750);

        assertThat(seen)
                .containsExactly(
                        "read 1 at 100",
                        "event 1 at 150",
                        "event 1 at 700",
                        "read 3 at 700",
                        "read 2 at 700",
                        "event 1 at 750");
    }

    @Test
    void beginsAPromptBeyondItsSlotsWhenOneIsFree() {
        engine.take(1, false, true, 100);
        engine.take(2, false, true, 100);
        engine.take(3, false, true, 100);
        advanceTo(150);
        engine.drop(1);
        advanceTo(1_000);

        assertThat(seen).containsExactly("read 1 at 100", "read 2 at 200", "read 3 at 300");
    }
}
