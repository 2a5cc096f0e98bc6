package org.apricotstack.core.engine.simulation;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SimulatedEngineTest {

    /** Batch steps of 50 ms. */
    private static final EngineProfile PROFILE = new EngineProfile(2, 300_000, 50, 1, 0, 0, 200, 0, 2_048, 800);

    private final List<String> observed = new ArrayList<>();
    private double nowMillis;
    private final SimulatedEngine engine =
            new SimulatedEngine(new UpstreamId("engine"), PROFILE, 1, new SimulatedEngine.Listener() {
                @Override
                public void prefillDone(UpstreamId engine, long request) {
                    observed.add("prefilled " + request + " at " + Math.round(nowMillis));
                }

                @Override
                public void event(long request) {
                    observed.add("event " + request + " at " + Math.round(nowMillis));
                }
            });

    private void advanceTo(double millis) {
        while (engine.nextMillis() <= millis) {
            nowMillis = engine.nextMillis();
            engine.advance(nowMillis);
            engine.fireDue();
        }
        nowMillis = millis;
        engine.advance(millis);
    }

    @Test
    void prefillsTheNewestSharedPartFirstAndUnsharedPromptsInOrder() {
        engine.submit(1, false, true, 100);
        engine.submit(2, true, false, 100);
        advanceTo(50);
        engine.submit(3, true, false, 100);
        advanceTo(1_000);

        assertThat(observed).containsExactly("prefilled 3 at 150", "prefilled 2 at 200", "prefilled 1 at 300");
    }

    @Test
    void prefillsAllWaitingPartsInOneBatchStepWhileDecoding() {
        engine.submit(1, false, true, 100);
        advanceTo(100);
        engine.startDecoding(1, 1_000);
        advanceTo(120);
        engine.submit(2, true, false, 300);
        engine.submit(3, true, false, 200);
        advanceTo(750);

        assertThat(observed)
                .containsExactly(
                        "prefilled 1 at 100",
                        "event 1 at 150",
                        "event 1 at 700",
                        "prefilled 3 at 700",
                        "prefilled 2 at 700",
                        "event 1 at 750");
    }

    @Test
    void startsAPromptBeyondItsSlotsWhenOneIsFree() {
        engine.submit(1, false, true, 100);
        engine.submit(2, false, true, 100);
        engine.submit(3, false, true, 100);
        advanceTo(150);
        engine.remove(1);
        advanceTo(1_000);

        assertThat(observed).containsExactly("prefilled 1 at 100", "prefilled 2 at 200", "prefilled 3 at 300");
    }
}
