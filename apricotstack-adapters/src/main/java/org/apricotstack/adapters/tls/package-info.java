/**
 * TLS contexts from keys and certificates.
 */
package org.apricotstack.adapters.tls;
