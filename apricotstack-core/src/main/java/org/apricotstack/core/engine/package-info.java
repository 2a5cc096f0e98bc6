/**
 * Models the load of inference engines and decides which engines run a prompt.
 *
 * <p>All classes are synchronous, read no clock, and do no input or output.
 */
package org.apricotstack.core.engine;
