package org.apricotstack.core.configuration;

/** Class of a prompt by its length; the borders are published in {@link FleetLimits}. */
public enum LengthClass {
    /** Prompts that must not wait behind longer ones. */
    SHORT,
    /** Prompts between the two borders. */
    MEDIUM,
    /** Prompts whose prefill takes many steps of an engine, up to those that need several engines. */
    LONG
}
