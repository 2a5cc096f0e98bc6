package org.apricotstack.core.configuration;

/** Class of a prompt by its length; the bounds are published in {@link FleetLimits}. */
public enum LengthClass {
    /** Prompts that must not wait behind longer ones. */
    SHORT,
    /** Prompts between the two bounds. */
    MEDIUM,
    /** Prompts whose prefill takes many steps of an engine, up to those that need several engines. */
    LONG
}
