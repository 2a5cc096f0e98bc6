package org.apricotstack.adapters.upstream;

import org.apricotstack.adapters.json.OddDocument;
import org.apricotstack.core.id.AttemptId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests events of engines that are no events. */
class EngineEventsTest {

    @ParameterizedTest
    @EnumSource
    void decodesEventsWithoutUntypedErrors(OddDocument odd) throws InterruptedException {
        EngineEvents events = new EngineEvents(AttemptId.parse("request~1"));
        odd.readBy(text -> events.decode("data: " + text));
    }
}
