/**
 * Which routers exist, which of them answer, and who watches whom.
 */
package org.apricotstack.core.membership;
