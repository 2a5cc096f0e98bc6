/**
 * Reading of JSON documents with all problems in one run.
 */
package org.apricotstack.adapters.json;
