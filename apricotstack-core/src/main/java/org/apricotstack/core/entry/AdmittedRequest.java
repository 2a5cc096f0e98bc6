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
 * @param id its id
 * @param work what to run
 * @param service the requested service
 * @param lengthClass the class of its prompt
 * @param deadline the time by which it must have ended
 * @param configuration the configuration under which it was admitted, used until the request ends
 */
public record AdmittedRequest(
        RequestId id,
        Work work,
        Service service,
        LengthClass lengthClass,
        Deadline deadline,
        FleetConfiguration configuration) {}
