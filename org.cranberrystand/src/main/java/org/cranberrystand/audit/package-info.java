/** Audit trail of configuration and state changes, ordered by a hybrid logical clock. */
package org.cranberrystand.audit;
