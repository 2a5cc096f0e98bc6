/** What the answers of an upstream say of the upstream itself. */
package org.apricotstack.core.notice;
