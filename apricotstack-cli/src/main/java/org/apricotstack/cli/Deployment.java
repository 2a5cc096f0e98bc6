package org.apricotstack.cli;

import org.apricotstack.bench.deployment.DeploymentShape;

/** The deployments that can be named on the command line. */
enum Deployment {
    /** The gift registry's. */
    REGISTRY(DeploymentShape.REGISTRY),
    /** The cooperative's. */
    COOPERATIVE(DeploymentShape.COOPERATIVE);

    private final DeploymentShape shape;

    Deployment(DeploymentShape shape) {
        this.shape = shape;
    }

    /** Returns the shape. */
    DeploymentShape shape() {
        return shape;
    }
}
