/** Sharing of the capacity of a pool among teams by weighted token cost. */
package org.cranberrystand.fairness;
