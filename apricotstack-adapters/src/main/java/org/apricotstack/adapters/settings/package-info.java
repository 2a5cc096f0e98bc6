/**
 * Settings of one process, written in JSON with comments.
 */
package org.apricotstack.adapters.settings;
