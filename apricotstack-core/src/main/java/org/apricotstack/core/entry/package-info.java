/** The entry router of a request: checks, admission, choice of a group, attempts and retries. */
package org.apricotstack.core.entry;
