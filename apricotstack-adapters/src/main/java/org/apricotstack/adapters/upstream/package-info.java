/**
 * HTTP clients of engines and plain services.
 */
package org.apricotstack.adapters.upstream;
