/**
 * The published configuration and roster, written in JSON.
 */
package org.apricotstack.adapters.configuration;
