/**
 * Reads JSON documents and reports all their problems at once.
 */
package org.apricotstack.adapters.json;
