package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/** Engines with round figures: 200 prompt tokens a millisecond, batch steps of 50 ms, and no attention cost. */
final class EngineTestData {

    static final ProcessId HERE = new ProcessId(new HostId("here"), 1);

    static final EngineProfile PROFILE = new EngineProfile(11, 300_000, 50, 1, 0, 0, 200, 0, Integer.MAX_VALUE, 800);

    private static long numbers;

    private EngineTestData() {}

    static UpstreamId engine(int number) {
        return new UpstreamId("engine-" + (char) ('a' + number));
    }

    /** Makes a placement whose prefill is shared evenly by some engines. */
    static EnginePlacement placement(long tokens, int... engines) {
        List<EnginePart> parts = new ArrayList<>();
        for (int engine : engines) {
            parts.add(new EnginePart(
                    engine(engine), PROFILE.prefillMillis(tokens, engines.length), parts.isEmpty() ? tokens : 0));
        }
        long tokenGapTarget = tokens <= PromptValue.SHORT_TOKENS ? 250 : 1_000;
        return new EnginePlacement(
                new PlacementId(HERE, ++numbers),
                parts,
                tokens,
                tokens <= PromptValue.SHORT_TOKENS ? 300 : 3_000,
                tokenGapTarget);
    }

    /** Makes a load table of idle engines. */
    static EngineLoadTable loadTable(int engines) {
        EngineLoadTable loadTable = new EngineLoadTable();
        for (int i = 0; i < engines; i++) {
            loadTable.load(engine(i)).profile(PROFILE);
        }
        return loadTable;
    }

    static List<EngineCandidate> candidates(EngineLoadTable loadTable, int engines) {
        List<EngineCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            candidates.add(new EngineCandidate(engine(i), loadTable.load(engine(i)), 0, true));
        }
        return candidates;
    }

    static PromptRequest request(long tokens) {
        boolean isShort = tokens <= PromptValue.SHORT_TOKENS;
        return new PromptRequest(
                tokens, 800, isShort ? 300 : 3_000, isShort ? 250 : 1_000, isShort ? 1_800 : 10_800, 0);
    }
}
