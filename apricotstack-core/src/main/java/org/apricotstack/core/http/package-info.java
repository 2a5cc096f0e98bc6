/** Syntax of HTTP that decoders of libraries do not enforce. */
package org.apricotstack.core.http;
