package org.apricotstack.serving.run;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.ColdBound;
import org.apricotstack.core.ratelimit.ColdRates;
import org.apricotstack.core.ratelimit.ColdTable;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.route.ServiceProfile;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;

/**
 * What the configuration and the settings specify for cold upstreams.
 *
 * @param bound the bound in the settings; {@code null} if there is none
 * @param upstreams the listed upstreams
 * @param configuration the configuration in force, or {@code null} before the first
 */
public record ConfiguredColdRates(
        ColdBound bound, UpstreamTable upstreams, Supplier<ServingConfiguration> configuration) implements ColdRates {

    /**
     * Creates the limits of a router.
     *
     * @param bound the bound in the settings; {@code null} if there is none
     * @param upstreams the listed upstreams
     * @param configuration the configuration in force, or {@code null} before the first
     * @param clockMillis the time, in milliseconds
     * @return limits of which none is in force
     */
    public static LimitsInForce limits(
            ColdBound bound,
            UpstreamTable upstreams,
            Supplier<ServingConfiguration> configuration,
            LongSupplier clockMillis) {
        return new LimitsInForce(
                new LimitTable(),
                new ColdTable(),
                new ConfiguredColdRates(bound, upstreams, configuration),
                clockMillis);
    }

    @Override
    public boolean enabled() {
        return bound != null;
    }

    @Override
    public double perSecond(UpstreamId upstream) {
        UpstreamEntry entry = bound == null ? null : upstreams.find(upstream);
        ServiceProfile service = entry == null ? null : service(entry.service());
        return service == null ? 0 : bound.permitsPerSecond(service.coldPerSecond());
    }

    @Override
    public boolean tracks(ServiceId id) {
        ServiceProfile service = service(id);
        return enabled() && (service == null || service.coldPerSecond() > 0);
    }

    @Override
    public long startMillis(ServiceId id) {
        ServiceProfile service = service(id);
        return service == null ? 0 : service.coldStartMillis();
    }

    /** Returns a service of the configuration; {@code null} if it is not known. */
    private ServiceProfile service(ServiceId id) {
        ServingConfiguration current = configuration.get();
        return current == null ? null : current.services().get(id);
    }
}
