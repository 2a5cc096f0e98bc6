package org.apricotstack.core.dispatch;

/**
 * One header of a call to a plain service.
 *
 * @param name its name
 * @param value its value
 */
public record Header(String name, String value) {}
