/** The events of an attempt, and checks that an answer is complete and belongs to its attempt. */
package org.apricotstack.core.stream;
