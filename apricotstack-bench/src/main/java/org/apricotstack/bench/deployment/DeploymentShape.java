package org.apricotstack.bench.deployment;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Size and layout of a deployment.
 *
 * @param name its name
 * @param dataCentres names of its data centres
 * @param engines number of engines in each data centre
 * @param replicas number of replicas of the plain service in each data centre
 * @param routers number of routers in each data centre
 * @param accounts number of client accounts; the first ones are large
 * @param slowdownWeight weight of the slowdown of short prompts in the preset for normal operation
 */
public record DeploymentShape(
        String name,
        List<String> dataCentres,
        List<Integer> engines,
        int replicas,
        int routers,
        int accounts,
        double slowdownWeight) {

    /** Deployment of the gift registry: gives more weight to the slowdown of short prompts. */
    public static final DeploymentShape REGISTRY =
            new DeploymentShape("registry", List.of("mid-a", "mid-b", "mid-c"), List.of(5, 5, 4), 1, 2, 10, 0.9);

    /** Deployment of the cooperative: gives more weight to the time to first token over all lengths. */
    public static final DeploymentShape COOPERATIVE =
            new DeploymentShape("cooperative", List.of("tex-a", "tex-b", "tex-c"), List.of(6, 5, 5), 1, 2, 10, 0.3);

    /**
     * Returns the names of the client accounts.
     *
     * @return the names, large ones first
     */
    public List<String> accountNames() {
        return IntStream.rangeClosed(1, accounts)
                .mapToObj(number -> "account-" + number)
                .toList();
    }
}
