package org.apricotstack.core.suspect;

import org.apricotstack.core.id.PromptPartId;
import org.apricotstack.core.id.ServiceId;

/**
 * A part of the prompts of one service.
 *
 * @param service the service that runs the requests
 * @param id the part
 */
public record PromptPart(ServiceId service, PromptPartId id) implements SharedTrait {

    /** Formats service and id, as used in logs. */
    @Override
    public String toString() {
        return service + "/" + id;
    }
}
