package org.apricotstack.cli;

import org.apricotstack.bench.deployment.DeploymentShape;

/** Deployments that the command line accepts. */
enum Deployment {
    /** The deployment of the gift registry. */
    REGISTRY(DeploymentShape.REGISTRY),
    /** The deployment of the cooperative. */
    COOPERATIVE(DeploymentShape.COOPERATIVE);

    private final DeploymentShape shape;

    Deployment(DeploymentShape shape) {
        this.shape = shape;
    }

    /** Returns the size and layout of the deployment. */
    DeploymentShape shape() {
        return shape;
    }
}
