/**
 * Follows the documents that the platform publishes, and learns of them from peers while the platform is unavailable.
 */
package org.apricotstack.serving.publication;
