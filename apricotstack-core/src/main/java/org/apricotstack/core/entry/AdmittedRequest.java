package org.apricotstack.core.entry;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.time.Deadline;

/**
 * A request that passed the checks of its entry router.
 *
 * @param id its name
 * @param work what to run
 * @param service the service that it asks for
 * @param lengthClass the class of its prompt
 * @param deadline when it must have ended
 * @param configuration the version under which it was admitted, which it keeps to its end
 */
public record AdmittedRequest(
        RequestId id,
        Work work,
        Service service,
        LengthClass lengthClass,
        Deadline deadline,
        FleetConfiguration configuration) {}
