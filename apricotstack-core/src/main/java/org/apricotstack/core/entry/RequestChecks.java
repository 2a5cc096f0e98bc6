package org.apricotstack.core.entry;

import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.Names;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;

/** Checks a request against the configuration, except for account limits. Each failed check throws a typed refusal. */
final class RequestChecks {

    private final FleetConfiguration configuration;
    private final EntryRequest request;

    /** Creates the checks of one request. */
    RequestChecks(FleetConfiguration configuration, EntryRequest request) {
        this.configuration = configuration;
        this.request = request;
    }

    /** Returns the client account, or throws the refusal. */
    ClientAccount account() {
        ClientAccount account =
                request.keyDigest() == null ? null : configuration.accountByKeyDigest(request.keyDigest());
        if (account == null) {
            throw Refusal.notRun(RefusalReason.UNAUTHENTICATED, 0).toException();
        }
        return account;
    }

    /** Returns the service, or throws the refusal. */
    Service service(ClientAccount account) {
        boolean validName = Names.isValid(request.service());
        Service service = validName ? configuration.service(new ServiceId(request.service())) : null;
        boolean allowed = service != null
                && service.kind() == request.kind()
                && account.services().contains(service.id());
        if (!allowed) {
            throw Refusal.notRun(RefusalReason.UNKNOWN_SERVICE, 0).toException();
        }
        if (configuration.preset().sheds(service)) {
            throw Refusal.notRun(
                            RefusalReason.SHED_BY_PRESET, "The preset " + configuration.presetId() + " is in force.")
                    .toException();
        }
        return service;
    }

    /** Returns the deadline, or throws the refusal. */
    Deadline deadline(Service service, MonotonicClock clock) {
        long millis = service.timeLimitMillis();
        if (request.timeLimitText() != null) {
            millis = parseTimeLimit(service);
        }
        return Deadline.in(clock, millis);
    }

    /** Parses the time limit that the caller sent. */
    private long parseTimeLimit(Service service) {
        long maxMillis = service.maxTimeLimitMillis();
        try {
            long millis = Long.parseLong(request.timeLimitText().trim());
            if (millis >= 1 && millis <= maxMillis) {
                return millis;
            }
        } catch (NumberFormatException e) {
            // A malformed number gets the same refusal as a number out of range.
        }
        throw Refusal.notRun(RefusalReason.INVALID_TIME_LIMIT, "Allowed: 1 to " + maxMillis + " milliseconds.")
                .toException();
    }

    /** Returns the work to run, or throws the refusal. */
    Work work(ClientAccountId account, Service service) {
        long maxAnswerTokens = configuration.limits().maxAnswerTokens();
        if (request.outputTokens() > maxAnswerTokens) {
            throw Refusal.notRun(RefusalReason.INVALID_REQUEST, "max_tokens may be at most " + maxAnswerTokens + ".")
                    .toException();
        }
        return new Work(
                account,
                service.id(),
                request.promptTokens(),
                request.outputTokens(),
                request.prefixFingerprints(),
                request.body(),
                request.call(),
                service.repeatable(),
                configuration.version());
    }

    /** Returns the admitted request, or throws the refusal if no group has enough memory for it. */
    AdmittedRequest admitted(RequestId id, Work work, Service service, Deadline deadline) {
        AdmittedRequest admitted = new AdmittedRequest(
                id, work, service, configuration.limits().lengthClass(work.promptTokens()), deadline, configuration);
        boolean fits = configuration.groups(service).stream()
                .anyMatch(group -> GroupFinder.canHold(configuration, group, admitted));
        if (!fits && !configuration.groups(service).isEmpty()) {
            throw Refusal.notRun(RefusalReason.PROMPT_TOO_LONG, 0).toException();
        }
        return admitted;
    }
}
