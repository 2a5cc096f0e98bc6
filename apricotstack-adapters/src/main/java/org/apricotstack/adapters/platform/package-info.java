/**
 * HTTP client for the platform's documents.
 */
package org.apricotstack.adapters.platform;
