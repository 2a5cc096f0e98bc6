/**
 * The published configuration and roster in JSON.
 */
package org.apricotstack.adapters.configuration;
