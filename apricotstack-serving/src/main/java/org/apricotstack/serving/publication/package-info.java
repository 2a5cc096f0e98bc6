/** Follows what the platform publishes, and what peers know of it while the platform does not answer. */
package org.apricotstack.serving.publication;
