/**
 * Settings of one router process, in JSON with comments.
 */
package org.apricotstack.adapters.settings;
