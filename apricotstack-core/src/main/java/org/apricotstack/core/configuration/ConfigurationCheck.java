package org.apricotstack.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.ModelId;
import org.apricotstack.core.id.ServiceId;

/**
 * Checks that the documents of a configuration are consistent with each other.
 *
 * <p>The check depends only on the documents, so that either all routers accept a version or all reject it.
 */
public final class ConfigurationCheck {

    private final List<Problem> problems = new ArrayList<>();

    /**
     * Checks the parts of one version.
     *
     * @param parts the parts, each of which is valid by itself
     * @return all problems, empty if the version may be put into force
     */
    public static List<Problem> check(ConfigurationParts parts) {
        ConfigurationCheck check = new ConfigurationCheck();
        check.checkPreset(parts);
        check.checkAccounts(parts);
        check.checkServices(parts);
        check.checkGroups(parts);
        check.checkUpstreams(parts);
        check.checkLimits(parts.limits());
        return check.problems;
    }

    /** Exactly one known preset is in force. */
    private void checkPreset(ConfigurationParts parts) {
        if (parts.presetInForce() == null) {
            problem("fleet/preset", "preset", "nothing", "the name of one preset");
        } else if (!parts.presets().containsKey(parts.presetInForce())) {
            problem(
                    "fleet/preset",
                    "preset",
                    parts.presetInForce().value(),
                    "one of " + parts.presets().keySet());
        }
    }

    /** Accounts refer to known services, and no key belongs to two accounts. */
    private void checkAccounts(ConfigurationParts parts) {
        Map<String, ClientAccountId> owners = new HashMap<>();
        for (ClientAccount account : parts.accounts().values()) {
            String source = "accounts/" + account.id();
            for (ServiceId service : account.services()) {
                if (!parts.services().containsKey(service)) {
                    problem(source, "services", service.value(), "a service that is published");
                }
            }
            for (String digest : account.keyDigests()) {
                ClientAccountId other = owners.put(digest, account.id());
                if (other != null) {
                    problem(source, "keyDigests", "a digest that " + other + " has too", "a key of this account alone");
                }
            }
        }
    }

    /** Completion services refer to a known model, and default time limits do not exceed the maximum. */
    private void checkServices(ConfigurationParts parts) {
        for (Service service : parts.services().values()) {
            String source = "services/" + service.id();
            boolean completion = service.kind() == ServiceKind.COMPLETION;
            if (completion && !parts.models().containsKey(new ModelId(service.target()))) {
                problem(source, "target", service.target(), "a model that is published");
            }
            if (service.timeLimitMillis() > service.maxTimeLimitMillis()) {
                problem(source, "timeLimitMillis", "" + service.timeLimitMillis(), "at most maxTimeLimitMillis");
            }
        }
    }

    /** Completion groups refer to a known model. */
    private void checkGroups(ConfigurationParts parts) {
        for (Group group : parts.groups().values()) {
            boolean completion = group.kind() == ServiceKind.COMPLETION;
            if (completion && !parts.models().containsKey(new ModelId(group.target()))) {
                problem("groups/" + group.id(), "target", group.target(), "a model that is published");
            }
        }
    }

    /** Upstreams refer to a known group, and engines have memory. */
    private void checkUpstreams(ConfigurationParts parts) {
        for (Upstream upstream : parts.upstreams().values()) {
            String source = "upstreams/" + upstream.id();
            Group group = parts.groups().get(upstream.group());
            if (group == null) {
                problem(source, "group", upstream.group().value(), "a group that is published");
            } else if (group.kind() == ServiceKind.COMPLETION && upstream.memoryTokens() == 0) {
                problem(source, "memoryTokens", "0", "the KV memory of the engine in tokens");
            }
        }
    }

    /** The bounds of the length classes are in ascending order. */
    private void checkLimits(FleetLimits limits) {
        if (limits.shortTokens() >= limits.longTokens()) {
            problem("fleet/limits", "shortTokens", "" + limits.shortTokens(), "less than longTokens");
        }
    }

    /** Adds one problem. */
    private void problem(String source, String path, String found, String allowed) {
        problems.add(new Problem(source, path, found, allowed));
    }
}
