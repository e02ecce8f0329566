/** Audit trail of changes. */
package org.cranberrystand.audit;
