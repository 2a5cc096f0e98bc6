/** The fleet configuration as typed, immutable values, and its validation. */
package org.apricotstack.core.configuration;
