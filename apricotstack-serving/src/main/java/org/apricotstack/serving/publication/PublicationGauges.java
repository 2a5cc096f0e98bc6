package org.apricotstack.serving.publication;

import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.Evacuation;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.observe.ServingMetrics;

/** Gauges of the platform and of the documents that were read from it. */
public final class PublicationGauges {

    private PublicationGauges() {}

    /**
     * Registers the gauges.
     *
     * @param metrics receives them
     * @param follower follows the platform
     * @param state the documents in force
     */
    public static void register(ServingMetrics metrics, PublicationFollower follower, PublishedState state) {
        metrics.gauge("platform.calls", follower::calls);
        metrics.gauge("platform.faults", follower::faults);
        metrics.gauge("platform.checks", follower::checks);
        metrics.gauge("platform.checks_failed", follower::failedChecks);
        metrics.gauge("platform.changes_missed", follower::missedChanges);
        metrics.gauge("platform.age_millis", follower::ageMillis);
        metrics.gauge("platform.history", follower::history);
        metrics.gauge("platform.histories_begun", follower::historyChanges);
        metrics.gauge("platform.followed", () -> follower.isFollowing() ? 1 : 0);
        metrics.gauge("upstreams.listed", state::upstreamsListed);
        metrics.gauge("configuration.revision", () -> Revisions.inHistory(state.configurationRevision()));
        metrics.gauge("configuration.version", state::configurationVersion);
        metrics.gauge(
                "published_parts.missing", () -> PublishedPart.missing(state).size());
        metrics.gauge("configuration.parts_unusable", () -> unusableParts(state));
        metrics.gauge("upstreams.revision", () -> Revisions.inHistory(state.upstreamsRevision()));
        metrics.gauge("evacuations.in_force", () -> state.evacuations().all().size());
        state.evacuations()
                .onChange(inForce -> metrics.evacuations(
                        inForce.stream().map(Evacuation::dataCentre).toList()));
        metrics.gauge("documents.rejected", state::rejected);
    }

    /** Returns the number of parts of the configuration in force that cannot be used. */
    private static long unusableParts(PublishedState state) {
        ServingConfiguration configuration = state.configuration();
        return configuration == null ? 0 : configuration.unusableParts().size();
    }
}
